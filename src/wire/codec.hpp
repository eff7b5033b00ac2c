// CBOR bodies to and from the messages of types.hpp, with checks of depth, size and type.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>

#include "wire/types.hpp"

namespace reachhoist::wire {

using Json = nlohmann::json;

// A decoded value, or the reason why the message can't be decoded. Converts from the value.
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
  // One line that says what is wrong with the message; only for a failure.
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
// The value as CBOR.
std::string encodeBody(const Json& body);

// A submitted job. Fails at the first field that is missing or invalid; unknown fields are ignored.
Result<JobSpec> decodeJob(const Json& body);
Json encodeJob(const JobSpec& job);
// A worker's heartbeat. Unknown task states and causes are taken as TaskState::unrecognized.
Result<WorkerHeartbeat> decodeHeartbeat(const Json& body);
Json encodeHeartbeat(const WorkerHeartbeat& heartbeat);
// Commands to a worker under a fencing token, as in the answer to a heartbeat.
Json encodeCommands(std::uint64_t token, const std::vector<Command>& commands);
// The cloud's machine types. Fails as a whole if one of them is invalid.
Result<std::vector<MachineType>> decodeCatalog(const Json& body);
Json encodeCatalog(const std::vector<MachineType>& machineTypes);
// One entry of the cloud's instance list.
Result<InstanceEntry> decodeInstance(const Json& body);

// The field of a map; null if there is none or it is no map.
const Json* field(const Json& map, const char* key);
// Typed look-ups of a field: nothing if it is missing or of another type. They never throw.
std::optional<std::string> textField(const Json& map, const char* key);
// An integer that is not negative.
std::optional<std::uint64_t> countField(const Json& map, const char* key);
// A finite number that is neither negative nor absurdly large.
std::optional<double> amountField(const Json& map, const char* key);
std::optional<bool> flagField(const Json& map, const char* key);

}  // namespace reachhoist::wire
