// Extension "reserve": ordinary room for the work that can't wait for a boot.
#include <algorithm>
#include <limits>

#include "fleet/coming.hpp"

namespace reachhoist::fleet {

namespace {

// Work that runs on ordinary machines only and for which others are stopped rather than made to wait.
bool needsReserve(const wire::JobSpec& spec) {
  return spec.rank >= wire::Rank::high || spec.shape == wire::Shape::gang;
}

// Of an attempt: it takes of the room that the reserve is for. What else runs there can be stopped.
bool holdsReserve(const machines::Attempt& attempt) {
  return attempt.rank >= wire::Rank::high || attempt.gang;
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
                           !machine->recallAt && !machine->loaners && !lost(world, *machine);
    if (!takesWork) continue;
    double held = 0;
    for (const machines::Attempt& attempt : machine->attempts)
      if (attempt.holdsRoom() && holdsReserve(attempt)) held += attempt.each.vcpus;
    const double free = std::max(0.0, machine->total.vcpus - held);
    out.used += held;
    out.free += free;
    out.freeByZone[machine->yard] += free;
  }
  for (const Coming& machine : comingMachines(world)) {
    if (machine.pool.loaners) continue;
    out.free += machine.room.vcpus;
    out.freeByZone[machine.pool.yard] += machine.room.vcpus;
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
    const wire::RigType* bestRig = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    const auto pools = allPools(world.catalog);
    for (const auto& [key, rig] : pools) {
      if (key.loaners || world.refused.contains(key) || world.cut.contains(key.yard) || rig->room.vcpus <= 0)
        continue;
      // Price of a CPU; the zone with the least room breaks ties.
      const double cost =
          rig->rate / rig->room.vcpus * (1 + 0.001 * room.freeByZone[key.yard] / rig->room.vcpus);
      if (cost >= bestCost) continue;
      bestCost = cost;
      best = &key;
      bestRig = rig;
    }
    // Less than a whole machine's worth is not worth one: small deployments would pay a machine for a task.
    if (best == nullptr || wanted - room.free < bestRig->room.vcpus) break;
    ++rentals[*best];
    room.free += bestRig->room.vcpus;
    room.freeByZone[best->yard] += bestRig->room.vcpus;
  }
  std::vector<Rental> out;
  for (const auto& [key, count] : rentals) out.push_back(Rental{key, count, {}});
  return out;
}

}  // namespace reachhoist::fleet
