#include "placement/planner.hpp"

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

Plan plan(const World& world) { return Round(world).run(); }

}  // namespace reachhoist::placement
