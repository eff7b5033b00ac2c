// Reads the fields of a message and checks them. Internal to the package.
#pragma once

#include "wire/codec.hpp"
#include "wire/enum_names.hpp"

namespace reachhoist::wire {

inline constexpr std::size_t kMaxTextBytes = 200;  // the longest key that the key-value store accepts
inline constexpr double kMaxAmount = 1e12;         // A greater amount is an error of the sender.

// Reads the fields of a map into typed targets and records the first failure. If a field cannot be read, its
// target remains unchanged.
class FieldReader {
 public:
  explicit FieldReader(const Json& map) : map_(map) {}

  // Reads a text of at most kMaxTextBytes bytes, which is not empty unless `mayBeEmpty`.
  void text(const char* key, std::string& target, bool mayBeEmpty = false);
  // Reads a finite number from 0 to kMaxAmount.
  void amount(const char* key, double& target) { assignRequired(key, amountField(map_, key), target); }
  // Reads an integer that is not negative.
  void count(const char* key, std::uint64_t& target) { assignRequired(key, countField(map_, key), target); }
  void flag(const char* key, bool& target) { assignRequired(key, flagField(map_, key), target); }
  // Reads an amount that may be absent or null.
  void optionalAmount(const char* key, std::optional<double>& target);
  // Reads the amount of each resource.
  void resources(Resources& target);
  // Looks up an enumerator by the name that was read from the field before.
  template <class Enum, std::size_t Size>
  void enumerator(const char* key, const EnumName<Enum> (&table)[Size], std::string_view name, Enum& target) {
    assignRequired(key, valueIn(table, name), target);
  }

  // Returns the list in the field. If the field holds no list, records a failure and returns null.
  const Json* list(const char* key);
  // Returns whether the map contains the field with a value other than null.
  bool isPresent(const char* key) const;
  // Records that the field is missing or invalid, unless a failure is already recorded.
  void fail(const char* key);

  bool ok() const { return reason_.empty(); }
  // Returns one line that names the first field that failed.
  const std::string& reason() const { return reason_; }
  // Returns the message that was read from the fields, or the recorded failure.
  template <class Message>
  Result<Message> result(Message message) const {
    if (!ok()) return Result<Message>::failure(reason_);
    return message;
  }

 private:
  template <class Value>
  void assignRequired(const char* key, const std::optional<Value>& value, Value& target) {
    if (!value) return fail(key);
    target = *value;
  }

  const Json& map_;
  std::string reason_;
};

}  // namespace reachhoist::wire
