// Usage snapshot: what each fair-share group runs and demands over the machines that are up.
#include "shares/usage.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace reachhoist::shares {

namespace {

using machines::Attempt;
using machines::Machine;

// Machines whose room is divided: what runs on others is about to end or to move.
bool isCounted(const Machine& machine) {
  return machine.phase == machines::MachinePhase::up && !machine.faults.quarantined && !machine.spotNoticeAt;
}

Resources times(const Resources& each, double count) {
  return Resources{each.vcpus * count, each.accelerators * count, each.memoryGb * count};
}

// What no machine that is up could ever hold is asked of sizing, and can't be divided.
bool isServable(const Resources& each, const Resources& capacity) {
  return (each.vcpus <= 0 || capacity.vcpus > 0) && (each.accelerators <= 0 || capacity.accelerators > 0) &&
         (each.memoryGb <= 0 || capacity.memoryGb > 0);
}

// Arrays of one task have nothing to go on with: they wait like any work.
bool isBegunArray(const jobs::Job& job, std::uint32_t placed) {
  return job.spec.kind == wire::JobKind::array && job.spec.taskCount > 1 && (placed > 0 || job.completed > 0);
}

// CPUs that each team's limit leaves.
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

  // How many more tasks of the job the limit lets start; what is granted is not granted again.
  double take(const jobs::Job& job, double tasks) {
    const auto found = free_.find(job.spec.team);
    if (found == free_.end()) return tasks;
    double fit = std::floor(std::max(0.0, found->second) / std::max(job.spec.each.vcpus, 0.01) + 1e-6);
    if (job.isGang() && fit < tasks) fit = 0;
    fit = std::min(fit, tasks);
    found->second -= fit * job.spec.each.vcpus;
    return fit;
  }

 private:
  std::map<std::string, double, std::less<>> free_;
};

}  // namespace

bool isLeaving(const Attempt& attempt) {
  return attempt.stopRequested || attempt.phase == machines::AttemptPhase::saving;
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
  for (const Machine* machine : machines) {
    if (!isCounted(*machine)) continue;
    usage.capacity += machine->total;
    for (const Attempt& attempt : machine->attempts) {
      if (!attempt.holdsCapacity() || isLeaving(attempt)) continue;
      const auto found = usage.jobs.find(attempt.task.job.text);
      if (found == usage.jobs.end()) continue;
      ++found->second.placed;
      usage.loads[found->second.group].running += attempt.resources;
    }
  }
  TeamQuota capacity(settings, machines);
  for (const jobs::Job* job : open) {
    JobStanding& standing = usage.jobs.at(job->spec.ref.text);
    GroupLoad& load = usage.loads[standing.group];
    const bool waits = !job->failures.jobAtFault() && isServable(job->spec.each, usage.capacity);
    const double waiting = waits ? capacity.take(*job, job->waiting) : 0;
    const Resources asked = times(job->spec.each, standing.placed + waiting);
    load.demand += asked;
    if (standing.placed + waiting > 0) {
      const Resources unit = times(job->spec.each, job->isGang() ? job->spec.taskCount : 1);
      usage.units[standing.group] =
          std::max(usage.units[standing.group], dominantShare(unit, usage.capacity));
    }
    if (standing.fixed) {
      load.fixed += asked;
    } else if (isBegunArray(*job, standing.placed) && standing.placed + waiting > 0) {
      standing.keepsOne = true;
      load.fixed += job->spec.each;
    }
  }
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
