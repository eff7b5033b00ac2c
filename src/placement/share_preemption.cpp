// Shares: groups that have what they are entitled to are held, and those above it give room to those below.
#include <algorithm>
#include <utility>

#include "placement/round.hpp"

namespace reachhoist::placement {

void Round::openShareAccount() {
  const auto ranksAbove = [this](const Job& job) {
    return job.spec.priority >= wire::Priority::high || withinGuarantee(job.spec.ref.text);
  };
  shareAccount_.emplace(
      shares::takeUsageSnapshot(*world_.shares, world_.settings, world_.machines, world_.open, ranksAbove),
      world_.settings.operators.shares.reclaimStep);
}

void Round::placeBeyondShare() {
  // What is awaited now stays so: nobody takes room there, and elsewhere room only becomes less.
  for (Bin& bin : bins_) bin.awaited = isAwaited(bin);
  for (const auto& [turn, progress] : std::exchange(atFairShare_, {})) placeJobBeyondShare(turn, progress);
}

void Round::placeJobBeyondShare(const Turn& turn, Fill progress) {
  Job& job = *turn.job;
  if (job.isGang()) {
    if (entitled_.empty()) return placeGang(job);
    plan_.unplaced.push_back(UnplacedDemand{&job, job.spec.taskCount});
    return;
  }
  if (job.failures.jobAtFault()) return;
  progress.limit = FillLimit::none;
  if (jobs_ < world_.maxJobs) {
    const std::uint32_t before = progress.taken;
    fill(job, mostOf(turn) - std::min(before, mostOf(turn)), BeyondShare::leftover, progress);
    if (progress.taken > before) ++jobs_;
  }
  // Sizing hears of the rest as ever: the fleet grows for all that waits, shares divide what there
  // is.
  std::uint32_t left = job.waiting - progress.taken;
  if (progress.limit == FillLimit::team) return;
  left = withinTeamLimit(job, left);
  if (left > 0) plan_.unplaced.push_back(UnplacedDemand{&job, left});
}

bool Round::isAwaited(const Bin& bin) const {
  const wire::Resources freeCapacity = bin.capacityAfterStops();
  return std::any_of(entitled_.begin(), entitled_.end(), [&](const Job* job) {
    return job->spec.each.fitsIn(freeCapacity) && usable(bin, *job);
  });
}

std::uint32_t Round::countComing(const Job& job, std::uint32_t tasks) {
  std::uint32_t coming = 0;
  for (std::vector<Bin>* bins : {&bins_, &busyBins_})
    for (Bin& bin : *bins) coming += countComingOn(bin, job, tasks - coming);
  return coming;
}

std::uint32_t Round::countComingOn(Bin& bin, const Job& job, std::uint32_t tasks) const {
  if (tasks == 0 || !bin.stopping || !usable(bin, job)) return 0;
  wire::Resources freeCapacity = bin.unpromisedCapacity();
  std::uint32_t coming = 0;
  for (; coming < tasks && job.spec.each.fitsIn(freeCapacity); ++coming) {
    freeCapacity -= job.spec.each;
    bin.promised += job.spec.each;
  }
  return coming;
}

void Round::preemptForShare(const Job& job, std::uint32_t tasks, std::uint32_t covered) {
  for (std::uint32_t i = 0; i < covered; ++i) shareAccount_->claim(job);
  if (jobs_ >= world_.maxJobs || !shareAccount_->mayTake(job)) return;
  entitled_.push_back(&job);
  const std::uint32_t coming = countComing(job, tasks - std::min(covered, tasks));
  for (std::uint32_t i = 0; i < coming; ++i) shareAccount_->claim(job);
  covered += coming;
  if (!world_.mayPreemptForShares || !shareAccount_->withinStep() || covered >= tasks ||
      !shareAccount_->mayClaim(job))
    return;
  if (!shareAccount_->anyAbove() || foundNoVictimsBefore(job)) return;
  plan_.triedSharePreemption = true;
  std::vector<PreemptionCandidate> heap;
  for (std::size_t at = 0; at < bins_.size(); ++at)
    if (auto candidate = preemptionCandidate(job, at)) heap.push_back(std::move(*candidate));
  const bool anywhere = !job.spec.machineTypes && !job.spec.zone && !job.spec.oneZone && !job.spec.apart;
  if (heap.empty() && anywhere && (job.spec.spot || !anySpot_)) foundNoVictims_.push_back(&job);
  std::make_heap(heap.begin(), heap.end());
  while (!heap.empty() && covered < tasks && shareAccount_->withinStep() && shareAccount_->mayClaim(job)) {
    std::pop_heap(heap.begin(), heap.end());
    const PreemptionCandidate ranked = std::move(heap.back());
    heap.pop_back();
    // What was taken since it was ranked may have changed what this machine can give.
    auto candidate = preemptionCandidate(job, ranked.bin);
    if (!candidate) continue;
    if (candidate->cost <= ranked.cost) {
      preemptCandidate(job, *candidate);
      ++covered;
      candidate = preemptionCandidate(job, ranked.bin);
      if (!candidate) continue;
    }
    heap.push_back(std::move(*candidate));
    std::push_heap(heap.begin(), heap.end());
  }
}

bool Round::foundNoVictimsBefore(const Job& job) const {
  return std::any_of(foundNoVictims_.begin(), foundNoVictims_.end(), [&](const Job* other) {
    return other->spec.each.fitsIn(job.spec.each) && other->spec.priority >= job.spec.priority;
  });
}

std::optional<Round::PreemptionCandidate> Round::preemptionCandidate(const Job& job, std::size_t at) const {
  const Bin& bin = bins_[at];
  const Machine& machine = *bin.machine;
  if (bin.lowest > job.spec.priority || !usable(bin, job)) return std::nullopt;
  if (job.spec.oneZone || job.spec.apart) {
    const auto placed = placed_.find(job.spec.ref.text);
    if (placed != placed_.end() && !zoneAllows(job.spec, placed->second, machine.zone)) return std::nullopt;
  }
  std::vector<const machines::Attempt*> candidates;
  for (const machines::Attempt& attempt : machine.attempts)
    if (mayPreemptForShare(job, attempt)) candidates.push_back(&attempt);
  std::sort(candidates.begin(), candidates.end(),
            [this](const auto* a, const auto* b) { return loss(*a) < loss(*b); });
  PreemptionCandidate candidate;
  candidate.bin = at;
  candidate.cost = machine.hasImage(job.spec.image) ? 0 : machine.pullSeconds(job.spec.sizeGb);
  wire::Resources freeCapacity = bin.unpromisedCapacity();
  shares::ShareAccount::Trial trial(*shareAccount_);
  for (const auto* victim : candidates) {
    if (job.spec.each.fitsIn(freeCapacity)) break;
    if (!trial.mayGive(*victim)) continue;
    trial.give(*victim);
    freeCapacity += victim->resources;
    candidate.cost += loss(*victim) + 1;
    candidate.victims.push_back(victim);
  }
  if (candidate.victims.empty() || !job.spec.each.fitsIn(freeCapacity)) return std::nullopt;
  return candidate;
}

void Round::preemptCandidate(const Job& job, const PreemptionCandidate& candidate) {
  Bin& bin = bins_[candidate.bin];
  for (const auto* victim : candidate.victims) {
    shareAccount_->give(*victim);
    stopForShare(bin, *victim);
  }
  bin.promised += job.spec.each;
  shareAccount_->claim(job);
  if (job.spec.apart || job.spec.oneZone) placed_[job.spec.ref.text][bin.machine->zone] += 1;
}

void Round::stopForShare(Bin& bin, const machines::Attempt& victim) {
  stopped_.insert(victim.number);
  bin.leaving += victim.resources;
  bin.stopping = true;
  plan_.stops.push_back(Stop{bin.machine, victim.task, victim.number, victim.stopGraceS()});
  ++plan_.sharePreemptions;
}

bool Round::giveAll(const std::vector<const machines::Attempt*>& victims) {
  shares::ShareAccount::Trial trial(*shareAccount_);
  for (const auto* victim : victims) {
    if (!trial.mayGive(*victim)) return false;
    trial.give(*victim);
  }
  for (const auto* victim : victims) shareAccount_->give(*victim);
  plan_.sharePreemptions += victims.size();
  return true;
}

bool Round::mayPreemptForShare(const Job& job, const machines::Attempt& attempt) const {
  return isStoppable(attempt) && !stopped_.contains(attempt.number) &&
         attempt.priority <= job.spec.priority && shareAccount_->mayGive(attempt);
}

}  // namespace reachhoist::placement
