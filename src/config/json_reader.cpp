#include "config/json_reader.hpp"

#include <algorithm>
#include <sstream>

namespace reachhoist::config {

namespace {

// A larger count has no further effect. It is lowered to this value, and the file remains valid.
constexpr std::uint64_t kMaxCount = 1'000'000;

// Checks only for the form host:port. The network layer parses the address.
bool hasEndpointForm(const std::string& text) {
  const auto colon = text.rfind(':');
  return colon != std::string::npos && colon > 0 && colon + 1 < text.size() &&
         text.find_first_not_of("0123456789", colon + 1) == std::string::npos;
}

}  // namespace

void JsonReader::text(const char* key, std::string& target) {
  const auto value = wire::textField(object_, key);
  if (!value || value->empty()) return fail(key, "must be a string that is not empty");
  target = *value;
}

void JsonReader::endpoint(const char* key, std::string& target) {
  text(key, target);
  if (!error_ && !hasEndpointForm(target)) fail(key, "must be an address and port such as 10.0.0.1:8080");
}

void JsonReader::amount(const char* key, double& target, double min) {
  const auto value = wire::amountField(object_, key);
  if (!value || *value < min) {
    std::ostringstream reason;
    reason << "must be a number of at least " << min;
    return fail(key, reason.str());
  }
  target = *value;
}

void JsonReader::count(const char* key, unsigned& target, unsigned min) {
  const auto value = wire::countField(object_, key);
  if (!value || *value < min) return fail(key, "must be a whole number of at least " + std::to_string(min));
  target = static_cast<unsigned>(std::min(*value, kMaxCount));
}

bool JsonReader::has(const char* key) const {
  const Json* found = wire::field(object_, key);
  return found != nullptr && !found->is_null();
}

void JsonReader::optionalAmount(const char* key, double& target) {
  if (has(key)) amount(key, target, 0);
}

void JsonReader::lowerAmount(const char* key, double& target, double min) {
  if (!has(key)) return;
  double value = target;
  amount(key, value, min);
  target = std::min(target, value);
}

void JsonReader::lowerCount(const char* key, unsigned& target, unsigned min) {
  if (!has(key)) return;
  unsigned value = target;
  count(key, value, min);
  target = std::min(target, value);
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
    fail(key, "must be a JSON object");
    found = &kEmpty;
  }
  return JsonReader(*found, pathPrefix_ + key + ".", error_);
}

JsonReader JsonReader::entry(const char* key, const Json& value, std::size_t index) {
  return JsonReader(value, pathPrefix_ + key + "[" + std::to_string(index) + "].", error_);
}

void JsonReader::fail(const std::string& key, const std::string& reason) {
  if (!error_) error_ = FieldError{pathPrefix_ + key, reason};
}

}  // namespace reachhoist::config
