// Scale-out for unplaced demand: the instances to request for work that no machine, up or pending, has
// capacity for.
#include <algorithm>
#include <cmath>
#include <limits>

#include "fleet/pending_instances.hpp"
#include "fleet/pool_offers.hpp"
#include "fleet/scaling.hpp"

namespace reachhoist::fleet {

namespace {

// Work without a deadline waits this many seconds for capacity to free up.
constexpr double kWaitForFreedCapacityS = 10;
// An instance may take this factor of its catalogue boot time until it helps.
constexpr double kBootTimeReserveFactor = 1.5;
// Weight of a pool's size in the cost of a task: only breaks ties.
constexpr double kSpreadWeight = 0.001;

// How many tasks of the size `each` fit into `capacity`.
int tasksThatFit(const wire::Resources& each, const wire::Resources& capacity) {
  double fit = 1e6;
  const auto limit = [&](double need, double have) {
    if (need > 0) fit = std::min(fit, std::floor(have / need + 1e-6));
  };
  limit(each.vcpus, capacity.vcpus);
  limit(each.accelerators, capacity.accelerators);
  limit(each.memoryGb, capacity.memoryGb);
  return static_cast<int>(fit);
}

// Whether the job should get instances now, or can wait for capacity that frees up.
bool isUrgent(const FleetSnapshot& snapshot, const jobs::Job& job, double nominalBootTimeS) {
  if (job.spec.priority >= wire::Priority::high) return true;
  // Capacity that frees up by itself comes in pieces.
  if (job.isGang()) return true;
  if (job.spec.deadlineS) {
    const double slackS = static_cast<double>(job.deadlineMs() - snapshot.wallClockMs) / 1000.0 -
                          job.spec.expectedRunTimeS - kBootTimeReserveFactor * nominalBootTimeS;
    if (slackS < kWaitForFreedCapacityS) return true;
  }
  return wire::toSeconds(snapshot.now - job.waitingSince) >= kWaitForFreedCapacityS;
}

// Services that end with their leases, as far as neither free capacity nor pending instances will take them.
std::vector<QueuedWork> uncoveredServices(const FleetSnapshot& snapshot,
                                          std::vector<PendingInstance> capacity) {
  std::vector<QueuedWork> out;
  if (snapshot.servicesAtRisk.empty()) return out;
  for (const Machine* machine : snapshot.machines)
    if (acceptsWork(*machine) && !isPartitioned(snapshot, *machine))
      capacity.push_back(PendingInstance{poolOf(*machine), machine->freeCapacity()});
  for (QueuedWork& queued : queuedWork(snapshot, snapshot.servicesAtRisk, false))
    if (!packIntoAny(queued, capacity)) out.push_back(std::move(queued));
  return out;
}

// What the packing has decided so far; a gang that doesn't fit whole rolls it back.
struct PackState {
  std::vector<PendingInstance> pending;  // the pending instances, then those requested here
  std::map<PoolKey, int> counts;         // instances requested here, by pool
  std::map<PoolKey, int> poolSizes;      // instances booting or up, and those requested here
};

// Bin-packs the work that no machine has capacity for into instances to request.
class ScaleOutPacker {
 public:
  explicit ScaleOutPacker(const FleetSnapshot& snapshot)
      : snapshot_(snapshot), pools_(offeredPools(snapshot.catalog)) {
    state_.pending = pendingInstances(snapshot);
    for (const Machine* machine : snapshot.machines)
      if (countsTowardPool(*machine)) ++state_.poolSizes[poolOf(*machine)];
    // While a zone is partitioned away, instances there would be of no use, unless there is no other.
    hasReachableZone_ = std::any_of(pools_.begin(), pools_.end(), [&](const PoolOffer& pool) {
      return !snapshot.partitionedZones.contains(pool.key.zone);
    });
  }

