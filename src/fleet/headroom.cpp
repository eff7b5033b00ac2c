// The headroom of free vCPUs on on-demand machines.
#include "fleet/headroom.hpp"

#include <algorithm>

namespace reachhoist::fleet {

double productionCpus(const Machine& machine) {
  double cpus = 0;
  for (const machines::Attempt& attempt : machine.attempts)
    if (attempt.holdsCapacity() && attempt.priority == wire::Priority::prod) cpus += attempt.resources.vcpus;
  return cpus;
}

Headroom::Headroom(const FleetSnapshot& snapshot) {
  double usedCpus = 0;
  for (const Machine* machine : snapshot.machines) {
    if (machine->phase != machines::MachinePhase::up) continue;
    usedCpus += productionCpus(*machine);
    if (!machine->spot) freeCpus_ += std::max(0.0, machine->freeCapacity().vcpus);
  }
  requiredCpus_ = usedCpus * snapshot.settings.operators.headroomShare;
}

bool Headroom::allowsRelease(const Machine& machine) const {
  return machine.spot || freeCpus_ - machine.capacity.vcpus >= requiredCpus_;
}

void Headroom::release(const Machine& machine) {
  if (!machine.spot) freeCpus_ -= machine.capacity.vcpus;
}

}  // namespace reachhoist::fleet
