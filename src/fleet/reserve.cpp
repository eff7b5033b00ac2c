// Extension "reserve": ordinary room for the work that can't wait for a boot.
#include <algorithm>
#include <limits>

#include "fleet/coming.hpp"

namespace reachhoist::fleet {

namespace {

// Work that runs on ordinary machines only and for which others are stopped rather than made to wait.
bool needsReserve(const wire::JobSpec& spec) {
  return spec.priority >= wire::Priority::high || spec.kind == wire::JobKind::gang;
}

// Of an attempt: it takes of the room that the reserve is for. What else runs there can be stopped.
bool holdsReserve(const machines::Attempt& attempt) {
  return attempt.priority >= wire::Priority::high || attempt.gang;
}

struct OrdinaryRoom {
  double used = 0;  // CPUs of work that the reserve is for
  double free = 0;  // CPUs that such work could take at once or soon
  std::map<std::string, double> freeByZone;
};

OrdinaryRoom ordinaryRoom(const FleetWorld& world) {
  OrdinaryRoom out;
  for (const Machine* machine : world.machines) {
    const bool takesWork = machine->phase == machines::MachinePhase::up && machine->echoed &&
                           !machine->spotNoticeAt && !machine->spot && !lost(world, *machine);
    if (!takesWork) continue;
    double held = 0;
    for (const machines::Attempt& attempt : machine->attempts)
      if (attempt.holdsRoom() && holdsReserve(attempt)) held += attempt.each.vcpus;
    const double free = std::max(0.0, machine->total.vcpus - held);
    out.used += held;
    out.free += free;
    out.freeByZone[machine->zone] += free;
  }
  for (const Coming& machine : comingMachines(world)) {
    if (machine.pool.spot) continue;
    out.free += machine.room.vcpus;
    out.freeByZone[machine.pool.zone] += machine.room.vcpus;
  }
  for (const placement::Unmet& unmet : world.unmet)
    if (needsReserve(unmet.job->spec) && !outOfReach(world, unmet))
      out.free -= unmet.job->spec.each.vcpus * unmet.tasks;
  return out;
}

}  // namespace

std::vector<Rental> reserve(const FleetWorld& world) {
  OrdinaryRoom room = ordinaryRoom(world);
  const double wanted = room.used * world.settings.operators.reserveShare;
  std::map<PoolKey, int> rentals;
  while (wanted > room.free) {
    const PoolKey* best = nullptr;
    const wire::MachineType* bestType = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    const auto pools = allPools(world.catalog);
    for (const auto& [key, machineType] : pools) {
      if (key.spot || world.refused.contains(key) || world.cut.contains(key.zone) ||
          machineType->room.vcpus <= 0)
        continue;
      // Price of a CPU; the zone with the least room breaks ties.
      const double cost = machineType->rate / machineType->room.vcpus *
                          world.boots.costFactor(key.machineType, key.zone, world.now) *
                          (1 + 0.001 * room.freeByZone[key.zone] / machineType->room.vcpus);
      if (cost >= bestCost) continue;
      bestCost = cost;
      best = &key;
      bestType = machineType;
    }
    // Less than a whole machine's worth is not worth one: small deployments would pay a machine for a task.
    if (best == nullptr || wanted - room.free < bestType->room.vcpus) break;
    ++rentals[*best];
    room.free += bestType->room.vcpus;
    room.freeByZone[best->zone] += bestType->room.vcpus;
  }
  std::vector<Rental> out;
  for (const auto& [key, count] : rentals) out.push_back(Rental{key, count, {}});
  return out;
}

}  // namespace reachhoist::fleet
