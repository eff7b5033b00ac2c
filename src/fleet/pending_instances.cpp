// Pending instances, and the queued work that their free capacity does not cover.
#include "fleet/pending_instances.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_map>

#include "fleet/pool_offers.hpp"

namespace reachhoist::fleet {

using machines::MachinePhase;

namespace {

// The catalogue's boot time of the machine's type, or zero for a type that the catalogue no longer offers.
double nominalBootTimeS(const FleetSnapshot& snapshot, const Machine& machine) {
  const wire::MachineType* machineType = wire::findMachineType(snapshot.catalog, machine.machineType);
  return machineType == nullptr ? 0 : machineType->nominalBootTimeS;
}

// Claims capacity on each of the first `count` instances of `groups[index]`. The others become a group of
// their own behind it.
void claimCapacity(std::vector<PendingGroup>& groups, std::size_t index, std::size_t count,
                   const wire::Resources& claimed) {
  if (count < groups[index].count) {
    PendingGroup others = groups[index];
    others.count -= count;
    groups.insert(groups.begin() + static_cast<std::ptrdiff_t>(index) + 1, std::move(others));
    groups[index].count = count;
  }
  groups[index].free -= claimed;
}

}  // namespace

bool isStraggler(const FleetSnapshot& snapshot, const BootCohorts& cohorts, const Machine& machine) {
  if (machine.phase != MachinePhase::booting) return false;
  const auto expected = snapshot.bootTimes.expectedBootTime(
      machine.machineType, machine.zone, nominalBootTimeS(snapshot, machine), snapshot.now);
  return snapshot.now - machine.provisionedAt > expected && cohorts.lagsCohort(machine);
}

std::vector<PendingGroup> pendingInstances(const FleetSnapshot& snapshot) {
  std::vector<PendingGroup> pending;
  const BootCohorts cohorts(snapshot.machines);
  for (const Machine* machine : snapshot.machines) {
    if (machine->phase == MachinePhase::booting) {
      if (!isStraggler(snapshot, cohorts, *machine))
        pending.push_back(PendingGroup{poolOf(*machine), machine->capacity});
    } else if (machine->phase == MachinePhase::up && !machine->contact.tokenAcknowledged &&
               !machine->spotNoticeAt) {
      pending.push_back(PendingGroup{poolOf(*machine), machine->freeCapacity()});
    }
  }
  for (const auto& [key, machineType] : offeredPools(snapshot.catalog)) {
    const auto found = snapshot.pendingRequests.find(key);
    if (found != snapshot.pendingRequests.end() && found->second > 0)
      pending.push_back(PendingGroup{key, machineType->capacity, found->second});
  }
  return pending;
}

void packInto(QueuedWork& queued, std::vector<PendingGroup>& groups, std::size_t index) {
  const PendingGroup& group = groups[index];
  const wire::JobSpec& spec = queued.demand.job->spec;
  if (!placement::isEligible(spec, group.pool.machineType, group.pool.zone, group.pool.spot)) return;
  const std::uint32_t allowed = std::min(
      queued.demand.taskCount, placement::zoneSpreadAllowance(spec, queued.tasksByZone, group.pool.zone));
  const std::uint32_t tasksPerInstance = spec.taskResources.countFittingIn(group.free, allowed);
  if (tasksPerInstance == 0) return;
  const std::size_t filledInstances = std::min<std::size_t>(group.count, allowed / tasksPerInstance);
  const std::uint32_t tasksInLast = filledInstances < group.count ? allowed % tasksPerInstance : 0;
  const auto packed = static_cast<std::uint32_t>(filledInstances * tasksPerInstance) + tasksInLast;
  queued.tasksByZone[group.pool.zone] += packed;
  queued.demand.taskCount -= packed;
  claimCapacity(groups, index, filledInstances, spec.taskResources * tasksPerInstance);
  if (tasksInLast > 0) claimCapacity(groups, index + 1, 1, spec.taskResources * tasksInLast);
}

bool packIntoAny(QueuedWork& queued, std::vector<PendingGroup>& groups, std::size_t first) {
  for (std::size_t i = first; i < groups.size() && queued.demand.taskCount > 0; ++i)
    packInto(queued, groups, i);
  return queued.demand.taskCount == 0;
}

bool inScaleOutBackoff(const FleetSnapshot& snapshot, const placement::UnplacedDemand& demand) {
  return demand.job->gang.nextScaleOutAt > snapshot.now;
}

std::vector<QueuedWork> queuedWork(const FleetSnapshot& snapshot,
                                   const std::vector<placement::UnplacedDemand>& work,
                                   bool countPartitioned) {
  std::vector<QueuedWork> queue;
  std::unordered_map<std::string_view, ZoneCounts*> zoneCounts;  // of the jobs with zone constraints
  queue.reserve(work.size());
  for (const placement::UnplacedDemand& demand : work) {
    queue.push_back(QueuedWork{demand, {}});
    if (demand.job->spec.spreadZones || demand.job->spec.singleZone)
      zoneCounts[demand.job->spec.ref.text] = &queue.back().tasksByZone;
  }
  if (zoneCounts.empty()) return queue;
  for (const Machine* machine : snapshot.machines) {
    if (!countPartitioned && isPartitioned(snapshot, *machine)) continue;
    for (const machines::Attempt& attempt : machine->attempts) {
      if (!attempt.holdsCapacity()) continue;
      const auto found = zoneCounts.find(attempt.task.job.text);
      if (found != zoneCounts.end()) ++(*found->second)[machine->zone];
    }
  }
  return queue;
}

std::vector<QueuedWork> uncoveredWork(const FleetSnapshot& snapshot, std::vector<PendingGroup>& pending) {
  std::vector<QueuedWork> uncovered;
  for (QueuedWork& queued : queuedWork(snapshot, snapshot.unplaced, true)) {
    if (inScaleOutBackoff(snapshot, queued.demand)) continue;
    if (!packIntoAny(queued, pending)) uncovered.push_back(std::move(queued));
  }
  return uncovered;
}

}  // namespace reachhoist::fleet
