// The pool views that a sizing round reads.
#include "fleet/pools.hpp"

#include <algorithm>
#include <map>

#include "fleet/headroom.hpp"
#include "fleet/pending_instances.hpp"
#include "fleet/pool_offers.hpp"

namespace reachhoist::fleet {

namespace {

// vCPUs of a pool's machines that are up.
struct CpuUsage {
  double used = 0;
  double total = 0;
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
  std::map<PoolKey, Headroom> headroom;  // each pool's step is judged by itself
  const BootCohorts cohorts(snapshot.machines);
  for (const Machine* machine : snapshot.machines) {
    if (!countsTowardPool(*machine)) continue;
    const auto found = views.find(poolOf(*machine));
    if (found == views.end()) continue;
    PoolView& view = found->second;
    ++view.machines;
    if (isStraggler(snapshot, cohorts, *machine)) ++view.overdueBoots;
    if (machine->phase != machines::MachinePhase::up) continue;
    if (machine->empty()) {
      ++view.idleMachines;
      if (Headroom& left = headroom.try_emplace(found->first, snapshot).first->second;
          left.allowsRelease(*machine)) {
        ++view.releasableMachines;
        left.release(*machine);
      }
    }
    CpuUsage& usage = cpus[found->first];
    usage.used += machine->capacity.vcpus - machine->freeCapacity().vcpus;
    usage.total += machine->capacity.vcpus;
  }
  return cpus;
}

// Adds the queued work that pending instances don't cover to each pool that could take it.
void addQueue(const FleetSnapshot& snapshot, const std::vector<QueuedWork>& queue, PoolView& view) {
  for (const auto& [demand, tasksByZone] : queue) {
    if (!placement::isEligible(demand.job->spec, view.key.machineType, view.key.zone, view.key.spot))
      continue;
    view.queueWaitS = std::max(view.queueWaitS, wire::toSeconds(snapshot.now - demand.job->waitingSince));
    view.queuedTasks += static_cast<int>(demand.tasks);
  }
}

}  // namespace

std::vector<PoolView> viewPools(const FleetSnapshot& snapshot) {
  std::map<PoolKey, PoolView> views = emptyViews(snapshot);
  const std::map<PoolKey, CpuUsage> cpus = countMachines(snapshot, views);
  // Work that a pending instance will take is no reason to request another one.
  auto pending = pendingInstances(snapshot);
  const auto queue = uncoveredWork(snapshot, pending);
  for (auto& [key, view] : views) {
    if (const auto found = cpus.find(key); found != cpus.end() && found->second.total > 0)
      view.busyShare = found->second.used / found->second.total;
    addQueue(snapshot, queue, view);
  }
  std::vector<PoolView> out;
  for (auto& [key, view] : views) out.push_back(std::move(view));
  return out;
}

}  // namespace reachhoist::fleet
