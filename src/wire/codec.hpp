// Converts CBOR bodies to and from the messages of types.hpp and checks nesting, sizes and types.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>

#include "wire/types.hpp"

namespace reachhoist::wire {

using Json = nlohmann::json;

// A decoded value, or the reason why the message cannot be decoded. A value converts to it implicitly.
template <class T>
class Result {
 public:
  Result(T value) : outcome_(std::move(value)) {}  // NOLINT: the conversion is intended
  static Result failure(std::string reason) { return Result(Reason{std::move(reason)}); }
  explicit operator bool() const { return std::holds_alternative<T>(outcome_); }
  const T& operator*() const { return std::get<T>(outcome_); }
  T& operator*() { return std::get<T>(outcome_); }
  const T* operator->() const { return &std::get<T>(outcome_); }
  T* operator->() { return &std::get<T>(outcome_); }
  // Returns one line that says what is wrong with the message. It may be called only on a failure.
  const std::string& reason() const { return std::get<Reason>(outcome_).message; }

 private:
  struct Reason {
    std::string message;
  };
  explicit Result(Reason reason) : outcome_(std::move(reason)) {}
  std::variant<T, Reason> outcome_;
};

// Decodes a CBOR body. Before it builds any value it checks nesting, declared lengths, value types and
// trailing bytes.
Result<Json> decodeBody(std::string_view bytes);
// Encodes the value as CBOR.
std::string encodeBody(const Json& body);

// Decodes a submitted job. It fails at the first field that is missing or invalid, and ignores unknown
// fields.
Result<JobSpec> decodeJob(const Json& body);
Json encodeJob(const JobSpec& job);
// Decodes a worker's heartbeat. Unknown task states and causes become TaskState::unrecognized.
Result<WorkerHeartbeat> decodeHeartbeat(const Json& body);
Json encodeHeartbeat(const WorkerHeartbeat& heartbeat);
// Encodes commands to a worker with their fencing token, as an answer to a heartbeat carries them.
Json encodeCommands(std::uint64_t fencingToken, const std::vector<Command>& commands);
// Decodes the cloud's machine types. One invalid machine type makes the whole catalogue fail.
Result<std::vector<MachineType>> decodeCatalog(const Json& body);
Json encodeCatalog(const std::vector<MachineType>& machineTypes);
// Decodes one entry of the cloud's instance list.
Result<InstanceEntry> decodeInstance(const Json& body);

// Returns the field of a map, or null if the map lacks the field or the value is not a map.
const Json* field(const Json& map, const char* key);
// These functions look up a field of a given type. They return nothing if the field is missing or has another
// type, and never throw.
std::optional<std::string> textField(const Json& map, const char* key);
// Looks up an integer that is not negative.
std::optional<std::uint64_t> countField(const Json& map, const char* key);
// Looks up a finite number from 0 to kMaxAmount (fields.hpp).
std::optional<double> amountField(const Json& map, const char* key);
std::optional<bool> flagField(const Json& map, const char* key);

}  // namespace reachhoist::wire
