// The request budget of the key-value store and the format of the records in it.
#pragma once

#include <chrono>
#include <cstdint>

namespace reachhoist::constants {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// --- Request budget, as shares of the store's stated rates -----------------------------------------------
// The leader's share.
inline constexpr double kLeaderBudgetShare = 0.60;
// Most that any other controller gets; many controllers divide what the leader leaves.
inline constexpr double kFollowerBudgetShare = 0.18;
// The admin daemon's share, taken from the margin that the controllers keep.
inline constexpr double kAdminBudgetShare = 0.02;
// Part of the stated rate that all shares together may use: clocks and windows differ.
inline constexpr double kRateLimitUtilization = 0.92;
// Most that one controller spends on confirming reads.
inline constexpr double kMaxPollBudgetShare = 0.12;
// The same for all controllers together.
inline constexpr double kTotalPollBudgetShare = 0.40;

// --- Staleness and backoff -------------------------------------------------------------------------------
// A feed is confirmed by a read after this long, even if no request waits for it.
inline constexpr milliseconds kMaxFeedStaleness = 1s;
// A controller without confirmed reads for this long is isolated, if siblings reach the store or can't be
// heard either.
inline constexpr milliseconds kStateIsolationTimeout = 4s;
// Backoff of background work after a 429 or 503.
inline constexpr milliseconds kStateBackoff = 250ms;

// --- Records ---------------------------------------------------------------------------------------------
// Layout of the records; layout 1 kept placements in one record per machine.
inline constexpr std::uint64_t kRecordLayout = 2;
// The same with gangs among the jobs. Written with the first gang, since readers of layout 2 would lose it.
inline constexpr std::uint64_t kRecordLayoutWithGangs = 3;
// Share of the value size limit that a job's record may fill: flags and revisions vary in length.
inline constexpr double kMaxValueFill = 0.95;

}  // namespace reachhoist::constants
