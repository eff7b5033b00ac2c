// Preemption by rank; see rank_preemptor.hpp.
#include "placement/rank_preemptor.hpp"

#include <utility>

#include "placement/pending_capacity.hpp"

namespace reachhoist::placement {

std::uint32_t RankPreemptor::preemptFor(const Job& job, std::uint32_t tasks) {
  if (!mayPreemptAnyByRank(state_, job)) return 0;
  const bool guaranteed = state_.isWithinGuarantee(job.spec.ref.text);
  std::uint32_t covered =
      state_.shareAccount ? promisePendingCapacity(state_, job, tasks) : countPendingCapacity(state_, job);
  for (; covered < tasks && state_.plan.preemptions.size() < state_.input.maxPreemptions; ++covered)
    if (!preemptForOneTask(job, guaranteed)) break;
  return covered;
}

bool RankPreemptor::preemptForOneTask(const Job& job, bool guaranteed) {
  std::optional<Candidate> best;
  for (Bin& bin : state_.bins) {
    std::optional<Candidate> candidate = findCandidate(bin, job, guaranteed);
    if (candidate && (!best || candidate->costS < best->costS)) best = std::move(candidate);
  }
  if (!best) return false;
  preempt(job, *best);
  return true;
}

std::optional<RankPreemptor::Candidate> RankPreemptor::findCandidate(Bin& bin, const Job& job,
                                                                     bool guaranteed) const {
  const Machine& machine = *bin.machine;
  // On most machines no attempt has a low enough rank. This check skips them before a look at their attempts.
  if (bin.lowestPriority > job.spec.priority) return std::nullopt;
  if (bin.lowestPriority == job.spec.priority && !guaranteed) return std::nullopt;
  if (!isUsable(bin, job) || !state_.zoneAccepts(job, machine.zone)) return std::nullopt;
  Victims ranked;
  for (const machines::Attempt& attempt : machine.attempts)
    if (mayPreemptByRank(state_, job, guaranteed, attempt) && !state_.isPreempted(attempt))
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
    if (state_.shareAccount) state_.shareAccount->release(*victim);
    bin.freeCapacity += victim->resources;
    state_.preempt(*bin.machine, *victim);
  }
  // The freed capacity is kept for the task that it was freed for.
  bin.freeCapacity -= job.spec.taskResources;
  state_.countInZone(job, bin.machine->zone);
}

}  // namespace reachhoist::placement
