// State shared by all components of one controller: settings, current time, outgoing calls, replies, messages
// to siblings, and the log.
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

// Log levels, most important first.
enum class Level { error, info, debug };

// An HTTP response to one request of a user or worker.
struct Reply {
  std::uint64_t request = 0;               // number of the request, as given in Request
  int status = http::kServiceUnavailable;  // HTTP status
  Json body;                               // null: no body
  std::optional<int> retryAfterS;          // Retry-After header in seconds
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
  LogField(std::string_view name, std::string text) : key(name), value(std::move(text)) {}
  LogField(std::string_view name, const char* text) : key(name), value(text) {}
  template <class Number>
  requires std::is_arithmetic_v<Number> LogField(std::string_view name, Number number)
      : key(name), value(std::to_string(number)) {}
};

// Components read the time and queue their output here; Controller::drain() takes the output. Not
// thread-safe.
struct Context {
  using LogSink = std::function<void(Level, const std::string&)>;

  // `controllerSettings` must outlive the context. Lines above `logLevel` are dropped.
  Context(const config::Settings& controllerSettings, Level logLevel, LogSink sink);
  Context(const Context&) = delete;

  const config::Settings& settings;
  wire::Calls calls;             // calls to outside systems that are queued or in flight
  state::Client state;           // client of the key-value store
  Time now{};                    // steady time of the event that is being handled
  std::int64_t wallClockMs = 0;  // the same as milliseconds since the Unix epoch
  // When this process last resumed after it had been suspended while the clocks ran on. What was heard before
  // says nothing about the present.
  Time resumedAt{};
  Time lastSiblingHeartbeatAt{};           // latest heartbeat of any sibling
  Time lastConfirmedSiblingHeartbeatAt{};  // latest heartbeat of a sibling that reaches the key-value store
  std::optional<std::vector<wire::MachineType>> catalog;  // machine types; none until they are known
  std::optional<shares::Table> shares;                    // fair-share table in force; none: shares are off
  std::vector<Reply> replies;                             // responses to be sent
  std::vector<OutgoingPeerMessage> peerMessages;          // messages to be sent to siblings
  Level level;
  LogSink logSink;

  // Whether lines of this level are logged; guards the building of costly fields.
  bool isLogged(Level of) const { return of <= level; }
  // Logs one line: event=NAME key=value ...
  void event(Level of, std::string_view name, std::initializer_list<LogField> fields = {}) const;
  // Queues a response to a request.
  void reply(std::uint64_t request, int status, Json body, std::optional<int> retryAfterS = std::nullopt);
  // Queues a response whose body says what is wrong.
  void replyError(std::uint64_t request, int status, const std::string& error);
  // Answers 503 with Retry-After: the request may succeed when it is repeated.
  void replyTryAgain(std::uint64_t request);
  // Queues a message to one sibling.
  void sendTo(const std::string& sibling, peer::Payload payload);
  // Queues a message to each sibling.
  void broadcast(const peer::Payload& payload);
};

}  // namespace reachhoist::service
