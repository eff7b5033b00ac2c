// Which attempts may be preempted for a job, and what the preemption loses.
#pragma once

#include <vector>

#include "placement/round_state.hpp"

namespace reachhoist::placement {

using Victims = std::vector<const machines::Attempt*>;

// Whether the attempt may be preempted for the job by rank: it has a lower priority; or, if the job is within
// its team's guarantee (`guaranteed`), it belongs to another team that exceeds its own.
bool mayPreemptByRank(const RoundState& state, const Job& job, bool guaranteed,
                      const machines::Attempt& attempt);

// Whether any attempt may be preempted for the job by rank; a quick check before a search.
bool mayPreemptAnyByRank(const RoundState& state, const Job& job);

// Whether the attempt may be preempted for the sake of fair shares. Needs a share account.
bool mayPreemptForShare(const RoundState& state, const Job& job, const machines::Attempt& attempt);

// Seconds of work that preempting the attempt loses.
double lostWorkS(const RoundState& state, const machines::Attempt& attempt);

// Cost of preempting the attempt, in seconds: the lost work, and a little for the preemption itself.
double preemptionCostS(const RoundState& state, const machines::Attempt& attempt);

// Sorts by priority, and within one priority by lost work.
void sortByRankAndLoss(const RoundState& state, Victims& victims);

}  // namespace reachhoist::placement
