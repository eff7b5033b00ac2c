#include "service/leader/boot_monitor.hpp"

namespace reachhoist::service {

void BootMonitor::recordBoot(const Machine& machine) {
  history_.recordBoot(machine.machineType, machine.zone, context_.now - machine.provisionedAt, context_.now);
}

void BootMonitor::tick() {
  if (context_.now < nextCheckAt_) return;
  nextCheckAt_ = context_.now + constants::kScaleOutInterval;
  decommissionTimedOut();
}

double BootMonitor::nominalBootTimeS(const Machine& machine) const {
  if (!context_.catalog) return 0;
  const wire::MachineType* machineType = wire::findMachineType(*context_.catalog, machine.machineType);
  return machineType == nullptr ? 0 : machineType->nominalBootTimeS;
}

// A machine that never comes up costs money until it is released. Where all boots are slow, though, a short
// timeout would discard machines that are about to come up.
void BootMonitor::decommissionTimedOut() {
  // Machines that came up while this leader received no heartbeats get time to send one.
  const auto heartbeatGracePeriod = state_.heartbeatTimeout(constants::kUnreachableHeartbeatIntervals, 1);
  if (context_.now - state_.receivingHeartbeatsSince() < heartbeatGracePeriod) return;
  const fleet::BootCohorts cohorts(state_.existingMachines());
  for (auto& [host, machine] : state_.machines.all()) {
    if (machine.phase != MachinePhase::booting) continue;
    const auto age = context_.now - machine.provisionedAt;
    const auto timeout =
        history_.bootTimeout(machine.machineType, machine.zone, nominalBootTimeS(machine), context_.now);
    if (age <= timeout) continue;
    if (age <= constants::kSlowCohortTimeoutFactor * timeout && !cohorts.lagsCohort(machine)) continue;
    history_.recordBootTimeout(machine.machineType, machine.zone, context_.now);
    lifecycle_.decommission(machine, "boot timeout");
  }
}

}  // namespace reachhoist::service
