// Shared by sizing's view and its extensions: the pools there are, the machines that will soon take work, and
// the waiting work for which those have no room.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fleet/pools.hpp"

namespace reachhoist::fleet {

using ZoneCount = std::map<std::string, std::uint32_t>;

// A machine that will take work soon, with the room that is not spoken for yet.
struct Coming {
  PoolKey pool;
  wire::Resources room;
};

// Waiting tasks of a job and where its other tasks are (only for jobs that care).
struct Queued {
  placement::Unmet unmet;
  ZoneCount byZone;
};

// Price per hour of one machine.
double price(const wire::MachineType& machineType, bool spot);

// Whether the machine is part of its pool: booting or up.
bool counts(const Machine& machine);

// Every pool that the catalogue offers, with its machine type.
std::vector<std::pair<PoolKey, const wire::MachineType*>> allPools(
    const std::vector<wire::MachineType>& catalog);

// On its way, late, and left behind by those that were rented with it: it may never come.
bool straggles(const FleetWorld& world, const BootCohorts& cohorts, const Machine& machine);

// Booting, asked for, or up and not heard from both ways yet. Stragglers are left out: their work needs
// another machine.
std::vector<Coming> comingMachines(const FleetWorld& world);

// Takes as many of the queued tasks as the machine has room for.
void fill(Queued& queued, Coming& machine);

// Whether the machine can't be reached in a zone that seems cut off.
bool lost(const FleetWorld& world, const Machine& machine);

// Whether the cloud has lately had too few machines for the gang: until its next try it is no reason for any
// rental.
bool outOfReach(const FleetWorld& world, const placement::Unmet& unmet);

// The work, with where the jobs' other tasks are; machines that are lost are left out on request.
std::vector<Queued> queueOf(const FleetWorld& world, const std::vector<placement::Unmet>& work,
                            bool withLost);

// Waiting work for which the machines that are coming have no room; takes that room for the rest. Leaves out
// what is out of reach.
std::vector<Queued> uncovered(const FleetWorld& world, std::vector<Coming>& coming);

}  // namespace reachhoist::fleet
