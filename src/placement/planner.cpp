// Placement rules that do not depend on the state of a round; see planner.hpp.
#include "placement/planner.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_map>

#include "placement/round.hpp"

namespace reachhoist::placement {

bool isEligible(const wire::JobSpec& job, const std::string& machineType, const std::string& zone,
                bool spot) {
  if (spot && !job.allowsSpot) return false;
  if (job.requiredZone && *job.requiredZone != zone) return false;
  return job.allowsMachineType(machineType);
}

std::uint32_t zoneSpreadAllowance(const wire::JobSpec& job,
                                  const std::map<std::string, std::uint32_t>& placedByZone,
                                  const std::string& zone) {
  if (job.singleZone) {
    for (const auto& [placedZone, count] : placedByZone)
      if (count > 0 && placedZone != zone) return 0;
  }
  if (!job.spreadZones) return job.taskCount;
  const std::uint32_t maxInZone = job.taskCount / 2 + job.taskCount % 2;
  const auto found = placedByZone.find(zone);
  return found == placedByZone.end() ? maxInZone : maxInZone - std::min(found->second, maxInZone);
}

bool zoneSpreadAllows(const wire::JobSpec& job, const std::map<std::string, std::uint32_t>& placedByZone,
                      const std::string& zone) {
  return zoneSpreadAllowance(job, placedByZone, zone) > 0;
}

std::unordered_set<std::string> guaranteedJobs(const config::Settings& settings,
                                               const std::vector<const Job*>& openJobs) {
  std::unordered_set<std::string> guaranteed;
  std::unordered_map<std::string_view, std::vector<const Job*>> jobsByTeam;
  for (const Job* job : openJobs) jobsByTeam[job->spec.team].push_back(job);
  for (const config::Team& team : settings.teams) {
    if (team.cpus <= 0 && team.gpus <= 0) continue;
    const auto found = jobsByTeam.find(team.name);
    if (found == jobsByTeam.end()) continue;
    auto& jobs = found->second;
    std::sort(jobs.begin(), jobs.end(),
              [](const Job* a, const Job* b) { return a->acceptedAtMs < b->acceptedAtMs; });
    TeamUsage usage;
    for (const Job* job : jobs) {
      const double unfinishedCount = job->spec.taskCount - job->completedCount;
      usage.cpus += job->spec.taskResources.vcpus * unfinishedCount;
      usage.gpus += job->spec.taskResources.accelerators * unfinishedCount;
      if (usage.cpus > team.cpus + constants::kResourceTolerance ||
          usage.gpus > team.gpus + constants::kResourceTolerance)
        break;
      guaranteed.insert(job->spec.ref.text);
    }
  }
  return guaranteed;
}

shares::ShareExemption shareExemption(const config::Settings& settings,
                                      const std::vector<const Job*>& openJobs) {
  return [guaranteed = guaranteedJobs(settings, openJobs)](const Job& job) {
    return job.spec.priority >= wire::Priority::high || guaranteed.contains(job.spec.ref.text);
  };
}

PlacementPlan planPlacements(const SchedulingInput& input) { return Round(input).run(); }

}  // namespace reachhoist::placement
