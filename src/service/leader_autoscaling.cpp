// Renting, returning and sizing.
#include <algorithm>
#include <utility>

#include "fleet/headroom.hpp"
#include "fleet/scaling.hpp"
#include "service/leader.hpp"

namespace reachhoist::service {

void Leader::describe(Machine& machine) {
  if (!context_.catalog) return;
  for (const wire::MachineType& machineType : *context_.catalog) {
    if (machineType.label != machine.machineType) continue;
    machine.total = machineType.capacity;
    machine.cacheGb = machineType.cacheGb;
    machine.pullGbPerS = machineType.pullGbPerS;
  }
}

void Leader::onInstancesProvisioned(const cloud::PoolKey& pool, const std::vector<std::string>& hosts,
                                    std::size_t refused) {
  for (const std::string& host : hosts) {
    if (machines_.find(host) != nullptr) continue;  // its worker was faster than the answer
    Machine& machine = machines_.add(host);
    machine.machineType = pool.machineType;
    machine.zone = pool.zone;
    machine.spot = pool.spot;
    machine.provisionedAt = context_.now;
    machine.lastHeartbeatAt = context_.now;
    machine.lastDirectContactAt = context_.now;
    machine.leaseRenewedAt = context_.now;
    describe(machine);
  }
  const std::set<std::string> gangs = std::exchange(gangScaleOuts_[pool], {});
  if (refused > 0) {
    for (const std::string& ref : gangs)
      if (jobs::Job* job = jobs_.find(ref); job != nullptr && job->open())
        job->gang.scaleOutFellShort(context_.now);
    refusedUntil_[pool] = context_.now + constants::kRefusedPoolBackoff;
    if (hosts.empty()) sizing_.onScaleOutRefused(pool);
  }
  context_.event(Level::info, "rented",
                 {{"pool", pool.str()}, {"machines", hosts.size()}, {"refused", refused}});
  planDue_ = true;
}

void Leader::onInstancesReleased(const std::vector<std::string>& hosts) {
  for (const std::string& host : hosts) {
    Machine* machine = machines_.find(host);
    if (machine == nullptr) continue;
    freeAllAttempts(*machine, "machine gone");
    machine->to(MachinePhase::terminated, context_.now);
    for (const std::uint32_t page : batches_.naming(host)) staleBatches_.insert(page);
    context_.event(Level::info, "machine_gone", {{"machine", host}, {"why", machine->decommissionReason}});
    // A placement whose outcome is still open finds nothing left to start, and that is right.
    for (Attempt& attempt : machine->attempts) release(*machine, attempt, "machine gone");
    machines_.remove(host);
    releasedUntil_[host] = context_.now + constants::kReleasedHostRetention;
  }
  planDue_ = true;
}

void Leader::onInstancesListed(const std::vector<wire::HostEntry>& hosts) {
  std::erase_if(releasedUntil_, [this](const auto& entry) { return entry.second <= context_.now; });
  for (const wire::HostEntry& entry : hosts) {
    Machine* machine = machines_.find(entry.ref.text);
    const double lagS = 2 * context_.settings.cloud.listLagS;
    if (machine == nullptr) {
      if (releasedUntil_.contains(entry.ref.text)) continue;
      Machine& stranger = machines_.add(entry.ref.text);
      stranger.machineType = entry.machineType;
      stranger.zone = entry.zone;
      stranger.spot = entry.spot;
      stranger.endpoint = entry.endpoint;
      stranger.provisionedAt = context_.now - wire::seconds(entry.ageS);
      stranger.lastHeartbeatAt = context_.now;
      stranger.lastDirectContactAt = context_.now;
      stranger.leaseRenewedAt = electedAt_ + context_.settings.answerWindow();
      describe(stranger);
      // Nothing is placed on it, but an earlier leader had it up: it will report, and must not be taken for
      // one that never came up because of its age.
      if (entry.stage == wire::HostStage::running) stranger.to(MachinePhase::up, context_.now);
      machine = &stranger;
    }
    if (machine->endpoint.empty()) machine->endpoint = entry.endpoint;
    if (entry.stage == wire::HostStage::failed && machine->phase != MachinePhase::terminating &&
        machine->phase != MachinePhase::terminated) {
      context_.event(Level::info, "machine_failed", {{"machine", entry.ref.text}});
      freeAllAttempts(*machine, "machine failed");
      decommission(*machine, "failed");
    } else if (machine->phase == MachinePhase::booting && entry.stage == wire::HostStage::running) {
      // Counted from when it was first said to run: one that came up late has only just begun to report.
      if (machine->listedUpAt == Time{}) machine->listedUpAt = context_.now;
      const auto silent = context_.now - std::max(machine->listedUpAt, listeningSince());
      if (wire::toSeconds(silent) > lagS + 4 * context_.settings.workers.heartbeatIntervalS)
        decommission(*machine, "listed as running but silent");
    }
  }
}

void Leader::drain(Machine& machine, const char* why, bool gently) {
  if (machine.phase != MachinePhase::up && machine.phase != MachinePhase::booting) return;
  machine.decommissionReason = why;
  machine.to(MachinePhase::draining, context_.now);
  context_.event(Level::info, "draining", {{"machine", machine.host.text}, {"why", why}});
  for (Attempt& attempt : machine.attempts) {
    if (gently && !attempt.isService) continue;
    if (attempt.gang) {
      stopGang(attempt.task.job.text, constants::kUnlimitedStopTimeS, why);
    } else {
      commands_.stop(machine, attempt, attempt.saves ? attempt.checkpointS + 1 : 0);
    }
  }
}

void Leader::decommission(Machine& machine, const char* why) {
  if (machine.phase == MachinePhase::terminating || machine.phase == MachinePhase::decommissioning) return;
  machine.decommissionReason = why;
  machine.to(MachinePhase::decommissioning, context_.now);
  context_.event(Level::info, "condemned", {{"machine", machine.host.text}, {"why", why}});
}

double Leader::bootSecondsOf(const Machine& machine) const {
  if (!context_.catalog) return 0;
  for (const wire::MachineType& machineType : *context_.catalog)
    if (machineType.label == machine.machineType) return machineType.bootS;
  return 0;
}

// What never comes up costs money until it is returned; where all boots are slow, giving up would throw away
// what is about to come.
void Leader::detectBootTimeouts() {
  // What was reported while nobody listened arrives first.
  if (context_.now - listeningSince() <
      wire::seconds(context_.settings.workers.heartbeatIntervalS * constants::kUnreachableHeartbeatLimit + 1))
    return;
  const fleet::BootCohorts cohorts(allMachines());
  for (auto& [host, machine] : machines_.all()) {
    if (machine.phase != MachinePhase::booting) continue;
    const auto age = context_.now - machine.provisionedAt;
    const auto patience =
        boots_.bootTimeout(machine.machineType, machine.zone, bootSecondsOf(machine), context_.now);
    if (age <= patience) continue;
    if (age <= constants::kSlowCohortTimeoutFactor * patience && !cohorts.lagsCohort(machine)) continue;
    boots_.recordBootTimeout(machine.machineType, machine.zone, context_.now);
    decommission(machine, "never came up");
  }
}

void Leader::advanceDecommissioning() {
  if (context_.now >= nextBootCheck_) {
    nextBootCheck_ = context_.now + constants::kScaleOutInterval;
    detectBootTimeouts();
  }
  for (auto& [host, machine] : machines_.all()) {
    if (machine.phase == MachinePhase::draining && machine.attempts.empty()) {
      machine.to(MachinePhase::decommissioning, context_.now);
    } else if (machine.phase == MachinePhase::up && machine.spotNoticeAt && machine.attempts.empty()) {
      drain(machine, "spot notice");
    }
  }
}

std::vector<placement::UnplacedDemand> Leader::servicesAtRisk() {
  if (partitionDetector_.selfPartitioned()) return {};
  std::map<std::string, std::uint32_t> tasks;
  for (const auto& [host, machine] : machines_.all()) {
    if (machine.phase != MachinePhase::up || !machine.unreachable ||
        !partitionDetector_.contains(machine.zone))
      continue;
    for (const Attempt& attempt : machine.attempts)
      if (holdsService(attempt)) ++tasks[attempt.task.job.text];
  }
  std::vector<placement::UnplacedDemand> out;
  for (const auto& [ref, count] : tasks)
    if (const jobs::Job* job = jobs_.find(ref); job != nullptr && job->open())
      out.push_back(placement::UnplacedDemand{job, count});
  return out;
}

fleet::FleetSnapshot Leader::fleetSnapshot() {
  fleet::FleetSnapshot world{context_.settings,
                             *context_.catalog,
                             context_.now,
                             context_.wallMs,
                             allMachines(),
                             unplaced_,
                             {},
                             {},
                             partitionDetector_.zones(),
                             servicesAtRisk(),
                             boots_};
  std::erase_if(world.unplaced, [](const placement::UnplacedDemand& unmet) { return !unmet.job->open(); });
  std::erase_if(refusedUntil_, [this](const auto& entry) { return entry.second <= context_.now; });
  for (const auto& [pool, until] : refusedUntil_) world.refusedPools.insert(pool);
  for (const auto& machineType : *context_.catalog) {
    for (const std::string& zone : machineType.zones) {
      for (const bool spot : {false, true}) {
        const cloud::PoolKey key{machineType.label, zone, spot};
        if (const std::size_t count = cloud_->pending(key); count > 0) world.pendingRequests[key] = count;
      }
    }
  }
  return world;
}

void Leader::requestInstances(const cloud::PoolKey& pool, int count, const char* why) {
  context_.event(Level::info, "rent", {{"pool", pool.str()}, {"machines", count}, {"why", why}});
  cloud_->requestInstances(context_.now, pool, static_cast<std::size_t>(count));
}

void Leader::autoscale() {
  if (!context_.catalog || !holdsLeaderLease()) return;
  // The machines that are up make themselves known first; else a new leader would rent everything again.
  const auto settle = wire::seconds(context_.settings.workers.heartbeatIntervalS * 1.5 + 1);
  if (context_.now - actingSince_ < settle && !machines_.all().empty()) return;
  if (sizing_.due(context_.now)) {
    const auto world = fleetSnapshot();
    fleet::Headroom spare(world);
    for (const fleet::Step& step : sizing_.round(context_.now, fleet::viewPools(world))) {
      context_.event(
          Level::info, "step",
          {{"pool", step.pool.str()}, {"units", step.units}, {"machines", step.machines}, {"why", step.why}});
      if (step.machines > 0) requestInstances(step.pool, step.machines, "step");
      int left = -step.machines;
      for (auto& [host, machine] : machines_.all()) {
        if (left <= 0) break;
        if (machine.phase != MachinePhase::up || !machine.attempts.empty() || machine.recordBusy) continue;
        if (cloud::PoolKey{machine.machineType, machine.zone, machine.spot} != step.pool) continue;
        if (!spare.allowsRelease(machine)) break;
        spare.release(machine);
        drain(machine, "step down");
        --left;
      }
    }
  }
  if (context_.now < nextScaleOut_) return;
  nextScaleOut_ = context_.now + constants::kScaleOutInterval;
  auto world = fleetSnapshot();
  for (const fleet::ScaleOutRequest& rental : fleet::scaleOutForUnplacedDemand(world)) {
    requestInstances(rental.pool, rental.count, "shortfall");
    for (const jobs::Job* gang : rental.gangs) gangScaleOuts_[rental.pool].insert(gang->spec.ref.text);
    world.pendingRequests[rental.pool] += static_cast<std::size_t>(rental.count);
  }
  for (const fleet::ScaleOutRequest& rental : fleet::scaleOutForReserve(world))
    requestInstances(rental.pool, rental.count, "reserve");
  for (Machine* machine : fleet::idleScaleIn(world)) drain(*machine, "idle");
  if (context_.now < nextConsolidation_ || context_.now - actingSince_ < constants::kConsolidationMinAge)
    return;
  nextConsolidation_ = context_.now + constants::kConsolidationInterval;
  for (Machine* machine : fleet::consolidationScaleIn(world)) drain(*machine, "vacated", true);
}

}  // namespace reachhoist::service
