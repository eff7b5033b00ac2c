// Reads the fields of a JSON object into typed values and reports what is missing or wrong.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "config/settings.hpp"
#include "wire/codec.hpp"

namespace reachhoist::config {

// Reads fields of one JSON object. All readers of a document share one error: the first one is kept, and a
// field in error keeps its earlier value. Borrows the object and the error.
class JsonReader {
 public:
  using Json = wire::Json;

  // `prefix` is the path of the object, with a dot at its end unless it is the root.
  JsonReader(const Json& object, std::string prefix, std::optional<FieldError>& error)
      : object_(object), prefix_(std::move(prefix)), error_(error) {}

  // Required text that isn't empty.
  void text(const char* key, std::string& out);
  // Required host:port.
  void endpoint(const char* key, std::string& out);
  // Required number of at least `min`.
  void amount(const char* key, double& out, double min);
  // Required whole number of at least `min`.
  void count(const char* key, unsigned& out, unsigned min);

  // Whether the field is there and isn't null.
  bool has(const char* key) const;
  // A number of at least 0; an absent field keeps the default.
  void optionalAmount(const char* key, double& out);
  // An optional number that may lower `out` but not raise it.
  void lowerAmount(const char* key, double& out, double min);
  void lowerCount(const char* key, unsigned& out, unsigned min);

  // Required list; empty if in error.
  const Json& list(const char* key);
  // Reader of a required nested object; of an empty one if in error.
  JsonReader object(const char* key);
  // Reader of the entry `index` of the list `key`.
  JsonReader entry(const char* key, const Json& value, std::size_t index);

  // Records an error of the field, unless there is one already.
  void fail(const std::string& key, const std::string& reason);

 private:
  const Json& object_;
  std::string prefix_;
  std::optional<FieldError>& error_;
};

}  // namespace reachhoist::config
