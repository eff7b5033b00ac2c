// Preemption for gangs; see gang_preemptor.hpp.
#include "placement/gang_preemptor.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace reachhoist::placement {

namespace {

// Takes the capacity for as many tasks as fit, and returns their number.
std::uint32_t takeFittingTasks(const Job& job, wire::Resources& capacity) {
  std::uint32_t fitting = 0;
  for (; job.spec.taskResources.fitsIn(capacity); ++fitting) capacity -= job.spec.taskResources;
  return fitting;
}

}  // namespace

void GangPreemptor::preemptFor(const Job& job) {
  const bool entitled = state_.shareAccount && state_.shareAccount->mayClaim(job);
  if (entitled) state_.entitledJobs.push_back(&job);
  const Claim claim{state_.isWithinGuarantee(job.spec.ref.text),
                    entitled && state_.input.canPreemptForShares && state_.shareAccount->withinReclaimStep()};
  if (!mayPreemptAnyByRank(state_, job) && !claim.forShare) return;
  std::vector<Option> best;
  double bestCostS = std::numeric_limits<double>::max();
  for (const std::string& zone : state_.gangZones(job)) {
    ZoneOffer offer = offerOf(zone, job, claim);
    if (offer.fittingTasks >= job.spec.taskCount) return;  // capacity for the gang will be freed
    std::stable_sort(offer.options.begin(), offer.options.end(),
                     [](const Option& a, const Option& b) { return a.costS < b.costS; });
    const std::size_t needed = job.spec.taskCount - offer.fittingTasks;
    if (offer.options.size() < needed) continue;
    offer.options.resize(needed);
    double costS = 0;
    for (const Option& option : offer.options) costS += option.costS;
    if (costS >= bestCostS) continue;
    bestCostS = costS;
    best = std::move(offer.options);
  }
  if (state_.plan.preemptions.size() + best.size() > state_.input.maxPreemptions) return;
  if (claim.forShare && !giveShares(job, claim, best)) return;
  preempt(best);
}

GangPreemptor::ZoneOffer GangPreemptor::offerOf(const std::string& zone, const Job& job,
                                                const Claim& claim) const {
  ZoneOffer offer;
  for (Bin& bin : state_.bins) {
    if ((!zone.empty() && bin.machine->zone != zone) || !isUsable(bin, job)) continue;
    addOptions(bin, job, claim, offer);
  }
  return offer;
}

GangPreemptor::BinOffer GangPreemptor::offerOf(const Bin& bin, const Job& job, const Claim& claim) const {
  BinOffer offer{bin.freeCapacity, {}};
  for (const machines::Attempt& attempt : bin.machine->attempts) {
    if (!attempt.holdsCapacity()) continue;
    if (attempt.stopRequested || state_.isPreempted(attempt)) {
      offer.capacity += attempt.resources;
    } else if (!attempt.isGangMember && (mayPreemptByRank(state_, job, claim.guaranteed, attempt) ||
                                         (claim.forShare && mayPreemptForShare(state_, job, attempt)))) {
      offer.candidates.push_back(&attempt);
    }
  }
  return offer;
}

void GangPreemptor::addOptions(Bin& bin, const Job& job, const Claim& claim, ZoneOffer& offer) const {
  auto [capacity, candidates] = offerOf(bin, job, claim);
  offer.fittingTasks += takeFittingTasks(job, capacity);
  sortByRankAndLoss(state_, candidates);
  Option option{0, &bin, {}};
  double highestCostS = 0;
  for (const auto* victim : candidates) {
    capacity += victim->resources;
    option.costS += preemptionCostS(state_, *victim);
    option.victims.push_back(victim);
    if (takeFittingTasks(job, capacity) == 0) continue;
    option.costS = highestCostS = std::max(highestCostS, option.costS);
    offer.options.push_back(std::exchange(option, Option{0, &bin, {}}));
  }
}

bool GangPreemptor::giveShares(const Job& job, const Claim& claim, const std::vector<Option>& options) {
  Victims victims;
  for (const Option& option : options)
    for (const auto* victim : option.victims)
      if (!mayPreemptByRank(state_, job, claim.guaranteed, *victim)) victims.push_back(victim);
  shares::ShareAccount::ReclaimTrial trial(*state_.shareAccount);
  for (const auto* victim : victims) {
    if (!trial.mayReclaim(*victim)) return false;
    trial.reclaim(*victim);
  }
  for (const auto* victim : victims) state_.shareAccount->reclaim(*victim);
  state_.plan.sharePreemptions += victims.size();
  state_.shareAccount->claim(job);
  return true;
}

void GangPreemptor::preempt(const std::vector<Option>& options) {
  for (const Option& option : options) {
    for (const auto* victim : option.victims) {
      if (state_.isPreempted(*victim)) continue;
      option.bin->leaving += victim->resources;  // the gang waits for it from now on
      state_.preempt(*option.bin->machine, *victim);
    }
  }
}

}  // namespace reachhoist::placement
