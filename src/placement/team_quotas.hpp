// Team quotas in one placement round: what each team uses, its guarantee and its limit.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "config/settings.hpp"
#include "jobs/jobs.hpp"

namespace reachhoist::placement {

// CPUs and GPUs in use.
struct TeamUsage {
  double cpus = 0;
  double gpus = 0;
};

// The usage of all teams against the quotas of the settings, which must outlive this object.
class TeamQuotas {
 public:
  explicit TeamQuotas(const config::Settings& settings) : settings_(settings) {}

  // Adds so many tasks of the given size to the team's usage.
  void add(const std::string& team, const wire::Resources& task, double tasks = 1);
  // Whether so many more tasks of the job keep its team's limit. False for an unknown team.
  bool allows(const jobs::Job& job, std::uint32_t tasks = 1) const;
  // Of so many tasks of the job, those that the limit on CPUs lets start.
  std::uint32_t tasksWithinLimit(const jobs::Job& job, std::uint32_t tasks) const;
  // Whether the team uses more CPUs than it is guaranteed.
  bool exceedsGuarantee(const std::string& team) const;
  // The same for any team with usage.
  bool anyExceedsGuarantee() const;

 private:
  TeamUsage usageOf(const std::string& team) const;

  const config::Settings& settings_;
  std::unordered_map<std::string, TeamUsage> usage_;
};

}  // namespace reachhoist::placement
