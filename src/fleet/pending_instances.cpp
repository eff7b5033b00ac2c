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

}  // namespace

bool isStraggler(const FleetSnapshot& snapshot, const BootCohorts& cohorts, const Machine& machine) {
  if (machine.phase != MachinePhase::booting) return false;
  const auto expected = snapshot.bootTimes.expectedBootTime(
      machine.machineType, machine.zone, nominalBootTimeS(snapshot, machine), snapshot.now);
  return snapshot.now - machine.provisionedAt > expected && cohorts.lagsCohort(machine);
}

std::vector<PendingInstance> pendingInstances(const FleetSnapshot& snapshot) {
  std::vector<PendingInstance> pending;
  const BootCohorts cohorts(snapshot.machines);
  for (const Machine* machine : snapshot.machines) {
    if (machine->phase == MachinePhase::booting) {
      if (!isStraggler(snapshot, cohorts, *machine))
        pending.push_back(PendingInstance{poolOf(*machine), machine->capacity});
    } else if (machine->phase == MachinePhase::up && !machine->contact.tokenAcknowledged &&
               !machine->spotNoticeAt) {
      pending.push_back(PendingInstance{poolOf(*machine), machine->freeCapacity()});
    }
  }
  for (const auto& [key, machineType] : offeredPools(snapshot.catalog)) {
    const auto found = snapshot.pendingRequests.find(key);
    for (std::size_t i = 0; found != snapshot.pendingRequests.end() && i < found->second; ++i)
      pending.push_back(PendingInstance{key, machineType->capacity});
  }
  return pending;
}

void packInto(QueuedWork& queued, PendingInstance& instance) {
  const wire::JobSpec& spec = queued.demand.job->spec;
  if (!placement::isEligible(spec, instance.pool.machineType, instance.pool.zone, instance.pool.spot)) return;
  const std::uint32_t allowed = std::min(
      queued.demand.taskCount, placement::zoneSpreadAllowance(spec, queued.tasksByZone, instance.pool.zone));
  const std::uint32_t packed = spec.taskResources.countFittingIn(instance.free, allowed);
  if (packed == 0) return;
  instance.free -= spec.taskResources * packed;
  queued.tasksByZone[instance.pool.zone] += packed;
  queued.demand.taskCount -= packed;
}

bool packIntoAny(QueuedWork& queued, std::vector<PendingInstance>& instances) {
  for (PendingInstance& instance : instances) {
    if (queued.demand.taskCount == 0) break;
    packInto(queued, instance);
  }
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

std::vector<QueuedWork> uncoveredWork(const FleetSnapshot& snapshot, std::vector<PendingInstance>& pending) {
  std::vector<QueuedWork> uncovered;
  for (QueuedWork& queued : queuedWork(snapshot, snapshot.unplaced, true)) {
    if (inScaleOutBackoff(snapshot, queued.demand)) continue;
    if (!packIntoAny(queued, pending)) uncovered.push_back(std::move(queued));
  }
  return uncovered;
}

}  // namespace reachhoist::fleet
