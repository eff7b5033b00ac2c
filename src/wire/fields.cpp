#include "wire/fields.hpp"

#include <cmath>

namespace reachhoist::wire {

const Json* field(const Json& map, const char* key) {
  if (!map.is_object()) return nullptr;
  const auto found = map.find(key);
  return found == map.end() ? nullptr : &*found;
}

std::optional<std::string> textField(const Json& map, const char* key) {
  const Json* found = field(map, key);
  if (found == nullptr || !found->is_string()) return std::nullopt;
  return found->get<std::string>();
}

std::optional<std::uint64_t> countField(const Json& map, const char* key) {
  const Json* found = field(map, key);
  if (found == nullptr) return std::nullopt;
  if (found->is_number_unsigned()) return found->get<std::uint64_t>();
  if (found->is_number_integer() && found->get<std::int64_t>() >= 0) return found->get<std::uint64_t>();
  return std::nullopt;
}

std::optional<double> amountField(const Json& map, const char* key) {
  const Json* found = field(map, key);
  if (found == nullptr || !found->is_number()) return std::nullopt;
  const double value = found->get<double>();
  if (!std::isfinite(value) || value < 0 || value > kMaxAmount) return std::nullopt;
  return value;
}

std::optional<bool> flagField(const Json& map, const char* key) {
  const Json* found = field(map, key);
  if (found == nullptr || !found->is_boolean()) return std::nullopt;
  return found->get<bool>();
}

void FieldReader::text(const char* key, std::string& target, bool mayBeEmpty) {
  const auto value = textField(map_, key);
  if (!value || (value->empty() && !mayBeEmpty) || value->size() > kMaxTextBytes) return fail(key);
  target = *value;
}

void FieldReader::optionalAmount(const char* key, std::optional<double>& target) {
  if (!isPresent(key)) return;
  double value = 0;
  amount(key, value);
  target = value;
}

void FieldReader::resources(Resources& target) {
  amount("vcpus", target.vcpus);
  amount("accelerators", target.accelerators);
  amount("memoryGb", target.memoryGb);
}

const Json* FieldReader::list(const char* key) {
  const Json* found = field(map_, key);
  if (found != nullptr && found->is_array()) return found;
  fail(key);
  return nullptr;
}

bool FieldReader::isPresent(const char* key) const {
  const Json* found = field(map_, key);
  return found != nullptr && !found->is_null();
}

void FieldReader::fail(const char* key) {
  if (reason_.empty()) reason_ = std::string("field '") + key + "' is missing or invalid";
}

}  // namespace reachhoist::wire
