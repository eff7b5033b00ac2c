#include "service/leader/instance_inventory.hpp"

#include <algorithm>

namespace reachhoist::service {

namespace {
// A machine that the cloud lists as running is expected to send a heartbeat within this number of heartbeat
// intervals.
constexpr double kFirstHeartbeatIntervalsAfterListing = 4;
}  // namespace

void InstanceInventory::addProvisioned(const cloud::PoolKey& pool, const std::string& host) {
  if (state_.machines.find(host) != nullptr) return;  // its first heartbeat arrived before the cloud's answer
  Machine& machine = state_.machines.add(host);
  machine.machineType = pool.machineType;
  machine.zone = pool.zone;
  machine.spot = pool.spot;
  machine.provisionedAt = context_.now;
  machine.contact.lastHeartbeatAt = context_.now;
  machine.contact.lastDirectContactAt = context_.now;
  machine.contact.leaseRenewedAt = context_.now;
  lifecycle_.applyMachineType(machine);
}

void InstanceInventory::onReleased(const std::vector<std::string>& hosts) {
  for (const std::string& host : hosts) {
    Machine* machine = state_.machines.find(host);
    if (machine == nullptr) continue;
    attempts_.releaseAll(*machine, "machine terminated");
    machine->setPhase(MachinePhase::terminated, context_.now);
    for (const std::uint32_t batch : state_.batches.batchesContaining(host))
      state_.staleBatches.insert(batch);
    context_.logEvent(LogLevel::info, "machine_terminated",
                      {{"machine", host}, {"why", machine->decommissionReason}});
    // This includes attempts whose placement is still being written: when their transaction is done, there is
    // no machine left to start them on.
    for (Attempt& attempt : machine->attempts) attempts_.release(*machine, attempt, "machine terminated");
    state_.machines.remove(host);
    releaseRetentionUntil_[host] = context_.now + constants::kReleasedHostRetention;
  }
  state_.requestPlacementRound();
}

void InstanceInventory::onListed(const std::vector<wire::InstanceEntry>& instances) {
  std::erase_if(releaseRetentionUntil_, [this](const auto& entry) { return entry.second <= context_.now; });
  for (const wire::InstanceEntry& entry : instances) {
    Machine* machine = state_.machines.find(entry.host.text);
    if (machine == nullptr) {
      if (wasRecentlyReleased(entry.host.text)) continue;
      machine = &addListed(entry);
    }
    reconcile(*machine, entry);
  }
}

Machine& InstanceInventory::addListed(const wire::InstanceEntry& entry) {
  Machine& machine = state_.machines.add(entry.host.text);
  machine.machineType = entry.machineType;
  machine.zone = entry.zone;
  machine.spot = entry.spot;
  machine.endpoint = entry.endpoint;
  machine.provisionedAt = context_.now - wire::seconds(entry.ageS);
  machine.contact.lastHeartbeatAt = context_.now;
  machine.contact.lastDirectContactAt = context_.now;
  machine.contact.leaseRenewedAt = state_.inheritedLeaseRenewal();
  lifecycle_.applyMachineType(machine);
  // No attempt is recorded on the machine, but it came up under an earlier leader. It will send heartbeats,
  // and its age must not count as a boot timeout.
  if (entry.state == wire::InstanceState::running) machine.setPhase(MachinePhase::up, context_.now);
  return machine;
}

void InstanceInventory::reconcile(Machine& machine, const wire::InstanceEntry& entry) {
  if (machine.endpoint.empty()) machine.endpoint = entry.endpoint;
  if (entry.state == wire::InstanceState::failed && machine.phase != MachinePhase::terminating &&
      machine.phase != MachinePhase::terminated) {
    context_.logEvent(LogLevel::info, "machine_failed", {{"machine", entry.host.text}});
    attempts_.releaseAll(machine, "machine failed");
    lifecycle_.decommission(machine, "failed");
  } else if (machine.phase == MachinePhase::booting && entry.state == wire::InstanceState::running) {
    // The time without heartbeats counts from the first list that named the machine as running, because a
    // machine that boots slowly only starts to send heartbeats then.
    if (machine.listedUpAt == Time{}) machine.listedUpAt = context_.now;
    const double listLagAllowanceS = 2 * context_.settings.cloudLimits.listLagS;
    const auto withoutHeartbeatFor =
        context_.now - std::max(machine.listedUpAt, state_.receivingHeartbeatsSince());
    if (wire::toSeconds(withoutHeartbeatFor) >
        listLagAllowanceS +
            kFirstHeartbeatIntervalsAfterListing * context_.settings.workers.heartbeatIntervalS)
      lifecycle_.decommission(machine, "running without heartbeats");
  }
}

}  // namespace reachhoist::service
