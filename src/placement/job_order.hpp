// The order in which a placement round serves the waiting jobs.
#pragma once

#include <cstdint>
#include <vector>

#include "placement/round_state.hpp"

namespace reachhoist::placement {

// The tiers of waiting jobs, in the order in which they are served.
enum class JobTier {
  highPriority,       // jobs of priority high or above; the highest priority goes first
  overdueGuaranteed,  // jobs that have waited long for their team's guarantee
  // Jobs of priority high or above that an overdue job could preempt. There are none if no job is overdue.
  highPriorityBeyondGuarantee,
  guaranteed,     // other jobs within their team's guarantee
  starved,        // jobs of which no task has started for long
  sloReachable,   // jobs that can still meet an SLO; ordered by latest start time
  sloUnreachable  // jobs that can meet no SLO any more; the oldest goes first
};

// A waiting job with its sort key, which is computed once in a round.
struct QueuedJob {
  Job* job;
  JobTier tier;
  std::int64_t latestStartMs;  // wall clock; within a tier, the job with the earliest time goes first

  // Whether the job can preempt attempts of other jobs by priority or for its team's guarantee.
  bool canPreemptByRank() const { return tier <= JobTier::starved; }
};

// The waiting jobs in the order in which they are served.
std::vector<QueuedJob> orderJobs(const RoundState& state);

}  // namespace reachhoist::placement
