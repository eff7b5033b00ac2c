#include "service/leader/command_log.hpp"

namespace reachhoist::service {

namespace {

const char* verbName(wire::CommandVerb verb) {
  switch (verb) {
    case wire::CommandVerb::start:
      return "start";
    case wire::CommandVerb::stop:
      return "stop";
    case wire::CommandVerb::forget:
      return "forget";
  }
  return "";
}

// The way of a command to the worker whose state came from the source.
const char* pathName(HeartbeatSource source) {
  switch (source) {
    case HeartbeatSource::worker:
      return "answer";
    case HeartbeatSource::siblingRelay:
      return "relayed answer";
    case HeartbeatSource::directCall:
      return "direct call";
  }
  return "";
}

}  // namespace

void logCommands(const Context& context, const std::string& host, HeartbeatSource source,
                 std::uint64_t fencingToken, const std::vector<wire::Command>& commands) {
  if (!context.isLogged(LogLevel::debug)) return;
  for (const wire::Command& command : commands)
    context.logEvent(LogLevel::debug, "command",
                     {{"verb", verbName(command.verb)},
                      {"task", command.task.str()},
                      {"attempt", command.attempt},
                      {"machine", host},
                      {"token", fencingToken},
                      {"by", pathName(source)}});
}

}  // namespace reachhoist::service
