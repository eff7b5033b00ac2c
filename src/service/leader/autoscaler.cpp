#include "service/leader/autoscaler.hpp"

#include <utility>

#include "fleet/pool_offers.hpp"
#include "service/leader/heap_usage.hpp"

namespace reachhoist::service {

Autoscaler::Autoscaler(LeaderState& state, MachineLifecycle& lifecycle, InstanceInventory& inventory,
                       const BootMonitor& bootMonitor, const PlacementScheduler& scheduler,
                       const ServiceFailover& failover, const PartitionDetector& partitionDetector,
                       cloud::Client& cloud)
    : state_(state),
      context_(state.context),
      lifecycle_(lifecycle),
      inventory_(inventory),
      bootMonitor_(bootMonitor),
      scheduler_(scheduler),
      failover_(failover),
      partitionDetector_(partitionDetector),
      cloud_(cloud),
      sizing_(state.context.settings, state.term),
      sizingStore_(state, sizing_) {}

void Autoscaler::tick() {
  if (!context_.catalog || !state_.holdsLeaderLease()) return;
  // A new leader waits until the machines that are up have sent a heartbeat, so that it does not request the
  // whole fleet again.
  if (!state_.firstHeartbeatWindowElapsed() && !state_.machines.all().empty()) return;
  if (sizing_.isRoundDue(context_.now)) sizingRound();
  if (context_.now < nextScaleOutAt_) return;
  nextScaleOutAt_ = context_.now + constants::kScaleOutInterval;
  fleet::FleetSnapshot snapshot = fleetSnapshot();
  scaleOutForDemand(snapshot);
  for (Machine* machine : fleet::idleScaleIn(snapshot)) lifecycle_.drain(*machine, "idle");
  consolidate(snapshot);
}

void Autoscaler::sizingRound() {
  const fleet::FleetSnapshot snapshot = fleetSnapshot();
  fleet::Headroom headroom(snapshot);
  for (const fleet::Step& step : sizing_.runRound(context_.now, fleet::viewPools(snapshot))) {
    context_.logEvent(
        LogLevel::info, "step",
        {{"pool", step.pool.str()}, {"units", step.units}, {"machines", step.machines}, {"why", step.why}});
    if (step.machines > 0) requestInstances(step.pool, step.machines, "step");
    scaleIn(step.pool, -step.machines, headroom);
  }
}

void Autoscaler::scaleIn(const cloud::PoolKey& pool, int count, fleet::Headroom& headroom) {
  int remaining = count;
  for (auto& [host, machine] : state_.machines.all()) {
    if (remaining <= 0) return;
    if (machine.phase != MachinePhase::up || !machine.attempts.empty() || machine.transactionInFlight)
      continue;
    if (fleet::poolOf(machine) != pool) continue;
    if (!headroom.allowsRelease(machine)) return;
    headroom.release(machine);
    lifecycle_.drain(machine, "scale in");
    --remaining;
  }
}

std::vector<fleet::ScaleOutRequest> Autoscaler::planScaleOut(const fleet::FleetSnapshot& snapshot) const {
  if (!snapshot.unplaced.empty() && context_.isLogged(LogLevel::debug)) {
    std::uint64_t taskCount = 0;
    for (const placement::UnplacedDemand& demand : snapshot.unplaced) taskCount += demand.taskCount;
    context_.logEvent(LogLevel::debug, "scale_out_planning",
                      {{"jobs", snapshot.unplaced.size()},
                       {"first_job", snapshot.unplaced.front().job->spec.ref.text},
                       {"tasks", taskCount},
                       {"refused_pools", snapshot.refusedPools.size()},
                       {"heap_kib", heapInUseKib()}});
  }
  std::vector<fleet::ScaleOutRequest> requests = fleet::scaleOutForUnplacedDemand(snapshot);
  if (!requests.empty() && context_.isLogged(LogLevel::debug))
    context_.logEvent(LogLevel::debug, "scale_out_planned",
                      {{"pools", requests.size()}, {"heap_kib", heapInUseKib()}});
  return requests;
}

void Autoscaler::scaleOutForDemand(fleet::FleetSnapshot& snapshot) {
  for (const fleet::ScaleOutRequest& request : planScaleOut(snapshot)) {
    requestInstances(request.pool, request.count, "unplaced demand");
    for (const jobs::Job* gang : request.gangs)
      gangsAwaitingInstances_[request.pool].insert(gang->spec.ref.text);
    snapshot.pendingRequests[request.pool] += static_cast<std::size_t>(request.count);
  }
  for (const fleet::ScaleOutRequest& request : fleet::scaleOutForReserve(snapshot))
    requestInstances(request.pool, request.count, "reserve");
}

void Autoscaler::consolidate(const fleet::FleetSnapshot& snapshot) {
  if (context_.now < nextConsolidationAt_ ||
      context_.now - state_.recordsLoadedAt < constants::kConsolidationMinAge)
    return;
  nextConsolidationAt_ = context_.now + constants::kConsolidationInterval;
  for (Machine* machine : fleet::consolidationScaleIn(snapshot))
    lifecycle_.drain(*machine, "consolidation", DrainMode::graceful);
}

void Autoscaler::requestInstances(const cloud::PoolKey& pool, int count, const char* why) {
  context_.logEvent(LogLevel::info, "scale_out", {{"pool", pool.str()}, {"machines", count}, {"why", why}});
  cloud_.requestInstances(context_.now, pool, static_cast<std::size_t>(count));
}

void Autoscaler::onProvisioned(const cloud::PoolKey& pool, const std::vector<std::string>& hosts,
                               std::size_t refused) {
  for (const std::string& host : hosts) inventory_.addProvisioned(pool, host);
  const std::set<std::string> gangs = std::exchange(gangsAwaitingInstances_[pool], {});
  if (refused > 0) {
    for (const std::string& ref : gangs)
      if (jobs::Job* job = state_.jobs.find(ref); job != nullptr && job->isOpen())
        job->gang.recordPartialScaleOut(context_.now);
    refusedPoolsUntil_[pool] = context_.now + constants::kRefusedPoolBackoff;
    if (hosts.empty()) sizing_.onScaleOutRefused(pool);
  }
  context_.logEvent(LogLevel::info, "instances_provisioned",
                    {{"pool", pool.str()}, {"machines", hosts.size()}, {"refused", refused}});
  state_.requestPlacementRound();
}

fleet::FleetSnapshot Autoscaler::fleetSnapshot() {
  fleet::FleetSnapshot snapshot{context_.settings,
                                *context_.catalog,
                                context_.now,
                                context_.wallClockMs,
                                state_.existingMachines(),
                                scheduler_.unplacedDemand(),
                                {},
                                pendingByPool(),
                                partitionDetector_.partitionedZones(),
                                failover_.servicesAtRisk(),
                                bootMonitor_.history()};
  std::erase_if(snapshot.unplaced,
                [](const placement::UnplacedDemand& demand) { return !demand.job->isOpen(); });
  std::erase_if(refusedPoolsUntil_, [this](const auto& entry) { return entry.second <= context_.now; });
  for (const auto& [pool, until] : refusedPoolsUntil_) snapshot.refusedPools.insert(pool);
  return snapshot;
}

std::map<cloud::PoolKey, std::size_t> Autoscaler::pendingByPool() const {
  std::map<cloud::PoolKey, std::size_t> pending;
  for (const fleet::PoolOffer& offer : fleet::offeredPools(*context_.catalog))
    if (const std::size_t count = cloud_.pendingInstances(offer.key); count > 0) pending[offer.key] = count;
  return pending;
}

}  // namespace reachhoist::service
