// The order in which a placement round serves the waiting jobs.
#pragma once

#include <cstdint>
#include <vector>

#include "placement/round_state.hpp"

namespace reachhoist::placement {

// What is served first.
enum class JobTier {
  byPriority,     // priority high or above, by priority
  guaranteed,     // within the team's guarantee
  starved,        // no task of it was started for long
  sloReachable,   // some SLO can still be met; earliest deadline first
  sloUnreachable  // none can be met; oldest first
};

// A waiting job with its sort key, which is computed once a round.
struct QueuedJob {
  Job* job;
  JobTier tier;
  std::int64_t latestStartMs;  // wall clock; within a tier, earlier ones go first

  // Whether the job may preempt others by priority or for its team's guarantee.
  bool mayPreemptByRank() const { return tier <= JobTier::starved; }
};

// The waiting jobs in the order in which they are served.
std::vector<QueuedJob> orderJobs(const RoundState& state);

}  // namespace reachhoist::placement
