// What may be stopped to make room, and what it costs.
#include <algorithm>
#include <limits>

#include "placement/round.hpp"

namespace reachhoist::placement {

bool Round::overGuarantee(const std::string& name) const {
  const config::Team* team = world_.settings.team(name);
  return team != nullptr && team->cpus > 0 && use(name).cpus > team->cpus + 1e-6;
}

bool Round::outranks(const Job& job, bool guaranteed, const machines::Attempt& attempt) const {
  if (withinGuarantee(attempt.task.job.text) && !guaranteed) return false;
  if (attempt.priority < job.spec.priority) return true;
  return guaranteed && !withinGuarantee(attempt.task.job.text) && attempt.priority <= job.spec.priority &&
         attempt.team != job.spec.team && overGuarantee(attempt.team);
}

bool Round::isStoppable(const machines::Attempt& attempt) {
  using machines::AttemptPhase;
  if (attempt.stopWanted || attempt.team.empty()) return false;
  return attempt.phase == AttemptPhase::recorded || attempt.phase == AttemptPhase::pulling ||
         attempt.phase == AttemptPhase::running;
}

bool Round::mayStop(const Job& job, bool guaranteed, const machines::Attempt& attempt) const {
  return isStoppable(attempt) && outranks(job, guaranteed, attempt);
}

std::uint32_t Round::makeRoom(const Job& job, std::uint32_t tasks) {
  const bool guaranteed = withinGuarantee(job.spec.ref.text);
  if (job.spec.priority <= lowestPriority_ && !(guaranteed && anyOverGuarantee_)) return 0;
  std::uint32_t covered = shareAccount_ ? countComing(job, tasks) : comingFor(job);
  for (; covered < tasks && plan_.stops.size() < world_.maxStops; ++covered)
    if (!stopFor(job, guaranteed)) break;
  return covered;
}

std::uint32_t Round::comingFor(const Job& job) const {
  // Room that is being made already counts: otherwise every round would stop more for the same task.
  std::uint32_t coming = 0;
  for (const Bin& bin : bins_) {
    if (!bin.stopping || !usable(bin, job)) continue;
    wire::Resources freeing = bin.freeCapacity;
    for (const machines::Attempt& attempt : bin.machine->attempts)
      if (attempt.holdsCapacity() && attempt.stopWanted) freeing += attempt.each;
    while (job.spec.each.fitsIn(freeing)) {
      freeing -= job.spec.each;
      ++coming;
    }
  }
  return coming;
}

bool Round::stopFor(const Job& job, bool guaranteed) {
  Bin* bestBin = nullptr;
  std::vector<const machines::Attempt*> bestVictims;
  double bestCost = std::numeric_limits<double>::max();
  for (Bin& bin : bins_) {
    const Machine& machine = *bin.machine;
    // On most machines nothing is of low enough rank: they are passed over before their attempts are looked
    // at.
    if (bin.lowest > job.spec.priority || (bin.lowest == job.spec.priority && !guaranteed)) continue;
    if (!usable(bin, job) || !zoneOpen(job, machine.zone)) continue;
    std::vector<const machines::Attempt*> candidates;
    for (const machines::Attempt& attempt : machine.attempts)
      if (mayStop(job, guaranteed, attempt) && !stopped_.contains(attempt.number))
        candidates.push_back(&attempt);
    std::sort(candidates.begin(), candidates.end(), [this](const auto* a, const auto* b) {
      if (a->priority != b->priority) return a->priority < b->priority;
      return loss(*a) < loss(*b);
    });
    wire::Resources freeCapacity = bin.freeCapacity;
    std::vector<const machines::Attempt*> victims;
    double cost = machine.has(job.spec.image) ? 0 : job.spec.sizeGb / std::max(machine.pullGbPerS, 0.01);
    for (const auto* victim : candidates) {
      if (job.spec.each.fitsIn(freeCapacity)) break;
      freeCapacity += victim->each;
      cost += loss(*victim) + 1;
      victims.push_back(victim);
    }
    if (!job.spec.each.fitsIn(freeCapacity) || victims.empty() || cost >= bestCost) continue;
    bestBin = &bin;
    bestVictims = std::move(victims);
    bestCost = cost;
  }
  if (bestBin == nullptr) return false;
  for (const auto* victim : bestVictims) {
    stopped_.insert(victim->number);
    if (shareAccount_) shareAccount_->leave(*victim);
    bestBin->freeCapacity += victim->each;
    plan_.stops.push_back(
        Stop{bestBin->machine, victim->task, victim->number, victim->saves ? victim->checkpointS + 1 : 0});
  }
  // Held for the one it was made for.
  bestBin->freeCapacity -= job.spec.each;
  if (job.spec.apart || job.spec.oneZone) placed_[job.spec.ref.text][bestBin->machine->zone] += 1;
  return true;
}

double Round::loss(const machines::Attempt& attempt) const {
  // It would stop its whole gang.
  if (attempt.gang) {
    const double stopS = unreachableGangs_.contains(attempt.number)
                             ? constants::kUnreachableGangPreemptionCostS
                             : constants::kGangPreemptionCostS;
    return stopS + wire::toSeconds(world_.now - attempt.placedAt);
  }
  if (attempt.phase != machines::AttemptPhase::running) return 0;
  return attempt.saves ? attempt.checkpointS : wire::toSeconds(world_.now - attempt.runningSince);
}

}  // namespace reachhoist::placement
