// Scale-out for unplaced demand: the instances to request for work that fits on no machine, up or pending.
#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include "fleet/pending_instances.hpp"
#include "fleet/pool_offers.hpp"
#include "fleet/scaling.hpp"

namespace reachhoist::fleet {

namespace {

// Work without a deadline waits this long for capacity to free up before it gets instances.
constexpr double kWaitForFreedCapacityS = 10;
// The time until an instance takes work, as a factor of its catalogue boot time.
constexpr double kBootTimeReserveFactor = 1.5;
// Weight of a pool's size in the cost of a task. It is so small that it only breaks ties.
constexpr double kSpreadWeight = 0.001;

// Whether the job gets instances now, rather than wait for capacity that frees up.
bool isUrgent(const FleetSnapshot& snapshot, const jobs::Job& job, double nominalBootTimeS) {
  if (job.spec.priority >= wire::Priority::high) return true;
  // Capacity frees up in pieces, while a gang needs all of it at once.
  if (job.isGang()) return true;
  if (job.spec.deadlineS) {
    const double slackS = static_cast<double>(job.deadlineMs() - snapshot.wallClockMs) / 1000.0 -
                          job.spec.expectedRunTimeS - kBootTimeReserveFactor * nominalBootTimeS;
    if (slackS < kWaitForFreedCapacityS) return true;
  }
  return wire::toSeconds(snapshot.now - job.waitingSince) >= kWaitForFreedCapacityS;
}

// Services that end with their worker leases and fit neither on free capacity nor on pending instances.
std::vector<QueuedWork> uncoveredServices(const FleetSnapshot& snapshot, std::vector<PendingGroup> capacity) {
  std::vector<QueuedWork> uncovered;
  if (snapshot.servicesAtRisk.empty()) return uncovered;
  for (const Machine* machine : snapshot.machines)
    if (acceptsWork(*machine) && !isPartitioned(snapshot, *machine))
      capacity.push_back(PendingGroup{poolOf(*machine), machine->freeCapacity()});
  for (QueuedWork& queued : queuedWork(snapshot, snapshot.servicesAtRisk, false))
    if (!packIntoAny(queued, capacity)) uncovered.push_back(std::move(queued));
  return uncovered;
}

// The result of the packing so far. It is rolled back for a gang of which not all tasks fit.
struct PackState {
  std::vector<PendingGroup> pending;  // the pending instances, then those requested here
  std::map<PoolKey, int> counts;      // instances requested here
  std::map<PoolKey, int> poolSizes;   // instances that are booting or up, and those requested here
};

// Bin-packs the work that no machine has capacity for into instances to request.
class ScaleOutPacker {
 public:
  explicit ScaleOutPacker(const FleetSnapshot& snapshot)
      : snapshot_(snapshot), pools_(offeredPools(snapshot.catalog)) {
    state_.pending = pendingInstances(snapshot);
    for (const Machine* machine : snapshot.machines)
      if (countsTowardPool(*machine)) ++state_.poolSizes[poolOf(*machine)];
    // Instances in a partitioned zone are of no use, so such zones are considered only if there is no other.
    hasReachableZone_ = std::any_of(pools_.begin(), pools_.end(), [&](const PoolOffer& pool) {
      return !snapshot.partitionedZones.contains(pool.key.zone);
    });
  }

  std::vector<ScaleOutRequest> run() {
    std::vector<QueuedWork> work = uncoveredWork(snapshot_, state_.pending);
    for (QueuedWork& queued : uncoveredServices(snapshot_, state_.pending)) work.push_back(std::move(queued));
    firstRequested_ = state_.pending.size();  // instances requested for earlier work take later work too
    for (QueuedWork& queued : work) {
      if (queued.demand.job->isGang()) {
        packGang(queued);
      } else {
        pack(queued);
      }
    }
    std::vector<ScaleOutRequest> requests;
    for (auto& [key, count] : state_.counts)
      requests.push_back(ScaleOutRequest{key, count, std::move(gangs_[key])});
    return requests;
  }

