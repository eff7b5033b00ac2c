// Service-level objectives of a job: the latest start time that still meets one, given the team's quota.
#include "placement/slo.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace reachhoist::placement {

namespace {

// How many times in a row the waiting tasks must run, given how many the team may run at once.
double sequentialRuns(const jobs::Job& job, const config::Settings& settings) {
  const config::Team* team = settings.team(job.spec.team);
  double atOnce = std::numeric_limits<double>::infinity();
  if (team != nullptr && team->cpusMax > 0 && job.spec.taskResources.vcpus > 0)
    atOnce = std::min(
        atOnce, std::floor(team->cpusMax / job.spec.taskResources.vcpus + constants::kResourceRounding));
  if (team != nullptr && team->gpusMax > 0 && job.spec.taskResources.accelerators > 0)
    atOnce = std::min(atOnce, std::floor(team->gpusMax / job.spec.taskResources.accelerators +
                                         constants::kResourceRounding));
  return std::max(1.0, std::ceil(job.waitingCount / std::max(1.0, atOnce)));
}

}  // namespace

SloOutlook sloOutlook(const jobs::Job& job, const config::Settings& settings, std::int64_t wallClockMs) {
  const double runs = sequentialRuns(job, settings);
  const double expectedRunTimeS = job.spec.expectedRunTimeS;
  // Estimates are often wrong by half: an SLO is given up only when it would be missed by that much.
  const double slackS = expectedRunTimeS * constants::kEstimateSlack;
  const double ageS = static_cast<double>(wallClockMs - job.acceptedAtMs) / 1000.0;
  double best = std::numeric_limits<double>::infinity();
  bool any = false;
  const auto consider = [&](double latestS) {
    any = true;
    if (latestS + slackS >= ageS) best = std::min(best, latestS);
  };
  bool due = false;
  for (const config::Objective& objective : settings.objectives) {
    if (objective.jobClass != job.spec.jobClass) continue;
    if (objective.kind == "wait") {
      consider(objective.withinS - expectedRunTimeS * (runs - 1));
    } else if (objective.kind == "finished") {
      consider(objective.withinS - expectedRunTimeS * runs);
    } else if (objective.kind == "deadline" && job.spec.deadlineS) {
      due = true;
      consider(*job.spec.deadlineS * (objective.deadlineFactor > 0 ? objective.deadlineFactor : 1) -
               expectedRunTimeS * runs);
    }
  }
  if (job.spec.deadlineS && !due) consider(*job.spec.deadlineS - expectedRunTimeS * runs);
  if (!any) consider(wire::toSeconds(constants::kDefaultStartSlo));
  const bool reachable = std::isfinite(best);
  return SloOutlook{reachable, job.acceptedAtMs + (reachable ? static_cast<std::int64_t>(best * 1000) : 0)};
}

}  // namespace reachhoist::placement
