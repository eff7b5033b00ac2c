// CBOR bodies to and from the messages of types.hpp, with checks of depth, size and type.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>

#include "wire/types.hpp"

namespace reachhoist::wire {

using Json = nlohmann::json;

// A value, or one line that says what is wrong with the message.
template <class T>
class Result {
 public:
  Result(T value) : held_(std::move(value)) {}  // NOLINT: meant to convert
  static Result failure(std::string reason) { return Result(Reason{std::move(reason)}); }
  explicit operator bool() const { return std::holds_alternative<T>(held_); }
  const T& operator*() const { return std::get<T>(held_); }
  T& operator*() { return std::get<T>(held_); }
  const T* operator->() const { return &std::get<T>(held_); }
  T* operator->() { return &std::get<T>(held_); }
  const std::string& reason() const { return std::get<Reason>(held_).text; }

 private:
  struct Reason {
    std::string text;
  };
  explicit Result(Reason reason) : held_(std::move(reason)) {}
  std::variant<T, Reason> held_;
};

// Checks the structure before anything is built: nesting, declared lengths, byte strings, trailing bytes.
Result<Json> decodeBody(std::string_view bytes);
std::string encodeBody(const Json& body);

Result<JobSpec> decodeJob(const Json& body);
Json encodeJob(const JobSpec& job);
Result<WorkerHeartbeat> decodeHeartbeat(const Json& body);
Json encodeHeartbeat(const WorkerHeartbeat& heartbeat);
Json encodeCommands(std::uint64_t token, const std::vector<Command>& commands);
Result<std::vector<MachineType>> decodeCatalog(const Json& body);
Json encodeCatalog(const std::vector<MachineType>& machineTypes);
Result<HostEntry> decodeHost(const Json& body);

// Typed look-ups that never throw on a wrong type.
const Json* field(const Json& map, const char* key);
std::optional<std::string> textField(const Json& map, const char* key);
std::optional<std::uint64_t> countField(const Json& map, const char* key);
std::optional<double> amountField(const Json& map, const char* key);
std::optional<bool> flagField(const Json& map, const char* key);

}  // namespace reachhoist::wire
