// The leader's view of the fleet for one scaling decision.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cloud/client.hpp"
#include "fleet/boot_times.hpp"
#include "placement/planner.hpp"

namespace reachhoist::fleet {

using cloud::PoolKey;
using machines::Machine;
using wire::Time;

// The fleet, the demand and the state of the pools at one moment. Borrows the settings, the catalogue, the
// machines and the jobs.
struct FleetSnapshot {
  const config::Settings& settings;
  const std::vector<wire::MachineType>& catalog;
  Time now{};
  std::int64_t wallClockMs = 0;  // wall clock, in milliseconds since the epoch
  std::vector<Machine*> machines;
  std::vector<placement::UnplacedDemand> unplaced;  // queued work that the last placement round left
  std::set<PoolKey> refusedPools;                   // their instance requests were refused lately
  std::map<PoolKey, std::size_t> pendingRequests;   // instances requested, without an answer yet
  std::set<std::string> partitionedZones;           // zones that seem partitioned away
  // Services on machines of those zones, whose leases are running out.
  std::vector<placement::UnplacedDemand> servicesAtRisk;
  BootHistory bootTimes{};
};

// The pool that the machine belongs to.
PoolKey poolOf(const Machine& machine);

// Whether the machine counts towards the size of its pool: booting or up.
bool countsTowardPool(const Machine& machine);

// Whether the machine takes new work: up, reconciled both ways, and without a spot interruption notice.
bool acceptsWork(const Machine& machine);

// Whether the machine is unreachable in a zone that seems partitioned away.
bool isPartitioned(const FleetSnapshot& snapshot, const Machine& machine);

}  // namespace reachhoist::fleet
