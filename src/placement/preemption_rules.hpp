// Rules of preemption: which attempts can be preempted for a job, and how much work that loses.
#pragma once

#include <vector>

#include "placement/round_state.hpp"

namespace reachhoist::placement {

using Victims = std::vector<const machines::Attempt*>;

// Whether the attempt can be preempted for the job by rank. It can if its priority is lower than the job's.
// If the job is within its team's guarantee (`isGuaranteed`), the attempt can also be preempted at the same
// priority if it belongs to another team that exceeds its own guarantee, and at any priority once the job is
// overdue. An attempt of a job within a guarantee can be preempted only for another such job.
bool canPreemptByRank(const RoundState& state, const Job& job, bool isGuaranteed,
                      const machines::Attempt& attempt);

// Whether any attempt can possibly be preempted for the job by rank: a quick check before the search.
bool canPreemptAnyByRank(const RoundState& state, const Job& job);

// Whether the attempt can be preempted for fair shares in favour of the job. The state must have a share
// account.
bool canPreemptForShare(const RoundState& state, const Job& job, const machines::Attempt& attempt);

// The work that preempting the attempt loses.
double lostWorkS(const RoundState& state, const machines::Attempt& attempt);

// The cost of preempting the attempt: the lost work, and a small cost of the preemption itself.
double preemptionCostS(const RoundState& state, const machines::Attempt& attempt);

// Sorts the victims by priority, and by lost work within one priority.
void sortByRankAndLoss(const RoundState& state, Victims& victims);

}  // namespace reachhoist::placement
