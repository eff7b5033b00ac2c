// Autoscaling rules beside the sizing rounds: scale-out for unplaced demand and for the reserve, scale-in of
// idle machines, and consolidation.
#pragma once

#include <vector>

#include "fleet/snapshot.hpp"

namespace reachhoist::fleet {

// A request for `count` instances of a pool, with the gangs that wait for some of them.
struct ScaleOutRequest {
  PoolKey pool;
  int count = 0;
  std::vector<const placement::Job*> gangs;
};

// Scale-out for unplaced demand: instances for queued work that cannot wait for the sizing rounds and that
// fits on no machine, up or pending. Bin packing of that work determines their number. A gang gets instances
// for all of its tasks or for none, and for none during its scale-out backoff. Services in a partitioned zone
// count as queued before their leases expire, since a boot takes about as long as a lease.
std::vector<ScaleOutRequest> scaleOutForUnplacedDemand(const FleetSnapshot& snapshot);

// Scale-out for the reserve: on-demand instances for the services and gangs that arrive within one boot time.
// The reserve is the operators' reserve share of the vCPUs that such work uses. A gap smaller than an
// instance is left open.
std::vector<ScaleOutRequest> scaleOutForReserve(const FleetSnapshot& snapshot);

// Scale-in of idle machines: those that have been empty for the operators' limit and that the headroom does
// not need.
std::vector<Machine*> idleScaleIn(const FleetSnapshot& snapshot);

// Consolidation: the least used on-demand machines whose services fit on others of the same pool that have
// their images. There are none while work is queued. The services move, and job array tasks run to their end.
// Only a few machines are consolidated at a time, and the headroom is kept.
std::vector<Machine*> consolidationScaleIn(const FleetSnapshot& snapshot);

}  // namespace reachhoist::fleet
