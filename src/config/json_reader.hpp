// Reads the fields of a JSON object into typed values and reports a field that is missing or invalid.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "config/settings.hpp"
#include "wire/codec.hpp"

namespace reachhoist::config {

// Reads the fields of one JSON object. All readers of a document share one error, which holds the first
// failure. If a field is invalid, its target remains unchanged. The object and the error must outlive the
// reader.
class JsonReader {
 public:
  using Json = wire::Json;

  // `pathPrefix` is the path of the object followed by a dot, or empty for the root.
  JsonReader(const Json& object, std::string pathPrefix, std::optional<FieldError>& error)
      : object_(object), pathPrefix_(std::move(pathPrefix)), error_(error) {}

  // Reads a required string that is not empty.
  void text(const char* key, std::string& target);
  // Reads a required address of the form host:port.
  void endpoint(const char* key, std::string& target);
  // Reads a required number of at least `min`.
  void amount(const char* key, double& target, double min);
  // Reads a required whole number of at least `min`. Numbers above a maximum are read as the maximum.
  void count(const char* key, unsigned& target, unsigned min);

  // Returns whether the object contains the field with a value other than null.
  bool has(const char* key) const;
  // Reads an optional number of at least 0. If the field is absent, the target remains unchanged.
  void optionalAmount(const char* key, double& target);
  // These functions read an optional number of at least `min` and lower the target to it. They never raise
  // the target.
  void lowerAmount(const char* key, double& target, double min);
  void lowerCount(const char* key, unsigned& target, unsigned min);

  // Returns a required list, or an empty one if the field is invalid.
  const Json& list(const char* key);
  // Returns a reader of a required nested object, or of an empty object if the field is invalid.
  JsonReader object(const char* key);
  // Returns a reader of `value`, which is the entry `index` of the list `key`.
  JsonReader entry(const char* key, const Json& value, std::size_t index);

  // Records that the field is invalid, unless an error is already recorded.
  void fail(const std::string& key, const std::string& reason);

 private:
  const Json& object_;
  std::string pathPrefix_;
  std::optional<FieldError>& error_;
};

}  // namespace reachhoist::config
