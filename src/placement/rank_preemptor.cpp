// Preemption by rank; see rank_preemptor.hpp.
#include "placement/rank_preemptor.hpp"

#include <utility>

#include "placement/pending_capacity.hpp"

namespace reachhoist::placement {

std::uint32_t RankPreemptor::preemptFor(const Job& job, std::uint32_t taskCount) {
  if (!canPreemptAnyByRank(state_, job)) return 0;
  const bool isGuaranteed = state_.isWithinGuarantee(job.spec.ref.text);
  std::uint32_t coveredTasks = state_.shareAccount ? promisePendingCapacity(state_, job, taskCount)
                                                   : countPendingCapacity(state_, job);
  for (; coveredTasks < taskCount && state_.plan.preemptions.size() < state_.input.maxPreemptions;
       ++coveredTasks)
    if (!preemptForOneTask(job, isGuaranteed)) break;
  return coveredTasks;
}

bool RankPreemptor::preemptForOneTask(const Job& job, bool isGuaranteed) {
  std::optional<Candidate> cheapest;
  for (Bin& bin : state_.bins) {
    std::optional<Candidate> candidate = findCandidate(bin, job, isGuaranteed);
    if (candidate && (!cheapest || candidate->costS < cheapest->costS)) cheapest = std::move(candidate);
  }
  if (!cheapest) return false;
  preempt(job, *cheapest);
  return true;
}

std::optional<RankPreemptor::Candidate> RankPreemptor::findCandidate(Bin& bin, const Job& job,
                                                                     bool isGuaranteed) const {
  const Machine& machine = *bin.machine;
  // On most machines no attempt has a low enough rank. These checks skip such machines without a search of
  // their attempts.
  const bool canPreemptAnyPriority =
      isGuaranteed && state_.hasTeamOverGuarantee && state_.isOverdueWithinGuarantee(job);
  if (bin.lowestPriority > job.spec.priority && !canPreemptAnyPriority) return std::nullopt;
  if (bin.lowestPriority == job.spec.priority && !isGuaranteed) return std::nullopt;
  if (!isUsable(bin, job) || !state_.zoneAccepts(job, machine.zone)) return std::nullopt;
  Victims ranked;
  for (const machines::Attempt& attempt : machine.attempts)
    if (canPreemptByRank(state_, job, isGuaranteed, attempt) && !state_.isPreempted(attempt))
      ranked.push_back(&attempt);
  sortByRankAndLoss(state_, ranked);
  wire::Resources capacity = bin.freeCapacity;
  Candidate candidate{
      &bin, {}, machine.hasImage(job.spec.image) ? 0 : machine.pullSeconds(job.spec.imageSizeGb)};
  for (const auto* victim : ranked) {
    if (job.spec.taskResources.fitsIn(capacity)) break;
    capacity += victim->resources;
    candidate.costS += preemptionCostS(state_, *victim);
    candidate.victims.push_back(victim);
  }
  if (!job.spec.taskResources.fitsIn(capacity) || candidate.victims.empty()) return std::nullopt;
  return candidate;
}

void RankPreemptor::preempt(const Job& job, const Candidate& candidate) {
  Bin& bin = *candidate.bin;
  for (const auto* victim : candidate.victims) {
    if (state_.shareAccount) state_.shareAccount->recordStop(*victim);
    bin.freeCapacity += victim->resources;
    state_.preempt(*bin.machine, *victim);
  }
  // The capacity is reserved for the task for which it is freed.
  bin.freeCapacity -= job.spec.taskResources;
  state_.countInZone(job, bin.machine->zone);
}

}  // namespace reachhoist::placement
