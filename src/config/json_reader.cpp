// Typed reading of JSON objects.
#include "config/json_reader.hpp"

#include <algorithm>
#include <sstream>

namespace reachhoist::config {

namespace {

// Counts beyond this can't be used, but are no reason to refuse a file.
constexpr std::uint64_t kMaxCount = 1'000'000;

// Only the shape host:port is checked here; the network layer parses the address.
bool looksLikeEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  return colon != std::string::npos && colon > 0 && colon + 1 < text.size() &&
         text.find_first_not_of("0123456789", colon + 1) == std::string::npos;
}

}  // namespace

void JsonReader::text(const char* key, std::string& out) {
  const auto value = wire::textField(object_, key);
  if (!value || value->empty()) return fail(key, "must be text");
  out = *value;
}

void JsonReader::endpoint(const char* key, std::string& out) {
  text(key, out);
  if (!error_ && !looksLikeEndpoint(out)) fail(key, "must be an address like 10.0.0.1:8080");
}

void JsonReader::amount(const char* key, double& out, double min) {
  const auto value = wire::amountField(object_, key);
  if (!value || *value < min) {
    std::ostringstream reason;
    reason << "must be a number of at least " << min;
    return fail(key, reason.str());
  }
  out = *value;
}

void JsonReader::count(const char* key, unsigned& out, unsigned min) {
  const auto value = wire::countField(object_, key);
  if (!value || *value < min) return fail(key, "must be a whole number of at least " + std::to_string(min));
  out = static_cast<unsigned>(std::min(*value, kMaxCount));
}

bool JsonReader::has(const char* key) const {
  const Json* found = wire::field(object_, key);
  return found != nullptr && !found->is_null();
}

void JsonReader::optionalAmount(const char* key, double& out) {
  if (has(key)) amount(key, out, 0);
}

void JsonReader::lowerAmount(const char* key, double& out, double min) {
  if (!has(key)) return;
  double value = out;
  amount(key, value, min);
  out = std::min(out, value);
}

void JsonReader::lowerCount(const char* key, unsigned& out, unsigned min) {
  if (!has(key)) return;
  unsigned value = out;
  count(key, value, min);
  out = std::min(out, value);
}

const wire::Json& JsonReader::list(const char* key) {
  static const Json kEmpty = Json::array();
  const Json* found = wire::field(object_, key);
  if (found != nullptr && found->is_array()) return *found;
  fail(key, "must be a list");
  return kEmpty;
}

JsonReader JsonReader::object(const char* key) {
  static const Json kEmpty = Json::object();
  const Json* found = wire::field(object_, key);
  if (found == nullptr || !found->is_object()) {
    fail(key, "must be a map");
    found = &kEmpty;
  }
  return JsonReader(*found, prefix_ + key + ".", error_);
}

JsonReader JsonReader::entry(const char* key, const Json& value, std::size_t index) {
  return JsonReader(value, prefix_ + key + "[" + std::to_string(index) + "].", error_);
}

void JsonReader::fail(const std::string& key, const std::string& reason) {
  if (!error_) error_ = FieldError{prefix_ + key, reason};
}

}  // namespace reachhoist::config
