// Usage snapshot: what each fair-share group runs and demands over the machines that are up.
#include "shares/usage.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace reachhoist::shares {

namespace {

using machines::Attempt;
using machines::Machine;

// Machines whose capacity is divided. Work on the others is about to end or to be moved.
bool isCounted(const Machine& machine) {
  return machine.phase == machines::MachinePhase::up && !machine.faults.quarantined && !machine.spotNoticeAt;
}

Resources times(const Resources& each, double count) {
  return Resources{each.vcpus * count, each.accelerators * count, each.memoryGb * count};
}

// Whether the machines that are up have the resources at all. What they cannot run only counts for sizing.
bool isServable(const Resources& each, const Resources& capacity) {
  return (each.vcpus <= 0 || capacity.vcpus > 0) && (each.accelerators <= 0 || capacity.accelerators > 0) &&
         (each.memoryGb <= 0 || capacity.memoryGb > 0);
}

// Arrays of one task have no further tasks to keep running: they wait like any other job.
bool isStartedArray(const jobs::Job& job, std::uint32_t placed) {
  return job.spec.kind == wire::JobKind::array && job.spec.taskCount > 1 &&
         (placed > 0 || job.completedCount > 0);
}

// CPUs that each team's limit leaves free.
class TeamQuota {
 public:
  TeamQuota(const config::Settings& settings, const std::vector<Machine*>& machines) {
    for (const config::Team& team : settings.teams)
      if (team.cpusMax > 0) free_[team.name] = team.cpusMax;
    if (free_.empty()) return;
    for (const Machine* machine : machines) {
      for (const Attempt& attempt : machine->attempts) {
        if (!attempt.holdsCapacity()) continue;
        if (const auto found = free_.find(attempt.team); found != free_.end())
          found->second -= attempt.resources.vcpus;
      }
    }
  }

  // Of so many tasks of the job, those that the limit lets start. Their CPUs are not free any more.
  double take(const jobs::Job& job, double tasks) {
    const auto found = free_.find(job.spec.team);
    if (found == free_.end()) return tasks;
    double fit = std::floor(std::max(0.0, found->second) /
                                std::max(job.spec.taskResources.vcpus, constants::kMinCpuDivisor) +
                            constants::kResourceTolerance);
    if (job.isGang() && fit < tasks) fit = 0;
    fit = std::min(fit, tasks);
    found->second -= fit * job.spec.taskResources.vcpus;
    return fit;
  }

 private:
  std::map<std::string, double, std::less<>> free_;
};

// Adds the machine's capacity and what runs on it.
void addRunning(const Machine& machine, UsageSnapshot& usage) {
  usage.capacity += machine.capacity;
  for (const Attempt& attempt : machine.attempts) {
    if (!attempt.holdsCapacity() || isLeaving(attempt)) continue;
    const auto found = usage.jobs.find(attempt.task.job.text);
    if (found == usage.jobs.end()) continue;
    ++found->second.placed;
    usage.loads[found->second.group].running += attempt.resources;
  }
}

// Adds what the job runs and waits for to its group's demand. The capacity must be complete.
void addDemand(const jobs::Job& job, TeamQuota& quota, UsageSnapshot& usage) {
  JobStanding& standing = usage.jobs.at(job.spec.ref.text);
  GroupLoad& load = usage.loads[standing.group];
  const bool counts = !job.failures.isJobAtFault() && isServable(job.spec.taskResources, usage.capacity);
  const double waiting = counts ? quota.take(job, job.waitingCount) : 0;
  const Resources demand = times(job.spec.taskResources, standing.placed + waiting);
  load.demand += demand;
  if (standing.placed + waiting > 0) {
    const Resources unit = times(job.spec.taskResources, job.isGang() ? job.spec.taskCount : 1);
    usage.units[standing.group] = std::max(usage.units[standing.group], dominantShare(unit, usage.capacity));
  }
  if (standing.fixed) {
    load.fixed += demand;
  } else if (isStartedArray(job, standing.placed) && standing.placed + waiting > 0) {
    standing.keepsOne = true;
    load.fixed += job.spec.taskResources;
  }
}

}  // namespace

bool isLeaving(const Attempt& attempt) {
  return attempt.stopRequested || attempt.phase == machines::AttemptPhase::checkpointing;
}

const JobStanding* UsageSnapshot::find(std::string_view ref) const {
  const auto found = jobs.find(ref);
  return found == jobs.end() ? nullptr : &found->second;
}

UsageSnapshot takeUsageSnapshot(const Table& table, const config::Settings& settings,
                                const std::vector<Machine*>& machines,
                                const std::vector<const jobs::Job*>& open, const RanksAbove& ranksAbove) {
  UsageSnapshot usage;
  usage.loads.resize(table.groups());
  usage.units.resize(table.groups());
  for (std::size_t group = 0; group < table.groups(); ++group)
    usage.loads[group].weight = table.weight(group);
  for (const jobs::Job* job : open) {
    JobStanding standing;
    standing.group = table.groupOf(job->spec.team, job->spec.jobClass);
    standing.fixed = ranksAbove(*job);
    usage.jobs[job->spec.ref.text] = standing;
  }
  for (const Machine* machine : machines)
    if (isCounted(*machine)) addRunning(*machine, usage);
  TeamQuota quota(settings, machines);
  for (const jobs::Job* job : open) addDemand(*job, quota, usage);
  return usage;
}

std::vector<bool> converged(const UsageSnapshot& usage, const std::vector<GroupShare>& shares) {
  constexpr double kEpsilon = 1e-9;  // of a share: rounding of sums
  std::vector<bool> lacks;
  for (std::size_t group = 0; group < shares.size(); ++group)
    lacks.push_back(shares[group].running < shares[group].entitled - usage.units[group] - kEpsilon);
  const bool anyLacks = std::find(lacks.begin(), lacks.end(), true) != lacks.end();
  std::vector<bool> out;
  for (std::size_t group = 0; group < shares.size(); ++group) {
    const GroupShare& share = shares[group];
    const bool exceeds = share.running > share.entitled + usage.units[group] + kEpsilon;
    out.push_back(!lacks[group] && !(exceeds && anyLacks));
  }
  return out;
}

}  // namespace reachhoist::shares
