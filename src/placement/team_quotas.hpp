// Team quotas in one placement round: the usage, the guarantee and the limit of each team.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "config/settings.hpp"
#include "jobs/jobs.hpp"

namespace reachhoist::placement {

// The CPUs and GPUs that a team uses.
struct TeamUsage {
  double cpus = 0;
  double gpus = 0;
};

// Compares the usage of all teams with the quotas of the settings. The settings must outlive this object.
class TeamQuotas {
 public:
  explicit TeamQuotas(const config::Settings& settings) : settings_(settings) {}

  // Adds the given number of tasks to the team's usage.
  void add(const std::string& team, const wire::Resources& task, double taskCount = 1);
  // Whether the limit of the job's team allows `taskCount` more tasks of the job. False for an unknown team.
  bool allows(const jobs::Job& job, std::uint32_t taskCount = 1) const;
  // Returns how many of the given tasks of the job the limit of its team allows to start. None for an unknown
  // team.
  std::uint32_t tasksWithinLimit(const jobs::Job& job, std::uint32_t taskCount) const;
  // Whether the team uses more CPUs than its guarantee.
  bool exceedsGuarantee(const std::string& team) const;
  // Whether the job's team would use more CPUs than its guarantee with one more task of the job. False for a
  // team without a guarantee.
  bool wouldExceedGuarantee(const jobs::Job& job) const;
  // Whether any team uses more CPUs than its guarantee.
  bool hasTeamOverGuarantee() const;

 private:
  TeamUsage usageOf(const std::string& team) const;
  // Whether the team's usage exceeds its guarantee once the given CPUs are added.
  bool exceedsGuaranteeBy(const std::string& team, double addedCpus) const;

  const config::Settings& settings_;
  std::unordered_map<std::string, TeamUsage> usage_;
};

}  // namespace reachhoist::placement
