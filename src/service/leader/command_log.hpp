// Log lines of commands to workers.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "service/context.hpp"
#include "service/leader/heartbeat_source.hpp"

namespace reachhoist::service {

// Logs each command to the machine at debug level, with its fencing token and the way that it takes.
void logCommands(const Context& context, const std::string& host, HeartbeatSource source,
                 std::uint64_t fencingToken, const std::vector<wire::Command>& commands);

}  // namespace reachhoist::service
