// Pending capacity: the capacity that attempts which are being stopped will free. A round uses it before it
// preempts more attempts. Otherwise every round would preempt more attempts for the same task.
#pragma once

#include <cstdint>

#include "placement/round_state.hpp"

namespace reachhoist::placement {

// Returns for how many waiting tasks of the job there will be pending capacity, regardless of other jobs.
std::uint32_t countPendingCapacity(const RoundState& state, const Job& job);

// Promises pending capacity to up to `taskCount` tasks of the job and returns their number. Capacity that is
// already promised does not count, so that attempts are not preempted twice for one claim.
std::uint32_t promisePendingCapacity(RoundState& state, const Job& job, std::uint32_t taskCount);

}  // namespace reachhoist::placement
