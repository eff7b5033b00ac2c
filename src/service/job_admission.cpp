#include "service/job_admission.hpp"

#include <algorithm>

#include "jobs/jobs.hpp"

namespace reachhoist::service {

namespace {

using Catalog = std::vector<wire::MachineType>;

bool isOfferedInZone(const wire::MachineType& machineType, const std::optional<std::string>& zone) {
  const auto& zones = machineType.zones;
  if (!zone) return !zones.empty();
  return std::find(zones.begin(), zones.end(), *zone) != zones.end();
}

bool taskFits(const wire::JobSpec& spec, const wire::MachineType& machineType) {
  return spec.allowsMachineType(machineType.name) && spec.taskResources.fitsIn(machineType.capacity) &&
         isOfferedInZone(machineType, spec.requiredZone);
}

bool exceedsTeamLimit(const wire::JobSpec& spec, const config::Team& team) {
  // The tasks of an array can run one after another.
  const double concurrentTasks = spec.kind == wire::JobKind::array ? 1 : spec.taskCount;
  const bool exceedsCpus = team.cpusMax > 0 && spec.taskResources.vcpus * concurrentTasks >
                                                   team.cpusMax + constants::kResourceTolerance;
  const bool exceedsGpus = team.gpusMax > 0 && spec.taskResources.accelerators * concurrentTasks >
                                                   team.gpusMax + constants::kResourceTolerance;
  return exceedsCpus || exceedsGpus;
}

std::optional<std::string> rejectionReason(const wire::JobSpec& spec, const Catalog& catalog,
                                           const config::Settings& settings) {
  const config::Team* team = settings.team(spec.team);
  if (team == nullptr) return "unknown team";
  const bool fits = std::any_of(catalog.begin(), catalog.end(), [&](const wire::MachineType& machineType) {
    return taskFits(spec, machineType);
  });
  if (!fits) return "a task fits no allowed machine type";
  if (exceedsTeamLimit(spec, *team)) return "needs more than the team's limit";
  return std::nullopt;
}

void dropUnknownMachineTypes(wire::JobSpec& spec, const Catalog& catalog) {
  if (!spec.allowedMachineTypes) return;
  std::erase_if(*spec.allowedMachineTypes, [&catalog](const std::string& name) {
    return std::none_of(catalog.begin(), catalog.end(),
                        [&name](const wire::MachineType& machineType) { return machineType.name == name; });
  });
}

bool fitsStoredValue(const wire::JobSpec& spec, const config::Settings& settings) {
  jobs::Job job;
  job.spec = spec;
  const auto bytes = static_cast<double>(jobs::encodeOpen(job).dump().size());
  return bytes <= settings.stateLimits.maxValueKib * constants::kBytesPerKib * constants::kMaxValueFillShare;
}

}  // namespace

std::optional<Rejection> admit(wire::JobSpec& spec, const Catalog& catalog,
                               const config::Settings& settings) {
  if (const auto reason = rejectionReason(spec, catalog, settings))
    return Rejection{http::kUnprocessableContent, *reason};
  dropUnknownMachineTypes(spec, catalog);
  if (!fitsStoredValue(spec, settings))
    return Rejection{http::kUnprocessableContent, "too large to be stored"};
  return std::nullopt;
}

}  // namespace reachhoist::service
