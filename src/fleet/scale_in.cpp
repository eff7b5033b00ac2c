// Scale-in: idle machines to release, and consolidation of lightly used machines.
#include <algorithm>

#include "fleet/headroom.hpp"
#include "fleet/scaling.hpp"

namespace reachhoist::fleet {

namespace {

using machines::AttemptPhase;
using machines::MachinePhase;

// Whether the machine has been empty for longer than the operators' idle limit.
bool isIdleTooLong(const FleetSnapshot& snapshot, const Machine& machine) {
  if (machine.phase != MachinePhase::up || !machine.attempts.empty() || machine.transactionInFlight)
    return false;
  return snapshot.now - machine.idleSince >= wire::seconds(snapshot.settings.operators.idleScaleInS);
}

// The state of one on-demand pool for consolidation.
struct ConsolidationPool {
  std::vector<Machine*> acceptingWork;
  double freeCpus = 0;
  double productionCpus = 0;
  std::size_t drainingMachines = 0;
};

std::map<PoolKey, ConsolidationPool> consolidationPools(const FleetSnapshot& snapshot) {
  std::map<PoolKey, ConsolidationPool> pools;
  for (Machine* machine : snapshot.machines) {
    if (machine->spot) continue;
    ConsolidationPool& pool = pools[poolOf(*machine)];
    if (machine->phase == MachinePhase::draining) ++pool.drainingMachines;
    if (!acceptsWork(*machine)) continue;
    pool.acceptingWork.push_back(machine);
    pool.freeCpus += std::max(0.0, machine->freeCapacity().vcpus);
    pool.productionCpus += productionCpus(*machine);
  }
  return pools;
}

// Whether another machine of the pool has the attempt's image and the free capacity for it.
bool fitsElsewhere(const machines::Attempt& attempt, const Machine& machine, const ConsolidationPool& pool) {
  return std::any_of(pool.acceptingWork.begin(), pool.acceptingWork.end(), [&](const Machine* other) {
    return other != &machine && other->hasImage(attempt.image) &&
           attempt.resources.fitsIn(other->freeCapacity());
  });
}

// Whether all tasks on the machine run, and its services have run for constants::kConsolidationMinAge and fit
// elsewhere. Job array tasks can run to their end.
bool isMovable(const FleetSnapshot& snapshot, const Machine& machine, const ConsolidationPool& pool) {
  // Empty machines are left to the scale-in of idle machines.
  if (machine.isIdle() || machine.transactionInFlight ||
      snapshot.now - machine.upSince < constants::kConsolidationMinAge)
    return false;
  for (const machines::Attempt& attempt : machine.attempts) {
    if (attempt.phase == AttemptPhase::ended) continue;
    if (attempt.phase != AttemptPhase::running || attempt.stopRequested) return false;
    if (!attempt.isService) continue;
    if (snapshot.now - attempt.runningSince < constants::kConsolidationMinAge) return false;
    if (!fitsElsewhere(attempt, machine, pool)) return false;
  }
  return true;
}

// Selects the pool's machines to consolidate, least used first, and appends them to `selected`.
void consolidate(const FleetSnapshot& snapshot, ConsolidationPool& pool, std::vector<Machine*>& selected) {
  const std::size_t maxDraining = 1 + pool.acceptingWork.size() / constants::kConsolidationDivisor;
  const double headroomCpus = pool.productionCpus * snapshot.settings.operators.headroomShare;
  std::sort(pool.acceptingWork.begin(), pool.acceptingWork.end(), [](const Machine* a, const Machine* b) {
    return a->freeCapacity().vcpus > b->freeCapacity().vcpus;
  });
  for (Machine* machine : pool.acceptingWork) {
    if (pool.drainingMachines >= maxDraining) break;
    // The tasks must fit elsewhere. Beyond the headroom, two machines' worth must stay free, so that the loss
    // of one machine takes nothing that the next services need.
    const double usedCpus = machine->capacity.vcpus - machine->freeCapacity().vcpus;
    if (usedCpus > machine->capacity.vcpus * constants::kConsolidationMaxUsedShare) break;
    if (pool.freeCpus - machine->capacity.vcpus <
        headroomCpus + constants::kConsolidationSpareMachines * machine->capacity.vcpus)
      break;
    if (!isMovable(snapshot, *machine, pool)) continue;
    pool.freeCpus -= machine->capacity.vcpus;
    ++pool.drainingMachines;
    selected.push_back(machine);
  }
}

}  // namespace

std::vector<Machine*> idleScaleIn(const FleetSnapshot& snapshot) {
  Headroom headroom(snapshot);
  std::vector<Machine*> idleMachines;
  for (Machine* machine : snapshot.machines) {
    if (!isIdleTooLong(snapshot, *machine) || !headroom.allowsRelease(*machine)) continue;
    headroom.release(*machine);
    idleMachines.push_back(machine);
  }
  return idleMachines;
}

std::vector<Machine*> consolidationScaleIn(const FleetSnapshot& snapshot) {
  if (!snapshot.unplaced.empty()) return {};
  std::map<PoolKey, ConsolidationPool> pools = consolidationPools(snapshot);
  std::vector<Machine*> selected;
  for (auto& [key, pool] : pools) consolidate(snapshot, pool, selected);
  return selected;
}

}  // namespace reachhoist::fleet
