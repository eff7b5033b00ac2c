// Fair-share tables: limits of a table and the pace of its convergence.
#pragma once

#include <chrono>
#include <cstddef>

namespace reachhoist::constants {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// Most groups of a table: its record stays below the value size limit.
inline constexpr std::size_t kMaxShareGroups = 64;
// Largest weight: ratios beyond this are mistakes.
inline constexpr double kMaxShareWeight = 1e6;
// Change requests remembered, to recognise repeated (idempotent) requests.
inline constexpr std::size_t kShareRequestHistory = 8;
// Longest request id, in bytes: a UUID and a little more.
inline constexpr std::size_t kMaxShareRequestIdBytes = 40;
// Longest time between a worker's heartbeats, as a factor of the heartbeat interval.
inline constexpr double kHeartbeatJitterFactor = 1.25;
// Between writes of the groups' status, if it has changed.
inline constexpr milliseconds kShareStatusInterval = 5s;
// Between tries to write the first table.
inline constexpr milliseconds kShareWriteRetryInterval = 2s;

}  // namespace reachhoist::constants
