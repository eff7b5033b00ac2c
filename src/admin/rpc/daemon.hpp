// The admin daemon: serves operators' tools on loopback or a Unix socket.
#pragma once

#include <string>

#include "config/settings.hpp"

namespace reachhoist::admin {

// Whether the address can be reached from this host only: "unix:PATH", "127.x.x.x:PORT", "localhost:PORT" or
// "[::1]:PORT".
bool isLocal(const std::string& address);

// Serves until SIGTERM or SIGINT, which end the process with status 0. Returns the exit status if the address
// can't be bound.
int serve(const config::Settings& settings, const std::string& address);

}  // namespace reachhoist::admin
