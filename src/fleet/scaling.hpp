// The rules that extend the sizing rounds: scale-out for unplaced demand and for the reserve, scale-in of
// idle machines and consolidation.
#pragma once

#include <vector>

#include "fleet/snapshot.hpp"

namespace reachhoist::fleet {

// A scale-out: so many instances of a pool, and the gangs that wait for some of them.
struct ScaleOutRequest {
  PoolKey pool;
  int count = 0;
  std::vector<const placement::Job*> gangs;
};

// Scale-out for unplaced demand: instances for queued work that no machine, up or pending, has capacity for
// and that can't wait for the sizing rounds; a bin packing of that work decides how many. A gang gets
// instances for all of its tasks or none, and none while in scale-out backoff. Services in a partitioned zone
// count as queued before their leases expire, since a boot takes about as long as a lease.
std::vector<ScaleOutRequest> scaleOutForUnplacedDemand(const FleetSnapshot& snapshot);

// Scale-out for the reserve: on-demand instances for the services and gangs that arrive within one boot time,
// while less than the operators' reserve share of what such work uses is free. Whole instances only.
std::vector<ScaleOutRequest> scaleOutForReserve(const FleetSnapshot& snapshot);

// Scale-in of idle machines: those empty for longer than the operators' limit and not needed for the
// headroom.
std::vector<Machine*> idleScaleIn(const FleetSnapshot& snapshot);

// Consolidation: with no queued work, the least used on-demand machines whose services fit (and find their
// image) on others of the same pool. Their services move and job arrays end where they are; a few machines at
// a time, never below the headroom.
std::vector<Machine*> consolidationScaleIn(const FleetSnapshot& snapshot);

}  // namespace reachhoist::fleet
