// Renting, returning and sizing.
#include <algorithm>
#include <utility>

#include "service/leader.hpp"

namespace reachhoist::service {

void Leader::onInstancesProvisioned(const cloud::PoolKey& pool, const std::vector<std::string>& hosts,
                                    std::size_t refused) {
  for (const std::string& host : hosts) inventory_.addProvisioned(pool, host);
  const std::set<std::string> gangs = std::exchange(gangScaleOuts_[pool], {});
  if (refused > 0) {
    for (const std::string& ref : gangs)
      if (jobs::Job* job = state_.jobs.find(ref); job != nullptr && job->open())
        job->gang.scaleOutFellShort(context_.now);
    refusedUntil_[pool] = context_.now + constants::kRefusedPause;
    if (hosts.empty()) sizing_.onScaleOutRefused(pool);
  }
  context_.event(Level::info, "rented",
                 {{"pool", pool.str()}, {"machines", hosts.size()}, {"refused", refused}});
  state_.requestPlacementRound();
}

std::vector<placement::UnplacedDemand> Leader::servicesAtRisk() {
  if (partitionDetector_.selfPartitioned()) return {};
  std::map<std::string, std::uint32_t> tasks;
  for (const auto& [host, machine] : state_.machines.all()) {
    if (machine.phase != MachinePhase::up || !machine.unreachable ||
        !partitionDetector_.contains(machine.zone))
      continue;
    for (const Attempt& attempt : machine.attempts)
      if (holdsService(attempt)) ++tasks[attempt.task.job.text];
  }
  std::vector<placement::UnplacedDemand> out;
  for (const auto& [ref, count] : tasks)
    if (const jobs::Job* job = state_.jobs.find(ref); job != nullptr && job->open())
      out.push_back(placement::UnplacedDemand{job, count});
  return out;
}

fleet::FleetWorld Leader::fleetWorld() {
  fleet::FleetWorld world{context_.settings,
                          *context_.catalog,
                          context_.now,
                          context_.wallMs,
                          state_.existingMachines(),
                          unplaced_,
                          {},
                          {},
                          partitionDetector_.zones(),
                          servicesAtRisk(),
                          boots_.history()};
  std::erase_if(world.unmet, [](const placement::UnplacedDemand& unmet) { return !unmet.job->open(); });
  std::erase_if(refusedUntil_, [this](const auto& entry) { return entry.second <= context_.now; });
  for (const auto& [pool, until] : refusedUntil_) world.refused.insert(pool);
  for (const auto& machineType : *context_.catalog) {
    for (const std::string& zone : machineType.zones) {
      for (const bool spot : {false, true}) {
        const cloud::PoolKey key{machineType.label, zone, spot};
        if (const std::size_t count = cloud_.pending(key); count > 0) world.pending[key] = count;
      }
    }
  }
  return world;
}

void Leader::requestInstances(const cloud::PoolKey& pool, int count, const char* why) {
  context_.event(Level::info, "rent", {{"pool", pool.str()}, {"machines", count}, {"why", why}});
  cloud_.requestInstances(context_.now, pool, static_cast<std::size_t>(count));
}

void Leader::autoscale() {
  if (!context_.catalog || !state_.holdsLeaderLease()) return;
  // The machines that are up make themselves known first; else a new leader would rent everything again.
  const auto settle = wire::seconds(context_.settings.heartbeatIntervalS * 1.5 + 1);
  if (context_.now - state_.actingSince < settle && !state_.machines.all().empty()) return;
  if (sizing_.due(context_.now)) {
    const auto world = fleetWorld();
    fleet::Headroom spare(world);
    for (const fleet::Step& step : sizing_.round(context_.now, fleet::viewPools(world))) {
      context_.event(
          Level::info, "step",
          {{"pool", step.pool.str()}, {"units", step.units}, {"machines", step.machines}, {"why", step.why}});
      if (step.machines > 0) requestInstances(step.pool, step.machines, "step");
      int left = -step.machines;
      for (auto& [host, machine] : state_.machines.all()) {
        if (left <= 0) break;
        if (machine.phase != MachinePhase::up || !machine.attempts.empty() || machine.recordBusy) continue;
        if (cloud::PoolKey{machine.machineType, machine.zone, machine.spot} != step.pool) continue;
        if (!spare.allowsRelease(machine)) break;
        spare.release(machine);
        lifecycle_.drain(machine, "step down");
        --left;
      }
    }
  }
  if (context_.now < nextScaleOut_) return;
  nextScaleOut_ = context_.now + constants::kScaleOutEvery;
  auto world = fleetWorld();
  for (const fleet::ScaleOutRequest& rental : fleet::scaleOutForUnmetWork(world)) {
    requestInstances(rental.pool, rental.count, "shortfall");
    for (const jobs::Job* gang : rental.gangs) gangScaleOuts_[rental.pool].insert(gang->spec.ref.text);
    world.pending[rental.pool] += static_cast<std::size_t>(rental.count);
  }
  for (const fleet::ScaleOutRequest& rental : fleet::scaleOutForReserve(world))
    requestInstances(rental.pool, rental.count, "reserve");
  for (Machine* machine : fleet::idleScaleIn(world)) lifecycle_.drain(*machine, "idle");
  if (context_.now < nextConsolidation_ || context_.now - state_.actingSince < constants::kConsolidateMinAge)
    return;
  nextConsolidation_ = context_.now + constants::kConsolidateEvery;
  for (Machine* machine : fleet::consolidationScaleIn(world))
    lifecycle_.drain(*machine, "vacated", DrainMode::graceful);
}

}  // namespace reachhoist::service
