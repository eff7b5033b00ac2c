// Scale-out for unmet work: the instances to request for work that no machine, up or pending, has capacity
// for.
#include <algorithm>
#include <cmath>
#include <limits>

#include "fleet/pending_instances.hpp"

namespace reachhoist::fleet {

namespace {

constexpr double kWaitForFreedCapacityS =
    10;                               // work without a deadline waits this long for capacity to free up
constexpr double kBootReserve = 1.5;  // times bootS that an instance may take until it helps

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
bool urgent(const FleetWorld& world, const jobs::Job& job, double bootS) {
  if (job.spec.priority >= wire::Priority::high) return true;
  // Capacity that frees up by itself comes in pieces.
  if (job.isGang()) return true;
  if (job.spec.dueS) {
    const double slackS = static_cast<double>(job.deadlineMs() - world.wallMs) / 1000.0 - job.spec.expectS -
                          kBootReserve * bootS;
    if (slackS < kWaitForFreedCapacityS) return true;
  }
  return wire::toSeconds(world.now - job.waitingSince) >= kWaitForFreedCapacityS;
}

// Services that end with their leases, as far as neither free capacity nor pending instances will take them.
std::vector<QueuedWork> uncoveredServices(const FleetWorld& world, std::vector<PendingInstance> capacity) {
  std::vector<QueuedWork> out;
  if (world.servicesAtRisk.empty()) return out;
  for (const Machine* machine : world.machines)
    if (acceptsWork(*machine) && !isPartitioned(world, *machine))
      capacity.push_back(PendingInstance{poolOf(*machine), machine->freeCapacity()});
  for (QueuedWork& queued : queuedWork(world, world.servicesAtRisk, false))
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
class Packer {
 public:
  explicit Packer(const FleetWorld& world) : world_(world), pools_(offeredPools(world.catalog)) {
    state_.pending = pendingInstances(world);
    for (const Machine* machine : world.machines)
      if (countsTowardPool(*machine)) ++state_.poolSizes[poolOf(*machine)];
    // While a zone is partitioned away, instances there would be of no use, unless there is no other.
    hasUncutZone_ = std::any_of(pools_.begin(), pools_.end(),
                                [&](const PoolOffer& pool) { return !world.cut.contains(pool.key.zone); });
  }

  std::vector<ScaleOutRequest> run() {
    std::vector<QueuedWork> work = uncoveredWork(world_, state_.pending);
    for (QueuedWork& queued : uncoveredServices(world_, state_.pending)) work.push_back(std::move(queued));
    firstRequested_ = state_.pending.size();  // what is requested here for earlier work takes later work too
    for (QueuedWork& queued : work) {
      if (queued.unmet.job->isGang()) {
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
    for (std::size_t i = firstRequested_; i < state_.pending.size() && queued.unmet.tasks > 0; ++i)
      packInto(queued, state_.pending[i]);
    while (queued.unmet.tasks > 0) {
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
    const jobs::Job& job = *queued.unmet.job;
    const PackState before = state_;
    pack(queued);
    if (queued.unmet.tasks > 0) {
      state_ = before;
      return;
    }
    for (const auto& [key, count] : state_.counts) {
      const auto found = before.counts.find(key);
      if (found == before.counts.end() || found->second < count) gangs_[key].push_back(&job);
    }
  }

  // Whether the job may get instances of the pool now.
  bool mayUse(const QueuedWork& queued, const PoolOffer& pool) const {
    const auto& [key, machineType] = pool;
    const wire::JobSpec& spec = queued.unmet.job->spec;
    if (world_.refused.contains(key) || (hasUncutZone_ && world_.cut.contains(key.zone))) return false;
    if (!placement::isEligible(spec, key.machineType, key.zone, key.spot)) return false;
    return placement::zoneSpreadAllows(spec, queued.byZone, key.zone) &&
           urgent(world_, *queued.unmet.job, machineType->bootS);
  }

  // Price of the capacity of one task in the pool; a larger pool in one zone breaks ties the other way, to
  // spread the risk.
  double taskCost(const QueuedWork& queued, const PoolOffer& pool, int fit) const {
    const auto& [key, machineType] = pool;
    const auto size = state_.poolSizes.find(key);
    return hourlyPrice(*machineType, key.spot) / std::min(fit, static_cast<int>(queued.unmet.tasks)) *
           world_.bootTimes.costFactor(key.machineType, key.zone, world_.now) *
           (1 + 0.001 * (size == state_.poolSizes.end() ? 0 : size->second));
  }

  // The pool where the job's tasks cost least; null where none may be used.
  const PoolOffer* cheapest(const QueuedWork& queued) const {
    const PoolOffer* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (const PoolOffer& pool : pools_) {
      if (!mayUse(queued, pool)) continue;
      const int fit = tasksThatFit(queued.unmet.job->spec.each, pool.machineType->capacity);
      if (fit < 1) continue;
      const double cost = taskCost(queued, pool, fit);
      if (cost >= bestCost) continue;
      bestCost = cost;
      best = &pool;
    }
    return best;
  }

  const FleetWorld& world_;
  std::vector<PoolOffer> pools_;
  PackState state_;
  std::size_t firstRequested_ = 0;
  std::map<PoolKey, std::vector<const placement::Job*>>
      gangs_;  // that wait for instances requested in the pool
  bool hasUncutZone_ = false;
};

}  // namespace

std::vector<ScaleOutRequest> scaleOutForUnmetWork(const FleetWorld& world) { return Packer(world).run(); }

}  // namespace reachhoist::fleet
