// Predicates on the machines of a snapshot.
#include "fleet/snapshot.hpp"

namespace reachhoist::fleet {

using machines::MachinePhase;

PoolKey poolOf(const Machine& machine) { return PoolKey{machine.machineType, machine.zone, machine.spot}; }

bool countsTowardPool(const Machine& machine) {
  return machine.phase == MachinePhase::booting || machine.phase == MachinePhase::up;
}

bool acceptsWork(const Machine& machine) {
  return machine.phase == MachinePhase::up && machine.contact.tokenAcknowledged && !machine.spotNoticeAt;
}

bool isPartitioned(const FleetSnapshot& snapshot, const Machine& machine) {
  return machine.contact.unreachable && snapshot.partitionedZones.contains(machine.zone);
}

}  // namespace reachhoist::fleet
