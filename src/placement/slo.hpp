// Service-level objectives (SLOs) of a job: whether the job can still meet one, and by when its waiting tasks
// must start for that.
#pragma once

#include "jobs/jobs.hpp"

namespace reachhoist::placement {

// Estimates for a job's SLOs at a given wall-clock time.
struct SloOutlook {
  bool reachable = true;           // the job can still meet an SLO
  std::int64_t latestStartMs = 0;  // wall clock; latest start of the waiting tasks for the next SLO in reach
};

// Estimates the job's outlook at `wallClockMs` (milliseconds since the epoch). An SLO counts as out of reach
// only if the job would miss it by more than `kRunTimeEstimateSlackShare` of its expected run time.
SloOutlook sloOutlook(const jobs::Job& job, const config::Settings& settings, std::int64_t wallClockMs);

}  // namespace reachhoist::placement
