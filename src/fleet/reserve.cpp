// Scale-out for the reserve: on-demand capacity for the work that can't wait for a boot.
#include <algorithm>
#include <limits>

#include "fleet/pending_instances.hpp"
#include "fleet/pool_offers.hpp"
#include "fleet/scaling.hpp"

namespace reachhoist::fleet {

namespace {

// Weight of a zone's free capacity in the price of a vCPU: only breaks ties.
constexpr double kSpreadWeight = 0.001;

// Work that runs on on-demand machines only and for which other work is preempted rather than made to wait.
bool needsReserve(const wire::JobSpec& spec) {
  return spec.priority >= wire::Priority::high || spec.kind == wire::JobKind::gang;
}

// Whether the attempt holds capacity that the reserve is for. Other work there can be preempted.
bool holdsReserve(const machines::Attempt& attempt) {
  return attempt.priority >= wire::Priority::high || attempt.isGangMember;
}

// The on-demand capacity, in vCPUs, of the work that the reserve is for.
struct OnDemandCapacity {
  double used = 0;  // vCPUs that such work holds
  double free = 0;  // vCPUs that such work could take at once or soon
  std::map<std::string, double> freeByZone;
};

// Adds an on-demand machine that accepts work and isn't partitioned away.
void addMachine(const Machine& machine, OnDemandCapacity& capacity) {
  double held = 0;
  for (const machines::Attempt& attempt : machine.attempts)
    if (attempt.holdsCapacity() && holdsReserve(attempt)) held += attempt.resources.vcpus;
  const double free = std::max(0.0, machine.capacity.vcpus - held);
  capacity.used += held;
  capacity.free += free;
  capacity.freeByZone[machine.zone] += free;
}

OnDemandCapacity onDemandCapacity(const FleetSnapshot& snapshot) {
  OnDemandCapacity out;
  for (const Machine* machine : snapshot.machines)
    if (acceptsWork(*machine) && !machine->spot && !isPartitioned(snapshot, *machine))
      addMachine(*machine, out);
  for (const PendingInstance& instance : pendingInstances(snapshot)) {
    if (instance.pool.spot) continue;
    out.free += instance.free.vcpus;
    out.freeByZone[instance.pool.zone] += instance.free.vcpus;
  }
  for (const placement::UnplacedDemand& demand : snapshot.unplaced)
    if (needsReserve(demand.job->spec) && !inScaleOutBackoff(snapshot, demand))
      out.free -= demand.job->spec.taskResources.vcpus * demand.tasks;
  return out;
}

// The on-demand pool with the cheapest vCPU; null where none may be asked.
const PoolOffer* cheapestPool(const FleetSnapshot& snapshot, const std::vector<PoolOffer>& pools,
                              OnDemandCapacity& capacity) {
  const PoolOffer* best = nullptr;
  double bestCost = std::numeric_limits<double>::max();
  for (const PoolOffer& pool : pools) {
    const auto& [key, machineType] = pool;
    if (key.spot || snapshot.refusedPools.contains(key) || snapshot.partitionedZones.contains(key.zone) ||
        machineType->capacity.vcpus <= 0)
      continue;
    // Price of a vCPU; the zone with the least free capacity breaks ties.
    const double cost = machineType->onDemandPricePerHour / machineType->capacity.vcpus *
                        snapshot.bootTimes.costFactor(key.machineType, key.zone, snapshot.now) *
                        (1 + kSpreadWeight * capacity.freeByZone[key.zone] / machineType->capacity.vcpus);
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = &pool;
  }
  return best;
}

}  // namespace

std::vector<ScaleOutRequest> scaleOutForReserve(const FleetSnapshot& snapshot) {
  OnDemandCapacity capacity = onDemandCapacity(snapshot);
  const double wanted = capacity.used * snapshot.settings.operators.reserveShare;
  const std::vector<PoolOffer> pools = offeredPools(snapshot.catalog);
  std::map<PoolKey, int> counts;
  while (wanted > capacity.free) {
    const PoolOffer* best = cheapestPool(snapshot, pools, capacity);
    // Less than a whole machine's worth is not worth one: small deployments would pay a machine for a task.
    if (best == nullptr || wanted - capacity.free < best->machineType->capacity.vcpus) break;
    ++counts[best->key];
    capacity.free += best->machineType->capacity.vcpus;
    capacity.freeByZone[best->key.zone] += best->machineType->capacity.vcpus;
  }
  std::vector<ScaleOutRequest> out;
  for (const auto& [key, count] : counts) out.push_back(ScaleOutRequest{key, count, {}});
  return out;
}

}  // namespace reachhoist::fleet
