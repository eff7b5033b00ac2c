// Gangs: all tasks are placed in one decision, or none.
#include <algorithm>
#include <limits>
#include <utility>

#include "placement/round.hpp"

namespace reachhoist::placement {

bool Round::isReachable(const Machine& machine) const {
  const auto overdue =
      wire::seconds(world_.settings.workers.heartbeatIntervalS * constants::kOverdueAfterHeartbeats + 0.5);
  return machine.tokenAcknowledged && !machine.unreachable && world_.now - machine.lastHeartbeatAt <= overdue;
}

void Round::noteUnreachable(const Machine& machine) {
  for (const machines::Attempt& attempt : machine.attempts)
    if (attempt.gang && attempt.holdsCapacity()) unreachableGangs_.insert(attempt.number);
}

Round::GangFit Round::gangFit(const Job& job, const std::string& zone) const {
  std::vector<std::pair<double, std::size_t>> order;
  for (std::size_t i = 0; i < bins_.size(); ++i) {
    const Bin& bin = bins_[i];
    if ((zone.empty() || bin.machine->zone == zone) && job.spec.each.fitsIn(bin.freeCapacity) &&
        usable(bin, job))
      order.emplace_back(delay(bin, job), i);
  }
  std::sort(order.begin(), order.end());
  GangFit out;
  ZoneCount placed;
  for (const auto& [seconds, at] : order) {
    wire::Resources freeCapacity = bins_[at].freeCapacity;
    while (out.bins.size() < job.spec.taskCount && job.spec.each.fitsIn(freeCapacity) &&
           zoneAllows(job.spec, placed, bins_[at].machine->zone)) {
      freeCapacity -= job.spec.each;
      ++placed[bins_[at].machine->zone];
      out.bins.push_back(at);
      out.worstS = seconds;
    }
    if (out.bins.size() == job.spec.taskCount) break;
  }
  return out;
}

std::vector<std::string> Round::gangZones(const Job& job) const {
  if (!job.spec.oneZone) return {""};
  std::set<std::string> zones;
  for (const Bin& bin : bins_) zones.insert(bin.machine->zone);
  return {zones.begin(), zones.end()};
}

void Round::placeGang(Job& job) {
  if (job.waiting != job.spec.taskCount || !placed_[job.spec.ref.text].empty()) return;
  // Broken-up room never adds up to a gang while other work keeps taking it: what there is in the best
  // zone, and of the team's limit, is held for a bounded time, and again once the gang has waited too long.
  const auto waited = world_.now - job.waitingSince;
  const bool holds =
      reservedGangs_ < constants::kMaxGangReservations &&
      (waited <= constants::kGangReservationTimeout || waited >= constants::kStarvationTimeout);
  if (!withinLimit(job, job.spec.taskCount)) {
    if (!holds) return;
    ++reservedGangs_;
    TeamUse& now = teams_[job.spec.team];
    now.cpus += job.spec.each.vcpus * job.spec.taskCount;
    now.gpus += job.spec.each.accelerators * job.spec.taskCount;
    return;
  }
  if (!plan_.assignments.empty() && plan_.assignments.size() + job.spec.taskCount > world_.maxTasks) return;
  if (jobs_ >= world_.maxJobs) return;
  GangFit best;
  for (const std::string& zone : gangZones(job)) {
    GangFit found = gangFit(job, zone);
    if (found.bins.size() > best.bins.size() ||
        (found.bins.size() == best.bins.size() && found.worstS < best.worstS))
      best = std::move(found);
  }
  if (best.bins.size() == job.spec.taskCount) {
    for (std::uint32_t i = 0; i < job.spec.taskCount; ++i) take(bins_[best.bins[i]], job, i);
    ++jobs_;
    return;
  }
  plan_.unplaced.push_back(UnplacedDemand{&job, job.spec.taskCount});
  preemptForGang(job);
  if (!holds) return;
  ++reservedGangs_;
  for (const std::size_t at : best.bins) bins_[at].freeCapacity -= job.spec.each;
}

void Round::preemptForGang(const Job& job) {
  const bool guaranteed = withinGuarantee(job.spec.ref.text);
  const bool entitled = shareAccount_ && shareAccount_->mayClaim(job);
  if (entitled) entitled_.push_back(&job);
  const bool preemptsForShare = entitled && world_.mayPreemptForShares && shareAccount_->withinStep();
  if (job.spec.priority <= lowestPriority_ && !(guaranteed && anyOverGuarantee_) && !preemptsForShare) return;
  struct Option {
    double cost = 0;
    Bin* bin = nullptr;
    std::vector<const machines::Attempt*> victims;
  };
  std::vector<Option> best;
  double bestCost = std::numeric_limits<double>::max();
  for (const std::string& zone : gangZones(job)) {
    std::uint32_t fit = 0;
    std::vector<Option> options;
    for (Bin& bin : bins_) {
      if ((!zone.empty() && bin.machine->zone != zone) || !usable(bin, job)) continue;
      wire::Resources freeCapacity = bin.freeCapacity;
      std::vector<const machines::Attempt*> candidates;
      for (const machines::Attempt& attempt : bin.machine->attempts) {
        if (!attempt.holdsCapacity()) continue;
        if (attempt.stopWanted || stopped_.contains(attempt.number)) {
          freeCapacity += attempt.each;  // on its way out
        } else if (!attempt.gang && (mayStop(job, guaranteed, attempt) ||
                                     (preemptsForShare && mayPreemptForShare(job, attempt)))) {
          candidates.push_back(&attempt);
        }
      }
      const auto countFittingTasks = [&] {
        std::uint32_t fitting = 0;
        for (; job.spec.each.fitsIn(freeCapacity); ++fitting) freeCapacity -= job.spec.each;
        return fitting;
      };
      fit += countFittingTasks();
      std::sort(candidates.begin(), candidates.end(), [this](const auto* a, const auto* b) {
        return a->priority != b->priority ? a->priority < b->priority : loss(*a) < loss(*b);
      });
      Option option{0, &bin, {}};
      double dearest = 0;
      for (const auto* victim : candidates) {
        freeCapacity += victim->each;
        option.cost += loss(*victim) + 1;
        option.victims.push_back(victim);
        if (countFittingTasks() == 0) continue;
        // A bin's options build on each other, so a later one is never chosen before an earlier.
        option.cost = dearest = std::max(dearest, option.cost);
        options.push_back(std::exchange(option, Option{0, &bin, {}}));
      }
    }
    if (fit >= job.spec.taskCount) return;  // the room is coming
    std::stable_sort(options.begin(), options.end(),
                     [](const Option& a, const Option& b) { return a.cost < b.cost; });
    const std::size_t need = job.spec.taskCount - fit;
    if (options.size() < need) continue;
    options.resize(need);
    double cost = 0;
    for (const Option& option : options) cost += option.cost;
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = std::move(options);
  }
  if (plan_.stops.size() + best.size() > world_.maxStops) return;
  if (preemptsForShare) {
    std::vector<const machines::Attempt*> shareVictims;
    for (const Option& option : best)
      for (const auto* victim : option.victims)
        if (!mayStop(job, guaranteed, *victim)) shareVictims.push_back(victim);
    if (!giveAll(shareVictims)) return;
    shareAccount_->claim(job);
  }
  for (const Option& option : best) {
    for (const auto* victim : option.victims) {
      if (!stopped_.insert(victim->number).second) continue;
      option.bin->leaving += victim->each;  // awaited by the gang from now on
      plan_.stops.push_back(Stop{option.bin->machine, victim->task, victim->number,
                                 victim->saves ? victim->checkpointS + 1 : 0});
    }
  }
}

}  // namespace reachhoist::placement
