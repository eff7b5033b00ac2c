// Pending instances, the pools on offer and the queued work that pending capacity does not cover.
#include "fleet/pending_instances.hpp"

#include <string_view>
#include <unordered_map>

namespace reachhoist::fleet {

using machines::MachinePhase;

double hourlyPrice(const wire::MachineType& machineType, bool spot) {
  return spot ? machineType.marketPrice : machineType.rate;
}

bool countsTowardPool(const Machine& machine) {
  return machine.phase == MachinePhase::booting || machine.phase == MachinePhase::up;
}

bool acceptsWork(const Machine& machine) {
  return machine.phase == MachinePhase::up && machine.contact.tokenAcknowledged && !machine.spotNoticeAt;
}

std::vector<PoolOffer> offeredPools(const std::vector<wire::MachineType>& catalog) {
  std::vector<PoolOffer> out;
  for (const wire::MachineType& machineType : catalog) {
    for (const std::string& zone : machineType.zones) {
      out.push_back({PoolKey{machineType.label, zone, false}, &machineType});
      out.push_back({PoolKey{machineType.label, zone, true}, &machineType});
    }
  }
  return out;
}

namespace {

// The catalogue's boot time of the machine's type; zero for a type that the catalogue no longer offers.
double catalogBootSeconds(const FleetWorld& world, const Machine& machine) {
  double bootS = 0;
  for (const wire::MachineType& machineType : world.catalog)
    if (machineType.label == machine.machineType) bootS = machineType.bootS;
  return bootS;
}

}  // namespace

bool isStraggler(const FleetWorld& world, const BootCohorts& cohorts, const Machine& machine) {
  if (machine.phase != MachinePhase::booting) return false;
  const auto expected = world.bootTimes.expectedBootTime(machine.machineType, machine.zone,
                                                         catalogBootSeconds(world, machine), world.now);
  return world.now - machine.provisionedAt > expected && cohorts.lagsCohort(machine);
}

std::vector<PendingInstance> pendingInstances(const FleetWorld& world) {
  std::vector<PendingInstance> out;
  const BootCohorts cohorts(world.machines);
  for (const Machine* machine : world.machines) {
    if (machine->phase == MachinePhase::booting) {
      if (!isStraggler(world, cohorts, *machine))
        out.push_back(PendingInstance{poolOf(*machine), machine->total});
    } else if (machine->phase == MachinePhase::up && !machine->contact.tokenAcknowledged &&
               !machine->spotNoticeAt) {
      out.push_back(PendingInstance{poolOf(*machine), machine->freeCapacity()});
    }
  }
  for (const auto& [key, machineType] : offeredPools(world.catalog)) {
    const auto found = world.pending.find(key);
    for (std::size_t i = 0; found != world.pending.end() && i < found->second; ++i)
      out.push_back(PendingInstance{key, machineType->capacity});
  }
  return out;
}

void packInto(QueuedWork& queued, PendingInstance& instance) {
  const wire::JobSpec& spec = queued.unmet.job->spec;
  if (!placement::isEligible(spec, instance.pool.machineType, instance.pool.zone, instance.pool.spot)) return;
  while (queued.unmet.tasks > 0 && spec.each.fitsIn(instance.free) &&
         placement::zoneSpreadAllows(spec, queued.byZone, instance.pool.zone)) {
    instance.free -= spec.each;
    ++queued.byZone[instance.pool.zone];
    --queued.unmet.tasks;
  }
}

bool packIntoAny(QueuedWork& queued, std::vector<PendingInstance>& instances) {
  for (PendingInstance& instance : instances) {
    if (queued.unmet.tasks == 0) break;
    packInto(queued, instance);
  }
  return queued.unmet.tasks == 0;
}

bool isPartitioned(const FleetWorld& world, const Machine& machine) {
  return machine.contact.unreachable && world.cut.contains(machine.zone);
}

bool inScaleOutBackoff(const FleetWorld& world, const placement::UnplacedDemand& unmet) {
  return unmet.job->gang.nextScaleOut > world.now;
}

std::vector<QueuedWork> queuedWork(const FleetWorld& world,
                                   const std::vector<placement::UnplacedDemand>& work, bool withPartitioned) {
  std::vector<QueuedWork> out;
  std::unordered_map<std::string_view, ZoneCount*> zoned;
  out.reserve(work.size());
  for (const placement::UnplacedDemand& unmet : work) {
    out.push_back(QueuedWork{unmet, {}});
    if (unmet.job->spec.apart || unmet.job->spec.oneZone)
      zoned[unmet.job->spec.ref.text] = &out.back().byZone;
  }
  if (zoned.empty()) return out;
  for (const Machine* machine : world.machines) {
    if (!withPartitioned && isPartitioned(world, *machine)) continue;
    for (const machines::Attempt& attempt : machine->attempts) {
      if (!attempt.holdsCapacity()) continue;
      const auto found = zoned.find(attempt.task.job.text);
      if (found != zoned.end()) ++(*found->second)[machine->zone];
    }
  }
  return out;
}

std::vector<QueuedWork> uncoveredWork(const FleetWorld& world, std::vector<PendingInstance>& pending) {
  std::vector<QueuedWork> out;
  for (QueuedWork& queued : queuedWork(world, world.unmet, true)) {
    if (inScaleOutBackoff(world, queued.unmet)) continue;
    if (!packIntoAny(queued, pending)) out.push_back(std::move(queued));
  }
  return out;
}

}  // namespace reachhoist::fleet
