// The admin daemon. It serves the operators' tools on a loopback address or a Unix socket.
#pragma once

#include <string>

#include "config/settings.hpp"

namespace reachhoist::admin {

// Returns whether the address can be reached from this host only. Such addresses are "unix:PATH",
// "127.x.x.x:PORT", "localhost:PORT" and "[::1]:PORT".
bool isLocalAddress(const std::string& address);

// Serves until SIGTERM or SIGINT ends the process with status 0. Returns, with the exit status, only if the
// daemon can't listen on the address.
int serve(const config::Settings& settings, const std::string& address);

}  // namespace reachhoist::admin
