// Checked reading of a message's fields. Internal to the package.
#pragma once

#include <cmath>

#include "wire/codec.hpp"

namespace reachhoist::wire {

inline constexpr std::size_t kMaxText = 200;  // bytes of a name: the state service's longest key
inline constexpr double kMaxAmount = 1e12;    // amounts above this are taken for garbage

// Collects the first complaint about a map's fields.
class Fields {
 public:
  explicit Fields(const Json& map) : map_(map) {}

  void text(const char* key, std::string& out, bool mayBeEmpty = false) {
    const auto value = textField(map_, key);
    if (!value || (value->empty() && !mayBeEmpty) || value->size() > kMaxText) return complain(key);
    out = *value;
  }
  void amount(const char* key, double& out) {
    const auto value = amountField(map_, key);
    if (!value) return complain(key);
    out = *value;
  }
  void count(const char* key, std::uint64_t& out) {
    const auto value = countField(map_, key);
    if (!value) return complain(key);
    out = *value;
  }
  void flag(const char* key, bool& out) {
    const auto value = flagField(map_, key);
    if (!value) return complain(key);
    out = *value;
  }
  void optionalAmount(const char* key, std::optional<double>& out) {
    if (!present(key)) return;
    double value = 0;
    amount(key, value);
    out = value;
  }
  bool present(const char* key) const {
    const Json* found = field(map_, key);
    return found != nullptr && !found->is_null();
  }
  void complain(const char* key) {
    if (reason_.empty()) reason_ = std::string("field '") + key + "' is missing or invalid";
  }
  const std::string& reason() const { return reason_; }
  bool ok() const { return reason_.empty(); }

 private:
  const Json& map_;
  std::string reason_;
};

}  // namespace reachhoist::wire
