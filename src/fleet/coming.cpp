#include "fleet/coming.hpp"

#include <string_view>
#include <unordered_map>

namespace reachhoist::fleet {

double price(const wire::MachineType& machineType, bool spot) {
  return spot ? machineType.marketPrice : machineType.rate;
}

bool counts(const Machine& machine) {
  return machine.phase == machines::MachinePhase::booting || machine.phase == machines::MachinePhase::up;
}

std::vector<std::pair<PoolKey, const wire::MachineType*>> allPools(
    const std::vector<wire::MachineType>& catalog) {
  std::vector<std::pair<PoolKey, const wire::MachineType*>> out;
  for (const wire::MachineType& machineType : catalog) {
    for (const std::string& zone : machineType.zones) {
      out.push_back({PoolKey{machineType.label, zone, false}, &machineType});
      out.push_back({PoolKey{machineType.label, zone, true}, &machineType});
    }
  }
  return out;
}

bool straggles(const FleetWorld& world, const BootCohorts& cohorts, const Machine& machine) {
  if (machine.phase != machines::MachinePhase::booting) return false;
  double bootS = 0;
  for (const wire::MachineType& machineType : world.catalog)
    if (machineType.label == machine.machineType) bootS = machineType.bootS;
  const auto expected = world.boots.expected(machine.machineType, machine.zone, bootS, world.now);
  return world.now - machine.rentedAt > expected && cohorts.leftBehind(machine);
}

std::vector<Coming> comingMachines(const FleetWorld& world) {
  std::vector<Coming> out;
  const BootCohorts cohorts(world.machines);
  for (const Machine* machine : world.machines) {
    const PoolKey key{machine->machineType, machine->zone, machine->spot};
    if (machine->phase == machines::MachinePhase::booting) {
      if (!straggles(world, cohorts, *machine)) out.push_back(Coming{key, machine->total});
    } else if (machine->phase == machines::MachinePhase::up && !machine->echoed && !machine->spotNoticeAt) {
      out.push_back(Coming{key, machine->room()});
    }
  }
  for (const auto& [key, machineType] : allPools(world.catalog)) {
    const auto found = world.pending.find(key);
    for (std::size_t i = 0; found != world.pending.end() && i < found->second; ++i)
      out.push_back(Coming{key, machineType->room});
  }
  return out;
}

void fill(Queued& queued, Coming& machine) {
  const wire::JobSpec& spec = queued.unmet.job->spec;
  if (!placement::allows(spec, machine.pool.machineType, machine.pool.zone, machine.pool.spot)) return;
  while (queued.unmet.tasks > 0 && spec.each.fitsIn(machine.room) &&
         placement::zoneAllows(spec, queued.byZone, machine.pool.zone)) {
    machine.room -= spec.each;
    ++queued.byZone[machine.pool.zone];
    --queued.unmet.tasks;
  }
}

bool lost(const FleetWorld& world, const Machine& machine) {
  return machine.unreachable && world.cut.contains(machine.zone);
}

bool outOfReach(const FleetWorld& world, const placement::Unmet& unmet) {
  return unmet.job->gang.nextRental > world.now;
}

std::vector<Queued> queueOf(const FleetWorld& world, const std::vector<placement::Unmet>& work,
                            bool withLost) {
  std::vector<Queued> out;
  std::unordered_map<std::string_view, ZoneCount*> zoned;
  out.reserve(work.size());
  for (const placement::Unmet& unmet : work) {
    out.push_back(Queued{unmet, {}});
    if (unmet.job->spec.apart || unmet.job->spec.oneZone)
      zoned[unmet.job->spec.ref.text] = &out.back().byZone;
  }
  if (zoned.empty()) return out;
  for (const Machine* machine : world.machines) {
    if (!withLost && lost(world, *machine)) continue;
    for (const machines::Attempt& attempt : machine->attempts) {
      if (!attempt.holdsRoom()) continue;
      const auto found = zoned.find(attempt.task.job.text);
      if (found != zoned.end()) ++(*found->second)[machine->zone];
    }
  }
  return out;
}

std::vector<Queued> uncovered(const FleetWorld& world, std::vector<Coming>& coming) {
  std::vector<Queued> out;
  for (Queued& queued : queueOf(world, world.unmet, true)) {
    if (outOfReach(world, queued.unmet)) continue;
    for (Coming& machine : coming) {
      if (queued.unmet.tasks == 0) break;
      fill(queued, machine);
    }
    if (queued.unmet.tasks > 0) out.push_back(std::move(queued));
  }
  return out;
}

}  // namespace reachhoist::fleet
