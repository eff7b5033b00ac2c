// Team quotas in one placement round; see team_quotas.hpp.
#include "placement/team_quotas.hpp"

#include <limits>

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
  return settings_.team(job.spec.team) != nullptr && tasksWithinLimit(job, taskCount) == taskCount;
}

std::uint32_t TeamQuotas::tasksWithinLimit(const jobs::Job& job, std::uint32_t taskCount) const {
  const config::Team* team = settings_.team(job.spec.team);
  if (team == nullptr) return 0;
  const TeamUsage usage = usageOf(job.spec.team);
  constexpr double kUnlimited = std::numeric_limits<double>::infinity();
  const wire::Resources unused{team->cpusMax > 0 ? team->cpusMax - usage.cpus : kUnlimited,
                               team->gpusMax > 0 ? team->gpusMax - usage.gpus : kUnlimited, kUnlimited};
  return job.spec.taskResources.countFittingIn(unused, taskCount);
}

bool TeamQuotas::exceedsGuarantee(const std::string& name) const { return exceedsGuaranteeBy(name, 0); }

bool TeamQuotas::wouldExceedGuarantee(const jobs::Job& job) const {
  return exceedsGuaranteeBy(job.spec.team, job.spec.taskResources.vcpus);
}

bool TeamQuotas::exceedsGuaranteeBy(const std::string& name, double addedCpus) const {
  const config::Team* team = settings_.team(name);
  return team != nullptr && team->cpus > 0 &&
         usageOf(name).cpus + addedCpus > team->cpus + constants::kResourceTolerance;
}

bool TeamQuotas::hasTeamOverGuarantee() const {
  return std::any_of(usage_.begin(), usage_.end(),
                     [this](const auto& entry) { return exceedsGuarantee(entry.first); });
}

}  // namespace reachhoist::placement
