// Capacity that attempts which are being stopped will free. It counts before more is preempted: otherwise
// every round would preempt more for the same task.
#pragma once

#include <cstdint>

#include "placement/round_state.hpp"

namespace reachhoist::placement {

// Tasks of the job for which capacity will be freed, with no regard to other jobs.
std::uint32_t countPendingCapacity(const RoundState& state, const Job& job);

// Up to so many tasks of the job for which capacity will be freed that no other job counts on. Promises that
// capacity to the job: nothing is preempted twice for one claim.
std::uint32_t promisePendingCapacity(RoundState& state, const Job& job, std::uint32_t tasks);

}  // namespace reachhoist::placement
