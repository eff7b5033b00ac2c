// Preemption for fair shares; see share_preemptor.hpp.
#include "placement/share_preemptor.hpp"

#include <algorithm>
#include <utility>

#include "placement/pending_capacity.hpp"

namespace reachhoist::placement {

void SharePreemptor::preemptFor(const Job& job, std::uint32_t taskCount, std::uint32_t coveredTasks) {
  recordClaims(job, coveredTasks);
  if (!state_.canPlaceAnotherJob() || !state_.shareAccount->canStart(job)) return;
  state_.entitledJobs.push_back(&job);
  const std::uint32_t pendingTasks =
      promisePendingCapacity(state_, job, taskCount - std::min(coveredTasks, taskCount));
  recordClaims(job, pendingTasks);
  coveredTasks += pendingTasks;
  if (!state_.input.canPreemptForShares || coveredTasks >= taskCount || !canPreemptMore(job)) return;
  if (!state_.shareAccount->hasGroupAboveEntitlement() || foundNoVictimsBefore(job)) return;
  state_.plan.searchedForShareVictims = true;
  std::vector<Candidate> candidates = findCandidates(job);
  const bool canRunAnywhere = !job.spec.allowedMachineTypes && !job.spec.requiredZone &&
                              !job.spec.singleZone && !job.spec.spreadZones;
  if (candidates.empty() && canRunAnywhere && (job.spec.allowsSpot || !state_.hasSpotMachine))
    jobsWithoutVictims_.push_back(&job);
  preemptCheapest(job, std::move(candidates), taskCount - coveredTasks);
}

void SharePreemptor::recordClaims(const Job& job, std::uint32_t taskCount) {
  for (std::uint32_t i = 0; i < taskCount; ++i) state_.shareAccount->recordClaim(job);
}

bool SharePreemptor::canPreemptMore(const Job& job) const {
  return state_.shareAccount->isWithinReclaimStep() && state_.shareAccount->canClaim(job);
}

std::vector<SharePreemptor::Candidate> SharePreemptor::findCandidates(const Job& job) const {
  std::vector<Candidate> candidates;
  for (std::size_t i = 0; i < state_.bins.size(); ++i)
    if (auto candidate = findCandidate(job, i)) candidates.push_back(std::move(*candidate));
  return candidates;
}

void SharePreemptor::preemptCheapest(const Job& job, std::vector<Candidate> heap, std::uint32_t taskCount) {
  std::make_heap(heap.begin(), heap.end());
  for (std::uint32_t coveredTasks = 0; !heap.empty() && coveredTasks < taskCount && canPreemptMore(job);) {
    std::pop_heap(heap.begin(), heap.end());
    const Candidate ranked = std::move(heap.back());
    heap.pop_back();
    // The candidate is computed again, since preemptions after the ranking can have changed its victims.
    auto candidate = findCandidate(job, ranked.binIndex);
    if (!candidate) continue;
    if (candidate->costS <= ranked.costS) {
      preempt(job, *candidate);
      ++coveredTasks;
      candidate = findCandidate(job, ranked.binIndex);
      if (!candidate) continue;
    }
    heap.push_back(std::move(*candidate));
    std::push_heap(heap.begin(), heap.end());
  }
}

bool SharePreemptor::foundNoVictimsBefore(const Job& job) const {
  return std::any_of(jobsWithoutVictims_.begin(), jobsWithoutVictims_.end(), [&](const Job* other) {
    return other->spec.taskResources.fitsIn(job.spec.taskResources) &&
           other->spec.priority >= job.spec.priority;
  });
}

std::optional<SharePreemptor::Candidate> SharePreemptor::findCandidate(const Job& job,
                                                                       std::size_t binIndex) const {
  const Bin& bin = state_.bins[binIndex];
  const Machine& machine = *bin.machine;
  if (bin.lowestPriority > job.spec.priority || !isUsable(bin, job)) return std::nullopt;
  if (!state_.zoneAccepts(job, machine.zone)) return std::nullopt;
  Victims ranked;
  for (const machines::Attempt& attempt : machine.attempts)
    if (canPreemptForShare(state_, job, attempt)) ranked.push_back(&attempt);
  std::sort(ranked.begin(), ranked.end(),
            [this](const auto* a, const auto* b) { return lostWorkS(state_, *a) < lostWorkS(state_, *b); });
  Candidate candidate{
      machine.hasImage(job.spec.image) ? 0 : machine.pullSeconds(job.spec.imageSizeGb), binIndex, {}};
  wire::Resources capacity = bin.unpromisedCapacity();
  shares::ShareAccount::ReclaimTrial trial(*state_.shareAccount);
  for (const auto* victim : ranked) {
    if (job.spec.taskResources.fitsIn(capacity)) break;
    if (!trial.canReclaim(*victim)) continue;
    trial.add(*victim);
    capacity += victim->resources;
    candidate.costS += preemptionCostS(state_, *victim);
    candidate.victims.push_back(victim);
  }
  if (candidate.victims.empty() || !job.spec.taskResources.fitsIn(capacity)) return std::nullopt;
  return candidate;
}

void SharePreemptor::preempt(const Job& job, const Candidate& candidate) {
  Bin& bin = state_.bins[candidate.binIndex];
  for (const auto* victim : candidate.victims) {
    state_.shareAccount->recordReclaim(*victim);
    bin.stoppingCapacity += victim->resources;
    bin.hasStoppingAttempts = true;
    state_.preempt(*bin.machine, *victim);
    ++state_.plan.sharePreemptions;
  }
  bin.promisedCapacity += job.spec.taskResources;
  state_.shareAccount->recordClaim(job);
  state_.countInZone(job, bin.machine->zone);
}

}  // namespace reachhoist::placement
