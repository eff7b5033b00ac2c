// Rules of preemption; see preemption_rules.hpp.
#include "placement/preemption_rules.hpp"

#include <algorithm>

namespace reachhoist::placement {

namespace {

constexpr double kPreemptionCostS = 1.0;  // added for each victim, so that fewer victims cost less

bool isPreemptible(const machines::Attempt& attempt) {
  using machines::AttemptPhase;
  if (attempt.stopRequested || attempt.team.empty()) return false;
  return attempt.phase == AttemptPhase::recorded || attempt.phase == AttemptPhase::pulling ||
         attempt.phase == AttemptPhase::running;
}

}  // namespace

bool canPreemptByRank(const RoundState& state, const Job& job, bool isGuaranteed,
                      const machines::Attempt& attempt) {
  if (!isPreemptible(attempt)) return false;
  const bool isAttemptGuaranteed = state.isWithinGuarantee(attempt.task.job.text);
  if (isAttemptGuaranteed && !isGuaranteed) return false;
  if (attempt.priority < job.spec.priority) return true;
  return isGuaranteed && !isAttemptGuaranteed && attempt.team != job.spec.team &&
         (attempt.priority <= job.spec.priority || state.isOverdueWithinGuarantee(job)) &&
         state.quotas.exceedsGuarantee(attempt.team);
}

bool canPreemptAnyByRank(const RoundState& state, const Job& job) {
  if (job.spec.priority > state.lowestPriority) return true;
  return state.isWithinGuarantee(job.spec.ref.text) && state.hasTeamOverGuarantee;
}

bool canPreemptForShare(const RoundState& state, const Job& job, const machines::Attempt& attempt) {
  return isPreemptible(attempt) && !state.isPreempted(attempt) && attempt.priority <= job.spec.priority &&
         state.shareAccount->canReclaim(attempt);
}

double lostWorkS(const RoundState& state, const machines::Attempt& attempt) {
  // Preempting one task of a gang stops the whole gang.
  if (attempt.isGangMember) {
    const bool isUnreachable = state.unreachableGangs.contains(attempt.number);
    const double gangCostS =
        isUnreachable ? constants::kUnreachableGangPreemptionCostS : constants::kGangPreemptionCostS;
    return gangCostS + wire::toSeconds(state.input.now - attempt.placedAt);
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
