// Preemption for fair shares; see share_preemptor.hpp.
#include "placement/share_preemptor.hpp"

#include <algorithm>
#include <utility>

#include "placement/pending_capacity.hpp"

namespace reachhoist::placement {

void SharePreemptor::preemptFor(const Job& job, std::uint32_t tasks, std::uint32_t covered) {
  claim(job, covered);
  if (!state_.mayPlaceAnotherJob() || !state_.shareAccount->mayStart(job)) return;
  state_.entitledJobs.push_back(&job);
  const std::uint32_t pending = promisePendingCapacity(state_, job, tasks - std::min(covered, tasks));
  claim(job, pending);
  covered += pending;
  if (!state_.input.canPreemptForShares || covered >= tasks || !mayPreemptMore(job)) return;
  if (!state_.shareAccount->anyGroupAboveEntitlement() || foundNoVictimsBefore(job)) return;
  state_.plan.triedSharePreemption = true;
  std::vector<Candidate> candidates = findCandidates(job);
  const bool anywhere = !job.spec.allowedMachineTypes && !job.spec.requiredZone && !job.spec.singleZone &&
                        !job.spec.spreadZones;
  if (candidates.empty() && anywhere && (job.spec.allowsSpot || !state_.anySpotMachine))
    jobsWithoutVictims_.push_back(&job);
  preemptCheapest(job, std::move(candidates), tasks - covered);
}

void SharePreemptor::claim(const Job& job, std::uint32_t tasks) {
  for (std::uint32_t i = 0; i < tasks; ++i) state_.shareAccount->claim(job);
}

bool SharePreemptor::mayPreemptMore(const Job& job) const {
  return state_.shareAccount->withinReclaimStep() && state_.shareAccount->mayClaim(job);
}

std::vector<SharePreemptor::Candidate> SharePreemptor::findCandidates(const Job& job) const {
  std::vector<Candidate> candidates;
  for (std::size_t at = 0; at < state_.bins.size(); ++at)
    if (auto candidate = findCandidate(job, at)) candidates.push_back(std::move(*candidate));
  return candidates;
}

void SharePreemptor::preemptCheapest(const Job& job, std::vector<Candidate> heap, std::uint32_t tasks) {
  std::make_heap(heap.begin(), heap.end());
  for (std::uint32_t covered = 0; !heap.empty() && covered < tasks && mayPreemptMore(job);) {
    std::pop_heap(heap.begin(), heap.end());
    const Candidate ranked = std::move(heap.back());
    heap.pop_back();
    // Preemptions since the ranking may have changed what this bin can give.
    auto candidate = findCandidate(job, ranked.bin);
    if (!candidate) continue;
    if (candidate->costS <= ranked.costS) {
      preempt(job, *candidate);
      ++covered;
      candidate = findCandidate(job, ranked.bin);
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

std::optional<SharePreemptor::Candidate> SharePreemptor::findCandidate(const Job& job, std::size_t at) const {
  const Bin& bin = state_.bins[at];
  const Machine& machine = *bin.machine;
  if (bin.lowestPriority > job.spec.priority || !isUsable(bin, job)) return std::nullopt;
  if (!state_.zoneAccepts(job, machine.zone)) return std::nullopt;
  Victims ranked;
  for (const machines::Attempt& attempt : machine.attempts)
    if (mayPreemptForShare(state_, job, attempt)) ranked.push_back(&attempt);
  std::sort(ranked.begin(), ranked.end(),
            [this](const auto* a, const auto* b) { return lostWorkS(state_, *a) < lostWorkS(state_, *b); });
  Candidate candidate{
      machine.hasImage(job.spec.image) ? 0 : machine.pullSeconds(job.spec.imageSizeGb), at, {}};
  wire::Resources capacity = bin.unpromisedCapacity();
  shares::ShareAccount::ReclaimTrial trial(*state_.shareAccount);
  for (const auto* victim : ranked) {
    if (job.spec.taskResources.fitsIn(capacity)) break;
    if (!trial.mayReclaim(*victim)) continue;
    trial.reclaim(*victim);
    capacity += victim->resources;
    candidate.costS += preemptionCostS(state_, *victim);
    candidate.victims.push_back(victim);
  }
  if (candidate.victims.empty() || !job.spec.taskResources.fitsIn(capacity)) return std::nullopt;
  return candidate;
}

void SharePreemptor::preempt(const Job& job, const Candidate& candidate) {
  Bin& bin = state_.bins[candidate.bin];
  for (const auto* victim : candidate.victims) {
    state_.shareAccount->reclaim(*victim);
    bin.leaving += victim->resources;
    bin.hasStoppingAttempts = true;
    state_.preempt(*bin.machine, *victim);
    ++state_.plan.sharePreemptions;
  }
  bin.promised += job.spec.taskResources;
  state_.shareAccount->claim(job);
  state_.countInZone(job, bin.machine->zone);
}

}  // namespace reachhoist::placement
