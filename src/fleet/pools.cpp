// Builds the pool views for a sizing round.
#include "fleet/pools.hpp"

#include <algorithm>
#include <map>

#include "fleet/headroom.hpp"
#include "fleet/pending_instances.hpp"
#include "fleet/pool_offers.hpp"

namespace reachhoist::fleet {

namespace {

// The vCPUs of a pool's machines that are up.
struct CpuUsage {
  double usedCpus = 0;
  double totalCpus = 0;
};

std::map<PoolKey, PoolView> emptyViews(const FleetSnapshot& snapshot) {
  std::map<PoolKey, PoolView> views;
  for (const auto& [key, machineType] : offeredPools(snapshot.catalog)) {
    PoolView& view = views[key];
    view.key = key;
    view.pricePerHour = hourlyPrice(*machineType, key.spot);
    view.requestRefused = snapshot.refusedPools.contains(key);
  }
  return views;
}

// Adds the machines of the fleet to the views: sizes, idle and releasable machines, overdue boots, CPU usage.
std::map<PoolKey, CpuUsage> countMachines(const FleetSnapshot& snapshot, std::map<PoolKey, PoolView>& views) {
  std::map<PoolKey, CpuUsage> cpus;
  std::map<PoolKey, Headroom> headroomByPool;  // one each, as the step of a pool ignores those of others
  const BootCohorts cohorts(snapshot.machines);
  for (const Machine* machine : snapshot.machines) {
    if (!countsTowardPool(*machine)) continue;
    const auto found = views.find(poolOf(*machine));
    if (found == views.end()) continue;
    PoolView& view = found->second;
    ++view.machines;
    if (isStraggler(snapshot, cohorts, *machine)) ++view.overdueBoots;
    if (machine->phase != machines::MachinePhase::up) continue;
    if (machine->isIdle()) {
      ++view.idleMachines;
      if (Headroom& headroom = headroomByPool.try_emplace(found->first, snapshot).first->second;
          headroom.allowsRelease(*machine)) {
        ++view.releasableMachines;
        headroom.release(*machine);
      }
    }
    CpuUsage& usage = cpus[found->first];
    usage.usedCpus += machine->capacity.vcpus - machine->freeCapacity().vcpus;
    usage.totalCpus += machine->capacity.vcpus;
  }
  return cpus;
}

// Adds the queued work that pending instances do not cover to the view, if the pool can take it.
void addQueue(const FleetSnapshot& snapshot, const std::vector<QueuedWork>& queue, PoolView& view) {
  for (const auto& [demand, tasksByZone] : queue) {
    if (!placement::isEligible(demand.job->spec, view.key.machineType, view.key.zone, view.key.spot))
      continue;
    view.queueWaitS = std::max(view.queueWaitS, wire::toSeconds(snapshot.now - demand.job->waitingSince));
    view.queuedTasks += static_cast<int>(demand.taskCount);
  }
}

}  // namespace

std::vector<PoolView> viewPools(const FleetSnapshot& snapshot) {
  std::map<PoolKey, PoolView> views = emptyViews(snapshot);
  const std::map<PoolKey, CpuUsage> cpus = countMachines(snapshot, views);
  // Work that fits on a pending instance is no reason to request another one.
  auto pending = pendingInstances(snapshot);
  const auto queue = uncoveredWork(snapshot, pending);
  for (auto& [key, view] : views) {
    if (const auto found = cpus.find(key); found != cpus.end() && found->second.totalCpus > 0)
      view.busyShare = found->second.usedCpus / found->second.totalCpus;
    addQueue(snapshot, queue, view);
  }
  std::vector<PoolView> sortedViews;
  for (auto& [key, view] : views) sortedViews.push_back(std::move(view));
  return sortedViews;
}

}  // namespace reachhoist::fleet
