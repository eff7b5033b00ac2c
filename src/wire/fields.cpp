// Typed look-ups of fields.
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

}  // namespace reachhoist::wire
