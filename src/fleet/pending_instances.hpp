// Pending instances, which will take work soon, and the queued work that their free capacity does not cover.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/snapshot.hpp"

namespace reachhoist::fleet {

// The number of a job's tasks per zone.
using ZoneCounts = std::map<std::string, std::uint32_t>;

// Instances of one pool that will take work soon (requested, booting, or up but not yet reconciled) and that
// have the same free capacity. Instances are grouped because there can be as many of them as tasks.
struct PendingGroup {
  PoolKey pool;
  wire::Resources free;  // of each instance: the part of its capacity that no task has claimed yet
  std::size_t count = 1;
};

// The queued tasks of a job, and the number of its placed tasks per zone, which is counted only for jobs with
// zone constraints.
struct QueuedWork {
  placement::UnplacedDemand demand;
  ZoneCounts tasksByZone;
};

// Whether a booting machine is past its expected boot time while most of its launch cohort is up. Such a
// machine possibly never comes up.
bool isStraggler(const FleetSnapshot& snapshot, const BootCohorts& cohorts, const Machine& machine);

// The instances that will take work soon: requested without an answer yet, booting, or up without having
// acknowledged their fencing token yet. Stragglers are left out, so that their work gets another instance.
std::vector<PendingGroup> pendingInstances(const FleetSnapshot& snapshot);

// Packs as many of the queued tasks into the free capacity of `groups[index]` as the job's constraints allow,
// one instance after the other. Instances that are used differently become groups of their own behind it, two
// at the most.
void packInto(QueuedWork& queued, std::vector<PendingGroup>& groups, std::size_t index);

// Packs the queued tasks into the groups in order, from `groups[first]` on. Returns whether every task found
// capacity.
bool packIntoAny(QueuedWork& queued, std::vector<PendingGroup>& groups, std::size_t first = 0);

// Whether the job is a gang for which the cloud recently had too few instances. Until its next scale-out it
// is no reason to request instances.
bool inScaleOutBackoff(const FleetSnapshot& snapshot, const placement::UnplacedDemand& demand);

// The work, with the number of each job's placed tasks per zone. Tasks on partitioned machines are counted
// only with `countPartitioned`.
std::vector<QueuedWork> queuedWork(const FleetSnapshot& snapshot,
                                   const std::vector<placement::UnplacedDemand>& work, bool countPartitioned);

// The queued work that the pending instances have no free capacity for, without the gangs in scale-out
// backoff. Claims the capacity of `pending` for the work that fits.
std::vector<QueuedWork> uncoveredWork(const FleetSnapshot& snapshot, std::vector<PendingGroup>& pending);

}  // namespace reachhoist::fleet
