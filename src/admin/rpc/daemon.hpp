// The admin daemon: serves operators' tools on loopback or a Unix socket.
#pragma once

#include <string>

#include "config/settings.hpp"

namespace reachhoist::admin {

// Whether only this machine can reach the address: "unix:PATH", "127.x.x.x:PORT", "localhost:PORT" or
// "[::1]:PORT".
bool isLocal(const std::string& address);

// Serves until the process is told to end (SIGTERM, SIGINT); the exit status.
int serve(const config::Settings& settings, const std::string& address);

}  // namespace reachhoist::admin
