// Time limits of outgoing calls, and of relaying heartbeats to the leader.
#pragma once

#include <chrono>

namespace reachhoist::constants {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// Key-value store: it answers within 10 ms, at times within some 100 ms.
inline constexpr milliseconds kStateCallTimeout = 1500ms;
// Reads of whole prefixes after an election: large answers take longer to parse.
inline constexpr milliseconds kStateLoadTimeout = 5s;
// Cloud: instance requests are answered in about 100 ms; calls that hang are cut off.
inline constexpr milliseconds kCloudCallTimeout = 5s;
// Worker: a healthy one answers commands within milliseconds.
inline constexpr milliseconds kWorkerCallTimeout = 2s;
// How long the key-value store may hold a watch (long poll) open; an open watch uses no request budget.
inline constexpr milliseconds kWatchPollTimeout = 10s;
// Beyond kWatchPollTimeout, before a watch counts as lost.
inline constexpr milliseconds kWatchTimeoutSlack = 3s;

// The leader's answer to a relayed heartbeat: below the 4 s after which a worker tries another controller.
inline constexpr milliseconds kRelayTimeout = 3s;
// A worker that comes back within this after being redirected could not reach the leader: it is relayed.
inline constexpr milliseconds kRedirectMemory = 8s;
// How long a worker's heartbeats are relayed before it is redirected again, to try the direct way.
inline constexpr milliseconds kMaxRelayDuration = 30s;

}  // namespace reachhoist::constants
