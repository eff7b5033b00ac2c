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
  ZoneCounts placed;
  for (const BinChoice& choice : rankBins(job, zone)) {
    const Bin& bin = state_.bins[choice.bin];
    wire::Resources capacity = bin.freeCapacity;
    while (fit.bins.size() < job.spec.taskCount && job.spec.taskResources.fitsIn(capacity) &&
           zoneSpreadAllows(job.spec, placed, bin.machine->zone)) {
      capacity -= job.spec.taskResources;
      ++placed[bin.machine->zone];
      fit.bins.push_back(choice.bin);
      fit.slowestStartS = choice.delayS;
    }
    if (fit.bins.size() == job.spec.taskCount) break;
  }
  return fit;
}

GangPlacer::Fit GangPlacer::findBestFit(const Job& job) const {
  Fit best;
  for (const std::string& zone : state_.gangZones(job)) {
    Fit fit = findFit(job, zone);
    if (fit.bins.size() > best.bins.size() ||
        (fit.bins.size() == best.bins.size() && fit.slowestStartS < best.slowestStartS))
      best = std::move(fit);
  }
  return best;
}

bool GangPlacer::mayReserve(const Job& job) const {
  // Fragmented capacity never adds up to a gang while other work keeps taking it. So what there is in the
  // best zone, and of the team's quota, is reserved for a bounded time, and again once the gang is starved.
  const auto waited = state_.input.now - job.waitingSince;
  return reservedGangs_ < constants::kMaxGangReservations &&
         (waited <= constants::kGangReservationTimeout || waited >= constants::kStarvationTimeout);
}

void GangPlacer::place(Job& job) {
  const auto placedTasks = state_.zoneCounts.find(job.spec.ref.text);
  if (placedTasks != state_.zoneCounts.end() && !placedTasks->second.empty()) return;
  if (job.waitingCount != job.spec.taskCount) return;
  if (!state_.quotas.allows(job, job.spec.taskCount)) {
    if (!mayReserve(job)) return;
    ++reservedGangs_;
    state_.quotas.add(job.spec.team, job.spec.taskResources, job.spec.taskCount);
    return;
  }
  const std::size_t assignments = state_.plan.assignments.size();
  if (assignments > 0 && assignments + job.spec.taskCount > state_.input.maxTasks) return;
  if (!state_.mayPlaceAnotherJob()) return;
  const Fit best = findBestFit(job);
  if (best.bins.size() == job.spec.taskCount) {
    for (std::uint32_t i = 0; i < job.spec.taskCount; ++i) state_.assign(state_.bins[best.bins[i]], job, i);
    ++state_.placedJobs;
    return;
  }
  state_.plan.unplaced.push_back(UnplacedDemand{&job, job.spec.taskCount});
  preemptor_.preemptFor(job);
  if (!mayReserve(job)) return;
  ++reservedGangs_;
  for (const std::size_t at : best.bins) state_.bins[at].freeCapacity -= job.spec.taskResources;
}

}  // namespace reachhoist::placement
