#include "service/context.hpp"

#include <utility>

namespace reachhoist::service {

Context::Context(const config::Settings& controllerSettings, LogLevel logLevel, LogSink sink)
    : settings(controllerSettings), state(calls, settings), level(logLevel), logSink(std::move(sink)) {}

void Context::logEvent(LogLevel lineLevel, std::string_view name,
                       std::initializer_list<LogField> fields) const {
  if (!isLogged(lineLevel)) return;
  std::string line = "event=" + std::string(name);
  for (const LogField& field : fields) line.append(" ").append(field.key).append("=").append(field.value);
  logSink(lineLevel, line);
}

void Context::reply(std::uint64_t request, int status, Json body, std::optional<int> retryAfterS) {
  responses.push_back(Response{request, status, std::move(body), retryAfterS});
}

void Context::replyError(std::uint64_t request, int status, const std::string& error) {
  reply(request, status, Json{{"error", error}});
}

void Context::replyTryAgain(std::uint64_t request) {
  reply(request, http::kServiceUnavailable, Json{{"error", "try again"}}, constants::kRetryAfterS);
}

void Context::sendTo(const std::string& sibling, peer::Payload payload) {
  peerMessages.push_back(OutgoingPeerMessage{sibling, peer::Message{settings.label, std::move(payload)}});
}

void Context::broadcast(const peer::Payload& payload) {
  for (const config::Sibling& sibling : settings.siblings) sendTo(sibling.label, payload);
}

}  // namespace reachhoist::service
