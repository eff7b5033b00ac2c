// Team quotas in one placement round; see team_quotas.hpp.
#include "placement/team_quotas.hpp"

namespace reachhoist::placement {

void TeamQuotas::add(const std::string& team, const wire::Resources& task, double taskCount) {
  TeamUsage& usage = usage_[team];
  usage.cpus += task.vcpus * taskCount;
  usage.gpus += task.accelerators * taskCount;
}

TeamUsage TeamQuotas::usageOf(const std::string& team) const {
  const auto found = usage_.find(team);
  return found == usage_.end() ? TeamUsage{} : found->second;
}

bool TeamQuotas::allows(const jobs::Job& job, std::uint32_t taskCount) const {
  const config::Team* team = settings_.team(job.spec.team);
  if (team == nullptr) return false;
  if (team->cpusMax <= 0 && team->gpusMax <= 0) return true;
  const TeamUsage usage = usageOf(job.spec.team);
  const wire::Resources& task = job.spec.taskResources;
  if (team->cpusMax > 0 &&
      usage.cpus + task.vcpus * taskCount > team->cpusMax + constants::kResourceTolerance)
    return false;
  return !(team->gpusMax > 0 &&
           usage.gpus + task.accelerators * taskCount > team->gpusMax + constants::kResourceTolerance);
}

std::uint32_t TeamQuotas::tasksWithinLimit(const jobs::Job& job, std::uint32_t taskCount) const {
  const config::Team* team = settings_.team(job.spec.team);
  if (team == nullptr || team->cpusMax <= 0) return taskCount;
  const double freeCpus = team->cpusMax - usageOf(job.spec.team).cpus;
  const double fittingTasks = freeCpus / std::max(job.spec.taskResources.vcpus, constants::kMinCpuDivisor) +
                              constants::kResourceTolerance;
  return std::min(taskCount, static_cast<std::uint32_t>(std::max(0.0, fittingTasks)));
}

bool TeamQuotas::exceedsGuarantee(const std::string& name) const {
  const config::Team* team = settings_.team(name);
  return team != nullptr && team->cpus > 0 && usageOf(name).cpus > team->cpus + constants::kResourceTolerance;
}

bool TeamQuotas::hasTeamOverGuarantee() const {
  return std::any_of(usage_.begin(), usage_.end(),
                     [this](const auto& entry) { return exceedsGuarantee(entry.first); });
}

}  // namespace reachhoist::placement
