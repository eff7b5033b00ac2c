// Scale-out for the reserve: on-demand capacity for work that cannot wait for a boot.
#include <algorithm>
#include <limits>

#include "fleet/pending_instances.hpp"
#include "fleet/pool_offers.hpp"
#include "fleet/scaling.hpp"

namespace reachhoist::fleet {

namespace {

// Weight of a zone's free capacity in the price of a vCPU. It is so small that it only breaks ties.
constexpr double kSpreadWeight = 0.001;

// Whether the work runs on on-demand machines only and preempts other work rather than wait.
bool needsReserve(const wire::JobSpec& spec) {
  return spec.priority >= wire::Priority::high || spec.kind == wire::JobKind::gang;
}

// Whether the attempt belongs to work that the reserve is for. Other attempts can be preempted.
bool holdsReserve(const machines::Attempt& attempt) {
  return attempt.priority >= wire::Priority::high || attempt.isGangMember;
}

// The on-demand vCPUs for the work that the reserve is for.
struct OnDemandCapacity {
  double usedCpus = 0;  // held by such work
  double freeCpus = 0;  // available to such work now or soon
  std::map<std::string, double> freeCpusByZone;
};

// Adds an on-demand machine that accepts work and is not partitioned.
void addMachine(const Machine& machine, OnDemandCapacity& capacity) {
  double heldCpus = 0;
  for (const machines::Attempt& attempt : machine.attempts)
    if (attempt.holdsCapacity() && holdsReserve(attempt)) heldCpus += attempt.resources.vcpus;
  const double freeCpus = std::max(0.0, machine.capacity.vcpus - heldCpus);
  capacity.usedCpus += heldCpus;
  capacity.freeCpus += freeCpus;
  capacity.freeCpusByZone[machine.zone] += freeCpus;
}

OnDemandCapacity onDemandCapacity(const FleetSnapshot& snapshot) {
  OnDemandCapacity capacity;
  for (const Machine* machine : snapshot.machines)
    if (acceptsWork(*machine) && !machine->spot && !isPartitioned(snapshot, *machine))
      addMachine(*machine, capacity);
  for (const PendingGroup& group : pendingInstances(snapshot)) {
    if (group.pool.spot) continue;
    const double freeCpus = group.free.vcpus * static_cast<double>(group.count);
    capacity.freeCpus += freeCpus;
    capacity.freeCpusByZone[group.pool.zone] += freeCpus;
  }
  for (const placement::UnplacedDemand& demand : snapshot.unplaced)
    if (needsReserve(demand.job->spec) && !inScaleOutBackoff(snapshot, demand))
      capacity.freeCpus -= demand.job->spec.taskResources.vcpus * demand.taskCount;
  return capacity;
}

// The on-demand pool with the cheapest vCPU, or null if none can be used.
const PoolOffer* cheapestPool(const FleetSnapshot& snapshot, const std::vector<PoolOffer>& pools,
                              OnDemandCapacity& capacity) {
  const PoolOffer* best = nullptr;
  double bestCost = std::numeric_limits<double>::max();
  for (const PoolOffer& pool : pools) {
    const auto& [key, machineType] = pool;
    if (key.spot || snapshot.refusedPools.contains(key) || snapshot.partitionedZones.contains(key.zone) ||
        machineType->capacity.vcpus <= 0)
      continue;
    // The price of a vCPU. The zone with the least free capacity breaks ties.
    const double cost = machineType->onDemandPricePerHour / machineType->capacity.vcpus *
                        snapshot.bootTimes.costFactor(key.machineType, key.zone, snapshot.now) *
                        (1 + kSpreadWeight * capacity.freeCpusByZone[key.zone] / machineType->capacity.vcpus);
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = &pool;
  }
  return best;
}

}  // namespace

std::vector<ScaleOutRequest> scaleOutForReserve(const FleetSnapshot& snapshot) {
  OnDemandCapacity capacity = onDemandCapacity(snapshot);
  const double requiredCpus = capacity.usedCpus * snapshot.settings.operators.reserveShare;
  const std::vector<PoolOffer> pools = offeredPools(snapshot.catalog);
  std::map<PoolKey, int> counts;
  while (requiredCpus > capacity.freeCpus) {
    const PoolOffer* best = cheapestPool(snapshot, pools, capacity);
    // A gap smaller than a machine is left open. Otherwise small deployments would pay a machine for one
    // task.
    if (best == nullptr || requiredCpus - capacity.freeCpus < best->machineType->capacity.vcpus) break;
    const int count = instancesInStep((requiredCpus - capacity.freeCpus) / best->machineType->capacity.vcpus);
    counts[best->key] += count;
    const double addedCpus = count * best->machineType->capacity.vcpus;
    capacity.freeCpus += addedCpus;
    capacity.freeCpusByZone[best->key.zone] += addedCpus;
  }
  std::vector<ScaleOutRequest> requests;
  for (const auto& [key, count] : counts) requests.push_back(ScaleOutRequest{key, count, {}});
  return requests;
}

}  // namespace reachhoist::fleet
