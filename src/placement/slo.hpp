// Service-level objectives (SLOs) of a job: whether one can still be met, and by when its waiting tasks
// must start for that.
#pragma once

#include "jobs/jobs.hpp"

namespace reachhoist::placement {

// Where a job stands against its SLOs at a given wall-clock time.
struct SloOutlook {
  bool reachable = true;           // some SLO can still be met
  std::int64_t latestStartMs = 0;  // time of day by which waiting tasks must start for the next such SLO
};

// The job's outlook at `wallClockMs` (milliseconds since the epoch). Estimates may be off by
// `kRunTimeEstimateSlackShare` of the expected run time before an SLO is given up. Never fails.
SloOutlook sloOutlook(const jobs::Job& job, const config::Settings& settings, std::int64_t wallClockMs);

}  // namespace reachhoist::placement
