// Which attempts may be preempted, and what that loses; see preemption_rules.hpp.
#include "placement/preemption_rules.hpp"

#include <algorithm>

namespace reachhoist::placement {

namespace {

constexpr double kPreemptionCostS = 1.0;  // of any preemption: fewer victims are better

bool isPreemptible(const machines::Attempt& attempt) {
  using machines::AttemptPhase;
  if (attempt.stopRequested || attempt.team.empty()) return false;
  return attempt.phase == AttemptPhase::recorded || attempt.phase == AttemptPhase::pulling ||
         attempt.phase == AttemptPhase::running;
}

}  // namespace

bool mayPreemptByRank(const RoundState& state, const Job& job, bool guaranteed,
                      const machines::Attempt& attempt) {
  if (!isPreemptible(attempt)) return false;
  const bool attemptGuaranteed = state.isWithinGuarantee(attempt.task.job.text);
  if (attemptGuaranteed && !guaranteed) return false;
  if (attempt.priority < job.spec.priority) return true;
  return guaranteed && !attemptGuaranteed && attempt.priority <= job.spec.priority &&
         attempt.team != job.spec.team && state.quotas.exceedsGuarantee(attempt.team);
}

bool mayPreemptAnyByRank(const RoundState& state, const Job& job) {
  if (job.spec.priority > state.lowestPriority) return true;
  return state.isWithinGuarantee(job.spec.ref.text) && state.anyTeamOverGuarantee;
}

bool mayPreemptForShare(const RoundState& state, const Job& job, const machines::Attempt& attempt) {
  return isPreemptible(attempt) && !state.isPreempted(attempt) && attempt.priority <= job.spec.priority &&
         state.shareAccount->mayReclaim(attempt);
}

double lostWorkS(const RoundState& state, const machines::Attempt& attempt) {
  // Preempting one task of a gang stops the whole gang.
  if (attempt.isGangMember) {
    const bool unreachable = state.unreachableGangs.contains(attempt.number);
    const double stopS =
        unreachable ? constants::kUnreachableGangPreemptionCostS : constants::kGangPreemptionCostS;
    return stopS + wire::toSeconds(state.input.now - attempt.placedAt);
  }
  if (attempt.phase != machines::AttemptPhase::running) return 0;
  return attempt.canCheckpoint ? attempt.checkpointDurationS
                               : wire::toSeconds(state.input.now - attempt.runningSince);
}

double preemptionCostS(const RoundState& state, const machines::Attempt& attempt) {
  return lostWorkS(state, attempt) + kPreemptionCostS;
}

void sortByRankAndLoss(const RoundState& state, Victims& victims) {
  std::sort(victims.begin(), victims.end(), [&](const auto* a, const auto* b) {
    if (a->priority != b->priority) return a->priority < b->priority;
    return lostWorkS(state, *a) < lostWorkS(state, *b);
  });
}

}  // namespace reachhoist::placement
