// The state that all components of one controller share: settings, current time, outgoing calls, responses,
// messages to siblings, and the log.
#pragma once

#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings.hpp"
#include "peer/codec.hpp"
#include "shares/table.hpp"
#include "state/client.hpp"
#include "wire/exchange.hpp"
#include "wire/http_status.hpp"

namespace reachhoist::service {

using wire::Json;
using wire::Time;

// The log levels, the most important one first.
enum class LogLevel { error, info, debug };

// An HTTP response to one request of a user or worker.
struct Response {
  std::uint64_t request = 0;               // number of the request, as given in Request
  int status = http::kServiceUnavailable;  // HTTP status
  Json body;                               // null if the response has no body
  std::optional<int> retryAfterS;          // value of the Retry-After header
};

// A message to one sibling.
struct OutgoingPeerMessage {
  std::string to;  // label of the sibling
  peer::Message message;
};

// One key=value pair of a log line.
struct LogField {
  std::string_view key;
  std::string value;
  LogField(std::string_view fieldKey, std::string fieldValue) : key(fieldKey), value(std::move(fieldValue)) {}
  LogField(std::string_view fieldKey, const char* fieldValue) : key(fieldKey), value(fieldValue) {}
  template <class Number>
  requires std::is_arithmetic_v<Number> LogField(std::string_view fieldKey, Number number)
      : key(fieldKey), value(std::to_string(number)) {}
};

// Components read the current time here and queue their output here. Controller::drain() collects the output.
// Context is not thread-safe.
struct Context {
  using LogSink = std::function<void(LogLevel, const std::string&)>;

  // `controllerSettings` must outlive the context. Lines less important than `logLevel` are dropped.
  Context(const config::Settings& controllerSettings, LogLevel logLevel, LogSink sink);
  Context(const Context&) = delete;

  const config::Settings& settings;
  wire::Calls calls;             // calls to outside systems that are queued or in flight
  state::Client state;           // client of the key-value store
  Time now{};                    // steady time of the event being handled
  std::int64_t wallClockMs = 0;  // wall-clock time of that event since the Unix epoch
  // The time at which this process last resumed after a suspension during which the clocks ran on. Messages
  // received before it say nothing about the present state of their senders.
  Time resumedAt{};
  Time lastSiblingHeartbeatAt{};           // receipt of the latest heartbeat of any sibling
  Time lastConfirmedSiblingHeartbeatAt{};  // receipt of one whose sender reaches the key-value store
  std::optional<std::vector<wire::MachineType>> catalog;  // machine types; unset until they are loaded
  std::optional<shares::Table> shares;            // fair-share table in force; unset if shares are off
  std::vector<Response> responses;                // queued responses
  std::vector<OutgoingPeerMessage> peerMessages;  // queued messages to siblings
  LogLevel level;
  LogSink logSink;

  // Returns whether lines of this level are logged, so that callers can skip the building of costly fields.
  bool isLogged(LogLevel lineLevel) const { return lineLevel <= level; }
  // Logs one line of the form `event=NAME key=value ...`.
  void logEvent(LogLevel lineLevel, std::string_view name, std::initializer_list<LogField> fields = {}) const;
  // Queues a response to a request.
  void reply(std::uint64_t request, int status, Json body, std::optional<int> retryAfterS = std::nullopt);
  // Queues a response whose body holds the error text.
  void replyError(std::uint64_t request, int status, const std::string& error);
  // Queues a 503 response with Retry-After. The request may succeed when the client repeats it.
  void replyTryAgain(std::uint64_t request);
  // Queues a message to one sibling.
  void sendTo(const std::string& sibling, peer::Payload payload);
  // Queues a message to each sibling.
  void broadcast(const peer::Payload& payload);
};

}  // namespace reachhoist::service
