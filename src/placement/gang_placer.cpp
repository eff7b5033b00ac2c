// Placement of gangs; see gang_placer.hpp.
#include "placement/gang_placer.hpp"

#include <algorithm>
#include <utility>

namespace reachhoist::placement {

std::vector<BinChoice> GangPlacer::rankBins(const Job& job, const std::string& zone) const {
  std::vector<BinChoice> ranked;
  for (std::size_t i = 0; i < state_.bins.size(); ++i) {
    const Bin& bin = state_.bins[i];
    if (!zone.empty() && bin.machine->zone != zone) continue;
    if (job.spec.taskResources.fitsIn(bin.freeCapacity) && isUsable(bin, job))
      ranked.push_back(BinChoice{startDelayS(bin, job), i});
  }
  std::sort(ranked.begin(), ranked.end());
  return ranked;
}

GangPlacer::Fit GangPlacer::findFit(const Job& job, const std::string& zone) const {
  Fit fit;
  ZoneCounts placedByZone;
  for (const BinChoice& choice : rankBins(job, zone)) {
    const Bin& bin = state_.bins[choice.binIndex];
    const auto unplaced = job.spec.taskCount - static_cast<std::uint32_t>(fit.binIndexes.size());
    const std::uint32_t allowed =
        std::min(unplaced, zoneSpreadAllowance(job.spec, placedByZone, bin.machine->zone));
    const std::uint32_t fitting = job.spec.taskResources.countFittingIn(bin.freeCapacity, allowed);
    if (fitting == 0) continue;
    placedByZone[bin.machine->zone] += fitting;
    fit.binIndexes.insert(fit.binIndexes.end(), fitting, choice.binIndex);
    fit.slowestStartS = choice.delayS;
    if (fit.binIndexes.size() == job.spec.taskCount) break;
  }
  return fit;
}

GangPlacer::Fit GangPlacer::findBestFit(const Job& job) const {
  Fit best;
  for (const std::string& zone : state_.gangZones(job)) {
    Fit fit = findFit(job, zone);
    if (fit.binIndexes.size() > best.binIndexes.size() ||
        (fit.binIndexes.size() == best.binIndexes.size() && fit.slowestStartS < best.slowestStartS))
      best = std::move(fit);
  }
  return best;
}

bool GangPlacer::canReserve(const Job& job) const {
  // Capacity frees up in parts that are too small for a gang, and other jobs would use each part. The free
  // capacity in the best zone, or the free part of the team's quota, is therefore reserved for a bounded
  // time, and again once the gang is starved.
  const auto waitTime = state_.input.now - job.waitingSince;
  return reservedGangCount_ < constants::kMaxGangReservations &&
         (waitTime <= constants::kGangReservationTimeout || waitTime >= constants::kStarvationTimeout);
}

void GangPlacer::place(Job& job) {
  const auto placedByZone = state_.zoneCounts.find(job.spec.ref.text);
  if (placedByZone != state_.zoneCounts.end() && !placedByZone->second.empty()) return;
  if (job.waitingCount != job.spec.taskCount) return;
  if (!state_.quotas.allows(job, job.spec.taskCount)) {
    if (!canReserve(job)) return;
    ++reservedGangCount_;
    state_.quotas.add(job.spec.team, job.spec.taskResources, job.spec.taskCount);
    return;
  }
  const std::size_t assignmentCount = state_.plan.assignments.size();
  if (assignmentCount > 0 && assignmentCount + job.spec.taskCount > state_.input.maxTasks) return;
  if (!state_.canPlaceAnotherJob()) return;
  const Fit best = findBestFit(job);
  if (best.binIndexes.size() == job.spec.taskCount) {
    for (std::uint32_t i = 0; i < job.spec.taskCount; ++i)
      state_.assign(state_.bins[best.binIndexes[i]], job, i);
    ++state_.placedJobCount;
    return;
  }
  state_.plan.unplaced.push_back(UnplacedDemand{&job, job.spec.taskCount});
  preemptor_.preemptFor(job);
  if (!canReserve(job)) return;
  ++reservedGangCount_;
  for (const std::size_t binIndex : best.binIndexes)
    state_.bins[binIndex].freeCapacity -= job.spec.taskResources;
}

}  // namespace reachhoist::placement
