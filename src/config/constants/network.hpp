// Sockets, connections and message sizes of the HTTP server, the HTTP client and the links between
// controllers.
#pragma once

#include <chrono>
#include <cstddef>

namespace reachhoist::constants {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// --- HTTP server -----------------------------------------------------------------------------------------
// A request's head and body must have arrived within this.
inline constexpr milliseconds kRequestReadTimeout = 5s;
// Idle server connections are closed after this; users poll every 5 s.
inline constexpr milliseconds kServerIdleTimeout = 75s;
// All workers connect at once when the leader changes; the system clamps the value.
inline constexpr int kListenBacklog = 4096;

// --- HTTP client -----------------------------------------------------------------------------------------
// Time for three retransmissions on these networks.
inline constexpr milliseconds kConnectTimeout = 1500ms;
// Most idle client connections kept to one address.
inline constexpr std::size_t kMaxIdlePerEndpoint = 4;
// An idle client connection is closed after this.
inline constexpr milliseconds kClientIdleTimeout = 30s;
// Largest response, in bytes; where a watch answer would be larger, the keys are listed instead.
inline constexpr std::size_t kMaxResponseBytes = 4 * 1024 * 1024;

// --- Division of a controller's sockets ------------------------------------------------------------------
// Outgoing calls get one socket in this many; workers' connections need most of them.
inline constexpr unsigned kClientSocketsDivisor = 8;
// Least sockets for outgoing calls, on the smallest controllers.
inline constexpr unsigned kMinClientSockets = 60;
// Of those, sockets kept for the key-value store and the cloud, never used for calls to workers.
inline constexpr unsigned kReservedServiceSockets = 24;
// Sockets of peer links (32 incoming, one outgoing to each sibling), listeners and epoll.
inline constexpr unsigned kPeerLinkSockets = 60;
// Least max_connections with which a controller can serve.
inline constexpr unsigned kMinConnections = 240;

// --- Links between controllers ---------------------------------------------------------------------------
// Largest peer message, in bytes.
inline constexpr std::size_t kMaxPeerFrameBytes = 256 * 1024;
// Most jobs in one progress message: some 60 bytes each.
inline constexpr std::size_t kMaxJobsPerProgressMessage = 2000;
// Most bytes queued to a peer; beyond this messages are dropped.
inline constexpr std::size_t kMaxPeerBacklogBytes = 512 * 1024;
// Between tries to connect to a sibling.
inline constexpr milliseconds kPeerRetryInterval = 500ms;
// Between heartbeats to siblings; they carry job progress and prove that the link works.
inline constexpr milliseconds kPeerHeartbeatInterval = 1s;
// How long what a sibling's heartbeat said counts as current; one comes each second.
inline constexpr milliseconds kPeerHeartbeatTimeout = 2500ms;

}  // namespace reachhoist::constants
