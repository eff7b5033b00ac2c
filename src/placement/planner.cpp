// Placement rules that do not need a round's state; see planner.hpp.
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

bool zoneSpreadAllows(const wire::JobSpec& job, const std::map<std::string, std::uint32_t>& placed,
                      const std::string& zone) {
  if (job.singleZone) {
    for (const auto& [other, count] : placed)
      if (count > 0 && other != zone) return false;
  }
  if (job.spreadZones) {
    const auto found = placed.find(zone);
    if (found != placed.end() && found->second >= (job.taskCount + 1) / 2) return false;
  }
  return true;
}

std::unordered_set<std::string> guaranteedJobs(const config::Settings& settings,
                                               const std::vector<const Job*>& openJobs) {
  std::unordered_set<std::string> guaranteed;
  std::unordered_map<std::string_view, std::vector<const Job*>> byTeam;
  for (const Job* job : openJobs) byTeam[job->spec.team].push_back(job);
  for (const config::Team& team : settings.teams) {
    if (team.cpus <= 0 && team.gpus <= 0) continue;
    const auto found = byTeam.find(team.name);
    if (found == byTeam.end()) continue;
    auto& jobs = found->second;
    std::sort(jobs.begin(), jobs.end(),
              [](const Job* a, const Job* b) { return a->acceptedAtMs < b->acceptedAtMs; });
    TeamUsage sum;
    for (const Job* job : jobs) {
      const double unfinished = job->spec.taskCount - job->completedCount;
      sum.cpus += job->spec.taskResources.vcpus * unfinished;
      sum.gpus += job->spec.taskResources.accelerators * unfinished;
      if (sum.cpus > team.cpus + constants::kResourceTolerance ||
          sum.gpus > team.gpus + constants::kResourceTolerance)
        break;
      guaranteed.insert(job->spec.ref.text);
    }
  }
  return guaranteed;
}

shares::RanksAbove ranksAboveShares(const config::Settings& settings,
                                    const std::vector<const Job*>& openJobs) {
  return [guaranteed = guaranteedJobs(settings, openJobs)](const Job& job) {
    return job.spec.priority >= wire::Priority::high || guaranteed.contains(job.spec.ref.text);
  };
}

PlacementPlan planPlacements(const SchedulingInput& input) { return Round(input).run(); }

}  // namespace reachhoist::placement
