// Pending instances (those that will soon take work) and the queued work that their free capacity does not
// cover.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/snapshot.hpp"

namespace reachhoist::fleet {

// Tasks per zone.
using ZoneCount = std::map<std::string, std::uint32_t>;

// An instance that will take work soon (booting, requested, or up but not yet reconciled), with the part of
// its capacity that no task has claimed yet.
struct PendingInstance {
  PoolKey pool;
  wire::Resources free;
};

// The queued tasks of a job, and how many of its tasks each zone holds (counted only for jobs with zone
// constraints).
struct QueuedWork {
  placement::UnplacedDemand demand;
  ZoneCount tasksByZone;
};

// Whether a booting machine is past its expected boot time while most of its launch cohort is up: it may
// never come up.
bool isStraggler(const FleetSnapshot& snapshot, const BootCohorts& cohorts, const Machine& machine);

// The instances that will soon take work: booting, requested without an answer yet, or up but not heard from
// both ways yet. Stragglers are left out, so that their work gets another instance.
std::vector<PendingInstance> pendingInstances(const FleetSnapshot& snapshot);

// Bin-packs as many of the queued tasks into the instance's free capacity as the job's constraints allow;
// both arguments are updated.
void packInto(QueuedWork& queued, PendingInstance& instance);

// Packs the queued tasks into the instances in order; true when every task found capacity.
bool packIntoAny(QueuedWork& queued, std::vector<PendingInstance>& instances);

// Whether the cloud lately had too few instances for the gang: until its next try it is no reason to scale
// out.
bool inScaleOutBackoff(const FleetSnapshot& snapshot, const placement::UnplacedDemand& demand);

// The work with the zones of each job's other tasks; with `withPartitioned` false, tasks on partitioned
// machines are not counted.
std::vector<QueuedWork> queuedWork(const FleetSnapshot& snapshot,
                                   const std::vector<placement::UnplacedDemand>& work, bool withPartitioned);

// The queued work that the pending instances have no free capacity for, less the gangs in scale-out backoff.
// Claims the capacity of `pending` for the work that it covers.
std::vector<QueuedWork> uncoveredWork(const FleetSnapshot& snapshot, std::vector<PendingInstance>& pending);

}  // namespace reachhoist::fleet
