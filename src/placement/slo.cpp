// The latest start that still meets a service-level objective, given the team's quota; see slo.hpp.
#include "placement/slo.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace reachhoist::placement {

namespace {

// The number of consecutive runs that the waiting tasks need, given the number of tasks that the team's quota
// allows at once.
double sequentialRunCount(const jobs::Job& job, const config::Settings& settings) {
  const config::Team* team = settings.team(job.spec.team);
  double concurrentTasks = std::numeric_limits<double>::infinity();
  if (team != nullptr && team->cpusMax > 0 && job.spec.taskResources.vcpus > 0)
    concurrentTasks = std::min(concurrentTasks, std::floor(team->cpusMax / job.spec.taskResources.vcpus +
                                                           constants::kResourceTolerance));
  if (team != nullptr && team->gpusMax > 0 && job.spec.taskResources.accelerators > 0)
    concurrentTasks = std::min(
        concurrentTasks,
        std::floor(team->gpusMax / job.spec.taskResources.accelerators + constants::kResourceTolerance));
  return std::max(1.0, std::ceil(job.waitingCount / std::max(1.0, concurrentTasks)));
}

}  // namespace

SloOutlook sloOutlook(const jobs::Job& job, const config::Settings& settings, std::int64_t wallClockMs) {
  const double runCount = sequentialRunCount(job, settings);
  const double expectedRunTimeS = job.spec.expectedRunTimeS;
  // Estimates are often wrong by half, so an SLO is given up only when the job would miss it by that much.
  const double slackS = expectedRunTimeS * constants::kRunTimeEstimateSlackShare;
  const double ageS = static_cast<double>(wallClockMs - job.acceptedAtMs) / 1000.0;
  double nextLatestStartS = std::numeric_limits<double>::infinity();
  bool hasSlo = false;
  const auto consider = [&](double latestStartS) {
    hasSlo = true;
    if (latestStartS + slackS >= ageS) nextLatestStartS = std::min(nextLatestStartS, latestStartS);
  };
  bool hasDeadlineObjective = false;
  for (const config::Objective& objective : settings.objectives) {
    if (objective.jobClass != job.spec.jobClass) continue;
    if (objective.kind == "wait") {
      consider(objective.withinS - expectedRunTimeS * (runCount - 1));
    } else if (objective.kind == "finished") {
      consider(objective.withinS - expectedRunTimeS * runCount);
    } else if (objective.kind == "deadline" && job.spec.deadlineS) {
      hasDeadlineObjective = true;
      consider(*job.spec.deadlineS * (objective.deadlineFactor > 0 ? objective.deadlineFactor : 1) -
               expectedRunTimeS * runCount);
    }
  }
  if (job.spec.deadlineS && !hasDeadlineObjective)
    consider(*job.spec.deadlineS - expectedRunTimeS * runCount);
  if (!hasSlo) consider(wire::toSeconds(constants::kDefaultStartSlo));
  const bool reachable = std::isfinite(nextLatestStartS);
  return SloOutlook{reachable,
                    job.acceptedAtMs + (reachable ? static_cast<std::int64_t>(nextLatestStartS * 1000) : 0)};
}

}  // namespace reachhoist::placement