 private:
  void pack(QueuedWork& queued) {
    packIntoAny(queued, state_.pending, firstRequested_);
    std::vector<PendingGroup> requested;
    for (; queued.demand.taskCount > 0 && stepCount_ < constants::kMaxScaleOutSteps; ++stepCount_) {
      const PoolOffer* pool = cheapest(queued);
      if (pool == nullptr) break;
      for (PendingGroup& group : request(queued, *pool)) addTo(requested, std::move(group));
    }
    std::move(requested.begin(), requested.end(), std::back_inserter(state_.pending));
  }

  // Requests instances of the pool and packs the work into them. Returns them with their free capacity.
  std::vector<PendingGroup> request(QueuedWork& queued, const PoolOffer& pool) {
    const int count = instancesInStep(instancesNeeded(queued, pool));
    state_.counts[pool.key] += count;
    state_.poolSizes[pool.key] += count;
    std::vector<PendingGroup> groups{{pool.key, pool.machineType->capacity, static_cast<std::size_t>(count)}};
    packIntoAny(queued, groups);
    return groups;
  }

  // Adds the group to the one of `groups` with the same pool and the same free capacity, or at the end.
  static void addTo(std::vector<PendingGroup>& groups, PendingGroup group) {
    const auto found = std::find_if(groups.begin(), groups.end(), [&](const PendingGroup& other) {
      return other.pool == group.pool && other.free == group.free;
    });
    if (found == groups.end()) {
      groups.push_back(std::move(group));
    } else {
      found->count += group.count;
    }
  }

  // The instances of the pool that the queued tasks need, as many as its zone may take.
  static double instancesNeeded(const QueuedWork& queued, const PoolOffer& pool) {
    const wire::JobSpec& spec = queued.demand.job->spec;
    const std::uint32_t taskCount = std::min(
        queued.demand.taskCount, placement::zoneSpreadAllowance(spec, queued.tasksByZone, pool.key.zone));
    return static_cast<double>(taskCount) /
           spec.taskResources.countFittingIn(pool.machineType->capacity, taskCount);
  }

  // Requests instances for all tasks of the gang or, if some find no capacity, none for the gang.
  void packGang(QueuedWork& queued) {
    const jobs::Job& job = *queued.demand.job;
    const PackState before = state_;
    pack(queued);
    if (queued.demand.taskCount > 0) {
      state_ = before;
      return;
    }
    for (const auto& [key, count] : state_.counts) {
      const auto found = before.counts.find(key);
      if (found == before.counts.end() || found->second < count) gangs_[key].push_back(&job);
    }
  }

  // Whether the job can get instances of the pool now.
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

  // The price of the capacity of one task in the pool, of which `fittingTasks` share an instance. Of equally
  // cheap pools the smallest wins, which spreads the risk over zones.
  double taskCost(const PoolOffer& pool, std::uint32_t fittingTasks) const {
    const auto& [key, machineType] = pool;
    const auto size = state_.poolSizes.find(key);
    return hourlyPrice(*machineType, key.spot) / fittingTasks *
           snapshot_.bootTimes.costFactor(key.machineType, key.zone, snapshot_.now) *
           (1 + kSpreadWeight * (size == state_.poolSizes.end() ? 0 : size->second));
  }

  // The pool where the job's tasks cost least, or null if it can use none.
  const PoolOffer* cheapest(const QueuedWork& queued) const {
    const PoolOffer* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (const PoolOffer& pool : pools_) {
      if (!canUse(queued, pool)) continue;
      const std::uint32_t fittingTasks = queued.demand.job->spec.taskResources.countFittingIn(
          pool.machineType->capacity, queued.demand.taskCount);
      if (fittingTasks == 0) continue;
      const double cost = taskCost(pool, fittingTasks);
      if (cost >= bestCost) continue;
      bestCost = cost;
      best = &pool;
    }
    return best;
  }

  const FleetSnapshot& snapshot_;
  std::vector<PoolOffer> pools_;
  PackState state_;
  std::size_t firstRequested_ = 0;                               // index of the first group requested here
  int stepCount_ = 0;                                            // comparisons of the pools so far
  std::map<PoolKey, std::vector<const placement::Job*>> gangs_;  // waiting for instances requested here
  bool hasReachableZone_ = false;
};

}  // namespace

std::vector<ScaleOutRequest> scaleOutForUnplacedDemand(const FleetSnapshot& snapshot) {
  return ScaleOutPacker(snapshot).run();
}

}  // namespace reachhoist::fleet
