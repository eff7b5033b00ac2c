// Checked reading of a message's fields. Internal to the package.
#pragma once

#include "wire/codec.hpp"
#include "wire/enum_names.hpp"

namespace reachhoist::wire {

inline constexpr std::size_t kMaxTextBytes = 200;  // the longest key of the key-value store
inline constexpr double kMaxAmount = 1e12;         // a greater amount is an error of the sender

// Reads the fields of a map and keeps the reason of the first failure. A field that can't be read leaves its
// output unchanged.
class FieldReader {
 public:
  explicit FieldReader(const Json& map) : map_(map) {}

  // Text of 1 to kMaxTextBytes bytes, or 0 if it may be empty.
  void text(const char* key, std::string& out, bool mayBeEmpty = false);
  // A finite number between 0 and kMaxAmount.
  void amount(const char* key, double& out) { required(key, amountField(map_, key), out); }
  // An integer that is not negative.
  void count(const char* key, std::uint64_t& out) { required(key, countField(map_, key), out); }
  void flag(const char* key, bool& out) { required(key, flagField(map_, key), out); }
  // An amount that may be absent or null.
  void optionalAmount(const char* key, std::optional<double>& out);
  // The amounts of each resource.
  void resources(Resources& out);
  // The enumerator that the table has under the name, which was read from the field before.
  template <class Enum, std::size_t Size>
  void named(const char* key, const EnumName<Enum> (&table)[Size], std::string_view name, Enum& out) {
    required(key, valueIn(table, name), out);
  }

  // The list in the field; null, and a failure, if there is none.
  const Json* list(const char* key);
  // Whether the field is there and not null.
  bool present(const char* key) const;
  // Records that the field is missing or invalid, unless there was a failure before.
  void fail(const char* key);

  bool ok() const { return reason_.empty(); }
  // One line that names the first field that failed.
  const std::string& reason() const { return reason_; }
  // The message read from the fields, or the failure.
  template <class Message>
  Result<Message> result(Message message) const {
    if (!ok()) return Result<Message>::failure(reason_);
    return message;
  }

 private:
  template <class Value>
  void required(const char* key, const std::optional<Value>& value, Value& out) {
    if (!value) return fail(key);
    out = *value;
  }

  const Json& map_;
  std::string reason_;
};

}  // namespace reachhoist::wire
