// What every part of one controller's decisions shares: settings, time, calls, answers and the log.
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

namespace reachhoist::service {

using wire::Json;
using wire::Time;

enum class Level { error, info, debug };

struct Reply {
  std::uint64_t request = 0;
  int status = 503;
  Json body;
  std::optional<int> retryAfterS;
};

struct PeerSend {
  std::string to;
  peer::Message message;
};

struct LogField {
  std::string_view key;
  std::string value;
  LogField(std::string_view k, std::string v) : key(k), value(std::move(v)) {}
  LogField(std::string_view k, const char* v) : key(k), value(v) {}
  template <class Number>
  requires std::is_arithmetic_v<Number> LogField(std::string_view k, Number v)
      : key(k), value(std::to_string(v)) {}
};

struct Context {
  using LogSink = std::function<void(Level, const std::string&)>;

  Context(const config::Settings& s, Level l, LogSink sink)
      : settings(s), state(calls, settings), level(l), logSink(std::move(sink)) {}
  Context(const Context&) = delete;

  const config::Settings& settings;
  wire::Calls calls;
  state::Client state;
  Time now{};
  std::int64_t wallMs = 0;
  // When this process last went on after it had stood still while the clocks ran: what was known before is
  // void.
  Time resumedAt{};
  Time siblingHeardAt{};      // the latest word of any sibling
  Time siblingConfirmedAt{};  // the latest word of one that has the state service
  std::optional<std::vector<wire::MachineType>> catalog;
  std::optional<shares::Table> shares;  // in force; none: nothing is divided
  std::vector<Reply> replies;
  std::vector<PeerSend> peerOut;
  Level level;
  LogSink logSink;

  bool logs(Level of) const { return of <= level; }
  // One line per event: event=NAME key=value ...
  void event(Level of, std::string_view name, std::initializer_list<LogField> fields = {}) const;
  void reply(std::uint64_t request, int status, Json body, std::optional<int> retryAfterS = std::nullopt) {
    replies.push_back(Reply{request, status, std::move(body), retryAfterS});
  }
  void later(std::uint64_t request) {
    reply(request, 503, Json{{"error", "try again"}}, constants::kRetryAfterS);
  }
};

}  // namespace reachhoist::service
