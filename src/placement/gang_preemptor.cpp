// Preemption for gangs; see gang_preemptor.hpp.
#include "placement/gang_preemptor.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace reachhoist::placement {

namespace {

// Takes the capacity of as many tasks of the gang as fit, and returns their number.
std::uint32_t takeFittingTasks(const Job& job, wire::Resources& capacity) {
  const std::uint32_t fitting = job.spec.taskResources.countFittingIn(capacity, job.spec.taskCount);
  capacity -= job.spec.taskResources * fitting;
  return fitting;
}

}  // namespace

void GangPreemptor::preemptFor(const Job& job) {
  const bool isEntitled = state_.shareAccount && state_.shareAccount->canClaim(job);
  if (isEntitled) state_.entitledJobs.push_back(&job);
  const Grounds grounds{
      state_.isWithinGuarantee(job.spec.ref.text),
      isEntitled && state_.input.canPreemptForShares && state_.shareAccount->isWithinReclaimStep()};
  if (!canPreemptAnyByRank(state_, job) && !grounds.isForShare) return;
  std::vector<Option> cheapest;
  double lowestCostS = std::numeric_limits<double>::max();
  for (const std::string& zone : state_.gangZones(job)) {
    ZoneOptions zoneOptions = findZoneOptions(zone, job, grounds);
    if (zoneOptions.fittingTasks >= job.spec.taskCount) return;  // enough capacity will be freed
    std::stable_sort(zoneOptions.options.begin(), zoneOptions.options.end(),
                     [](const Option& a, const Option& b) { return a.costS < b.costS; });
    const std::size_t needed = job.spec.taskCount - zoneOptions.fittingTasks;
    if (zoneOptions.options.size() < needed) continue;
    zoneOptions.options.resize(needed);
    double costS = 0;
    for (const Option& option : zoneOptions.options) costS += option.costS;
    if (costS >= lowestCostS) continue;
    lowestCostS = costS;
    cheapest = std::move(zoneOptions.options);
  }
  if (state_.plan.preemptions.size() + cheapest.size() > state_.input.maxPreemptions) return;
  if (grounds.isForShare && !reclaimShares(job, grounds, cheapest)) return;
  preempt(cheapest);
}

GangPreemptor::ZoneOptions GangPreemptor::findZoneOptions(const std::string& zone, const Job& job,
                                                          const Grounds& grounds) const {
  ZoneOptions zoneOptions;
  for (Bin& bin : state_.bins) {
    if ((!zone.empty() && bin.machine->zone != zone) || !isUsable(bin, job)) continue;
    addOptions(bin, job, grounds, zoneOptions);
  }
  return zoneOptions;
}

GangPreemptor::BinCandidates GangPreemptor::findBinCandidates(const Bin& bin, const Job& job,
                                                              const Grounds& grounds) const {
  BinCandidates found{bin.freeCapacity, {}};
  for (const machines::Attempt& attempt : bin.machine->attempts) {
    if (!attempt.holdsCapacity()) continue;
    if (attempt.stopRequested || state_.isPreempted(attempt)) {
      found.capacity += attempt.resources;
    } else if (!attempt.isGangMember && (canPreemptByRank(state_, job, grounds.isGuaranteed, attempt) ||
                                         (grounds.isForShare && canPreemptForShare(state_, job, attempt)))) {
      found.candidates.push_back(&attempt);
    }
  }
  return found;
}

void GangPreemptor::addOptions(Bin& bin, const Job& job, const Grounds& grounds,
                               ZoneOptions& zoneOptions) const {
  auto [capacity, candidates] = findBinCandidates(bin, job, grounds);
  zoneOptions.fittingTasks += takeFittingTasks(job, capacity);
  sortByRankAndLoss(state_, candidates);
  Option option{0, &bin, {}};
  double highestCostS = 0;
  for (const auto* victim : candidates) {
    capacity += victim->resources;
    option.costS += preemptionCostS(state_, *victim);
    option.victims.push_back(victim);
    if (takeFittingTasks(job, capacity) == 0) continue;
    option.costS = highestCostS = std::max(highestCostS, option.costS);
    zoneOptions.options.push_back(std::exchange(option, Option{0, &bin, {}}));
  }
}

bool GangPreemptor::reclaimShares(const Job& job, const Grounds& grounds,
                                  const std::vector<Option>& options) {
  Victims victims;
  for (const Option& option : options)
    for (const auto* victim : option.victims)
      if (!canPreemptByRank(state_, job, grounds.isGuaranteed, *victim)) victims.push_back(victim);
  shares::ShareAccount::ReclaimTrial trial(*state_.shareAccount);
  for (const auto* victim : victims) {
    if (!trial.canReclaim(*victim)) return false;
    trial.add(*victim);
  }
  for (const auto* victim : victims) state_.shareAccount->recordReclaim(*victim);
  state_.plan.sharePreemptions += victims.size();
  state_.shareAccount->recordClaim(job);
  return true;
}

void GangPreemptor::preempt(const std::vector<Option>& options) {
  for (const Option& option : options) {
    for (const auto* victim : option.victims) {
      if (state_.isPreempted(*victim)) continue;
      option.bin->stoppingCapacity += victim->resources;  // part of the capacity that the gang waits for
      state_.preempt(*option.bin->machine, *victim);
    }
  }
}

}  // namespace reachhoist::placement
