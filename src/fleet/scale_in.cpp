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

// The machines of one on-demand pool that consolidation looks at.
struct ConsolidationPool {
  std::vector<Machine*> up;  // accepting work
  double freeCpus = 0;
  double productionCpus = 0;
  std::size_t draining = 0;
};

std::map<PoolKey, ConsolidationPool> consolidationPools(const FleetSnapshot& snapshot) {
  std::map<PoolKey, ConsolidationPool> pools;
  for (Machine* machine : snapshot.machines) {
    if (machine->spot) continue;
    ConsolidationPool& pool = pools[poolOf(*machine)];
    if (machine->phase == MachinePhase::draining) ++pool.draining;
    if (!acceptsWork(*machine)) continue;
    pool.up.push_back(machine);
    pool.freeCpus += std::max(0.0, machine->freeCapacity().vcpus);
    pool.productionCpus += productionCpus(*machine);
  }
  return pools;
}

// Whether another machine of the pool has the attempt's image and the free capacity for it.
bool fitsElsewhere(const machines::Attempt& attempt, const Machine& machine, const ConsolidationPool& pool) {
  return std::any_of(pool.up.begin(), pool.up.end(), [&](const Machine* other) {
    return other != &machine && other->hasImage(attempt.image) &&
           attempt.resources.fitsIn(other->freeCapacity());
  });
}

// Whether every task of the machine is a settled service that fits elsewhere, or a job array task that may
// end.
bool isMovable(const FleetSnapshot& snapshot, const Machine& machine, const ConsolidationPool& pool) {
  // An empty one is for the idle scale-in.
  if (machine.empty() || machine.transactionInFlight ||
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

// Picks the pool's machines to consolidate, least used first, and appends them to `out`.
void consolidate(const FleetSnapshot& snapshot, ConsolidationPool& pool, std::vector<Machine*>& out) {
  const std::size_t maxDraining = 1 + pool.up.size() / constants::kConsolidationDivisor;
  const double headroomCpus = pool.productionCpus * snapshot.settings.operators.headroomShare;
  std::sort(pool.up.begin(), pool.up.end(), [](const Machine* a, const Machine* b) {
    return a->freeCapacity().vcpus > b->freeCapacity().vcpus;
  });
  for (Machine* machine : pool.up) {
    if (pool.draining >= maxDraining) break;
    // Its tasks must fit elsewhere, and beyond the headroom two machines' worth must stay free, so that the
    // loss of one uses up nothing that the next services need.
    const double used = machine->capacity.vcpus - machine->freeCapacity().vcpus;
    if (used > machine->capacity.vcpus * constants::kConsolidationMaxUsedShare) break;
    if (pool.freeCpus - machine->capacity.vcpus <
        headroomCpus + constants::kConsolidationSpareMachines * machine->capacity.vcpus)
      break;
    if (!isMovable(snapshot, *machine, pool)) continue;
    pool.freeCpus -= machine->capacity.vcpus;
    ++pool.draining;
    out.push_back(machine);
  }
}

}  // namespace

std::vector<Machine*> idleScaleIn(const FleetSnapshot& snapshot) {
  Headroom headroom(snapshot);
  std::vector<Machine*> out;
  for (Machine* machine : snapshot.machines) {
    if (!isIdleTooLong(snapshot, *machine) || !headroom.allowsRelease(*machine)) continue;
    headroom.release(*machine);
    out.push_back(machine);
  }
  return out;
}

std::vector<Machine*> consolidationScaleIn(const FleetSnapshot& snapshot) {
  if (!snapshot.unplaced.empty()) return {};
  std::map<PoolKey, ConsolidationPool> pools = consolidationPools(snapshot);
  std::vector<Machine*> out;
  for (auto& [key, pool] : pools) consolidate(snapshot, pool, out);
  return out;
}

}  // namespace reachhoist::fleet
