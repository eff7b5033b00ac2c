// Placement rules that do not need a round's state: machine eligibility, zone spread, and the jobs that
// rank above fair shares (high priority, or within their team's quota).
#include "placement/planner.hpp"

#include <algorithm>

#include "placement/round.hpp"

namespace reachhoist::placement {

bool allows(const wire::JobSpec& job, const std::string& machineType, const std::string& zone, bool spot) {
  if (spot && !job.spot) return false;
  if (job.zone && *job.zone != zone) return false;
  return job.allowsMachineType(machineType);
}

bool zoneAllows(const wire::JobSpec& job, const std::map<std::string, std::uint32_t>& placed,
                const std::string& zone) {
  if (job.oneZone) {
    for (const auto& [other, count] : placed)
      if (count > 0 && other != zone) return false;
  }
  if (job.apart) {
    const auto found = placed.find(zone);
    if (found != placed.end() && found->second >= (job.taskCount + 1) / 2) return false;
  }
  return true;
}

std::unordered_set<std::string> guaranteedJobs(const config::Settings& settings,
                                               const std::vector<const Job*>& open) {
  std::unordered_set<std::string> out;
  std::unordered_map<std::string_view, std::vector<const Job*>> byTeam;
  for (const Job* job : open) byTeam[job->spec.team].push_back(job);
  for (const config::Team& team : settings.teams) {
    if (team.cpus <= 0 && team.gpus <= 0) continue;
    const auto found = byTeam.find(team.name);
    if (found == byTeam.end()) continue;
    auto& jobs = found->second;
    std::sort(jobs.begin(), jobs.end(),
              [](const Job* a, const Job* b) { return a->acceptedMs < b->acceptedMs; });
    TeamUse sum;
    for (const Job* job : jobs) {
      const double left = job->spec.taskCount - job->completed;
      sum.cpus += job->spec.each.vcpus * left;
      sum.gpus += job->spec.each.accelerators * left;
      if (sum.cpus > team.cpus + 1e-6 || sum.gpus > team.gpus + 1e-6) break;
      out.insert(job->spec.ref.text);
    }
  }
  return out;
}

shares::RanksAbove ranksAboveShares(const config::Settings& settings, const std::vector<const Job*>& open) {
  return [guaranteed = guaranteedJobs(settings, open)](const Job& job) {
    return job.spec.priority >= wire::Priority::high || guaranteed.contains(job.spec.ref.text);
  };
}

Plan plan(const World& world) { return Round(world).run(); }

}  // namespace reachhoist::placement