  std::vector<ScaleOutRequest> run() {
    std::vector<QueuedWork> work = uncoveredWork(snapshot_, state_.pending);
    for (QueuedWork& queued : uncoveredServices(snapshot_, state_.pending)) work.push_back(std::move(queued));
    firstRequested_ = state_.pending.size();  // what is requested here for earlier work takes later work too
    for (QueuedWork& queued : work) {
      if (queued.demand.job->isGang()) {
        packGang(queued);
      } else {
        pack(queued);
      }
    }
    std::vector<ScaleOutRequest> out;
    for (auto& [key, count] : state_.counts)
      out.push_back(ScaleOutRequest{key, count, std::move(gangs_[key])});
    return out;
  }

 private:
  void pack(QueuedWork& queued) {
    for (std::size_t i = firstRequested_; i < state_.pending.size() && queued.demand.tasks > 0; ++i)
      packInto(queued, state_.pending[i]);
    while (queued.demand.tasks > 0) {
      const PoolOffer* pool = cheapest(queued);
      if (pool == nullptr) return;
      ++state_.counts[pool->key];
      ++state_.poolSizes[pool->key];
      state_.pending.push_back(PendingInstance{pool->key, pool->machineType->capacity});
      packInto(queued, state_.pending.back());
    }
  }

  // A part of a gang is of no use: either all of its tasks find capacity, or nothing is requested for it.
  void packGang(QueuedWork& queued) {
    const jobs::Job& job = *queued.demand.job;
    const PackState before = state_;
    pack(queued);
    if (queued.demand.tasks > 0) {
      state_ = before;
      return;
    }
    for (const auto& [key, count] : state_.counts) {
      const auto found = before.counts.find(key);
      if (found == before.counts.end() || found->second < count) gangs_[key].push_back(&job);
    }
  }

  // Whether the job may get instances of the pool now.
  bool canUse(const QueuedWork& queued, const PoolOffer& pool) const {
    const auto& [key, machineType] = pool;
    const wire::JobSpec& spec = queued.demand.job->spec;
    if (snapshot_.refusedPools.contains(key) ||
        (hasReachableZone_ && snapshot_.partitionedZones.contains(key.zone)))
      return false;
    if (!placement::isEligible(spec, key.machineType, key.zone, key.spot)) return false;
    return placement::zoneSpreadAllows(spec, queued.tasksByZone, key.zone) &&
           isUrgent(snapshot_, *queued.demand.job, machineType->nominalBootTimeS);
  }

  // Price of the capacity of one task in the pool; a larger pool in one zone breaks ties the other way, to
  // spread the risk.
  double taskCost(const QueuedWork& queued, const PoolOffer& pool, int fit) const {
    const auto& [key, machineType] = pool;
    const auto size = state_.poolSizes.find(key);
    return hourlyPrice(*machineType, key.spot) / std::min(fit, static_cast<int>(queued.demand.tasks)) *
           snapshot_.bootTimes.costFactor(key.machineType, key.zone, snapshot_.now) *
           (1 + kSpreadWeight * (size == state_.poolSizes.end() ? 0 : size->second));
  }

  // The pool where the job's tasks cost least; null where none may be used.
  const PoolOffer* cheapest(const QueuedWork& queued) const {
    const PoolOffer* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (const PoolOffer& pool : pools_) {
      if (!canUse(queued, pool)) continue;
      const int fit = tasksThatFit(queued.demand.job->spec.taskResources, pool.machineType->capacity);
      if (fit < 1) continue;
      const double cost = taskCost(queued, pool, fit);
      if (cost >= bestCost) continue;
      bestCost = cost;
      best = &pool;
    }
    return best;
  }

  const FleetSnapshot& snapshot_;
  std::vector<PoolOffer> pools_;
  PackState state_;
  std::size_t firstRequested_ = 0;
  std::map<PoolKey, std::vector<const placement::Job*>> gangs_;  // waiting for the pool's requested instances
  bool hasReachableZone_ = false;
};

}  // namespace

std::vector<ScaleOutRequest> scaleOutForUnplacedDemand(const FleetSnapshot& snapshot) {
  return ScaleOutPacker(snapshot).run();
}

}  // namespace reachhoist::fleet
