// A snapshot of the fleet, on which scaling decisions are based.
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

// The fleet, the demand and the state of the pools at one time. It refers to settings, catalogue, machines
// and jobs that it does not own.
struct FleetSnapshot {
  const config::Settings& settings;
  const std::vector<wire::MachineType>& catalog;
  Time now{};
  std::int64_t wallClockMs = 0;  // since the epoch
  std::vector<Machine*> machines;
  std::vector<placement::UnplacedDemand>
      unplaced;                                    // queued work that the last placement round has not placed
  std::set<PoolKey> refusedPools;                  // pools that have recently refused an instance request
  std::map<PoolKey, std::size_t> pendingRequests;  // requested instances, without an answer yet
  std::set<std::string> partitionedZones;          // zones that count as partitioned
  // Services on machines of those zones, whose worker leases are about to expire.
  std::vector<placement::UnplacedDemand> servicesAtRisk;
  BootHistory bootTimes{};
};

PoolKey poolOf(const Machine& machine);

// Whether the machine counts towards the size of its pool: booting or up.
bool countsTowardPool(const Machine& machine);

// Whether the machine takes new work: it is up, has acknowledged its fencing token, and has no spot
// notice.
bool acceptsWork(const Machine& machine);

// Whether the machine is unreachable in a partitioned zone.
bool isPartitioned(const FleetSnapshot& snapshot, const Machine& machine);

}  // namespace reachhoist::fleet
