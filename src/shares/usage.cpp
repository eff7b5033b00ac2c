// Usage snapshot of the fair-share groups; see usage.hpp.
#include "shares/usage.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace reachhoist::shares {

namespace {

using machines::Attempt;
using machines::Machine;

// Whether the groups divide the machine's capacity. Work on the other machines will end or move soon.
bool isCounted(const Machine& machine) {
  return machine.phase == machines::MachinePhase::up && !machine.failures.quarantined &&
         !machine.spotNoticeAt;
}

Resources times(const Resources& task, double count) {
  return Resources{task.vcpus * count, task.accelerators * count, task.memoryGb * count};
}

// Whether the machines that are up have every resource that the task needs. Tasks that need another resource
// count only for the sizing of the fleet.
bool isServable(const Resources& task, const Resources& capacity) {
  return (task.vcpus <= 0 || capacity.vcpus > 0) && (task.accelerators <= 0 || capacity.accelerators > 0) &&
         (task.memoryGb <= 0 || capacity.memoryGb > 0);
}

// Whether the job is an array that has started. An array of one task does not count: with no further tasks to
// keep running, it waits like any other job.
bool isStartedArray(const jobs::Job& job, std::uint32_t placedCount) {
  return job.spec.kind == wire::JobKind::array && job.spec.taskCount > 1 &&
         (placedCount > 0 || job.completedCount > 0);
}

// The CPUs that the limit of each team leaves free.
class FreeTeamCpus {
 public:
  FreeTeamCpus(const config::Settings& settings, const std::vector<Machine*>& machines) {
    for (const config::Team& team : settings.teams)
      if (team.cpusMax > 0) freeCpus_[team.name] = team.cpusMax;
    if (freeCpus_.empty()) return;
    for (const Machine* machine : machines) {
      for (const Attempt& attempt : machine->attempts) {
        if (!attempt.holdsCapacity()) continue;
        if (const auto found = freeCpus_.find(attempt.team); found != freeCpus_.end())
          found->second -= attempt.resources.vcpus;
      }
    }
  }

  // Returns how many of the given tasks of the job can start within the limit, and takes their CPUs.
  double take(const jobs::Job& job, double taskCount) {
    const auto found = freeCpus_.find(job.spec.team);
    if (found == freeCpus_.end()) return taskCount;
    double fitting = std::floor(std::max(0.0, found->second) /
                                    std::max(job.spec.taskResources.vcpus, constants::kMinCpuDivisor) +
                                constants::kResourceTolerance);
    if (job.isGang() && fitting < taskCount) fitting = 0;
    fitting = std::min(fitting, taskCount);
    found->second -= fitting * job.spec.taskResources.vcpus;
    return fitting;
  }

 private:
  std::map<std::string, double, std::less<>> freeCpus_;
};

// Adds the machine's capacity and the usage of the attempts on it.
void addRunning(const Machine& machine, UsageSnapshot& usage) {
  usage.capacity += machine.capacity;
  for (const Attempt& attempt : machine.attempts) {
    if (!attempt.holdsCapacity() || isBeingStopped(attempt)) continue;
    const auto found = usage.jobs.find(attempt.task.job.text);
    if (found == usage.jobs.end()) continue;
    ++found->second.placedCount;
    usage.loads[found->second.group].running += attempt.resources;
  }
}

// Adds the running and the waiting tasks of the job to its group's demand. The snapshot must already contain
// the capacity and the placed tasks of all machines.
void addDemand(const jobs::Job& job, FreeTeamCpus& freeTeamCpus, UsageSnapshot& usage) {
  JobUsage& jobUsage = usage.jobs.at(job.spec.ref.text);
  GroupLoad& load = usage.loads[jobUsage.group];
  const bool countsWaiting =
      !job.failures.isJobAtFault() && isServable(job.spec.taskResources, usage.capacity);
  const double waiting = countsWaiting ? freeTeamCpus.take(job, job.waitingCount) : 0;
  const Resources demand = times(job.spec.taskResources, jobUsage.placedCount + waiting);
  load.demand += demand;
  if (jobUsage.placedCount + waiting > 0) {
    const Resources unit = times(job.spec.taskResources, job.isGang() ? job.spec.taskCount : 1);
    usage.unitShares[jobUsage.group] =
        std::max(usage.unitShares[jobUsage.group], dominantShare(unit, usage.capacity));
  }
  if (jobUsage.isExempt) {
    load.fixed += demand;
  } else if (isStartedArray(job, jobUsage.placedCount) && jobUsage.placedCount + waiting > 0) {
    jobUsage.isGuaranteedOneTask = true;
    load.fixed += job.spec.taskResources;
  }
}

}  // namespace

bool isBeingStopped(const Attempt& attempt) {
  return attempt.stopRequested || attempt.phase == machines::AttemptPhase::checkpointing;
}

const JobUsage* UsageSnapshot::find(std::string_view ref) const {
  const auto found = jobs.find(ref);
  return found == jobs.end() ? nullptr : &found->second;
}

UsageSnapshot takeUsageSnapshot(const Table& table, const config::Settings& settings,
                                const std::vector<Machine*>& machines,
                                const std::vector<const jobs::Job*>& openJobs,
                                const ShareExemption& isExempt) {
  UsageSnapshot usage;
  usage.loads.resize(table.groupCount());
  usage.unitShares.resize(table.groupCount());
  for (std::size_t group = 0; group < table.groupCount(); ++group)
    usage.loads[group].weight = table.weight(group);
  for (const jobs::Job* job : openJobs) {
    JobUsage jobUsage;
    jobUsage.group = table.groupOf(job->spec.team, job->spec.jobClass);
    jobUsage.isExempt = isExempt(*job);
    usage.jobs[job->spec.ref.text] = jobUsage;
  }
  for (const Machine* machine : machines)
    if (isCounted(*machine)) addRunning(*machine, usage);
  FreeTeamCpus freeTeamCpus(settings, machines);
  for (const jobs::Job* job : openJobs) addDemand(*job, freeTeamCpus, usage);
  return usage;
}

std::vector<bool> converged(const UsageSnapshot& usage, const std::vector<GroupShare>& shares) {
  constexpr double kEpsilon = 1e-9;  // as a share: covers rounding errors of sums
  std::vector<bool> isBelow;
  for (std::size_t group = 0; group < shares.size(); ++group)
    isBelow.push_back(shares[group].running < shares[group].entitled - usage.unitShares[group] - kEpsilon);
  const bool isAnyBelow = std::find(isBelow.begin(), isBelow.end(), true) != isBelow.end();
  std::vector<bool> converged;
  for (std::size_t group = 0; group < shares.size(); ++group) {
    const GroupShare& share = shares[group];
    const bool isAbove = share.running > share.entitled + usage.unitShares[group] + kEpsilon;
    converged.push_back(!isBelow[group] && !(isAbove && isAnyBelow));
  }
  return converged;
}

}  // namespace reachhoist::shares
