// Which aim a job can still meet, and when its waiting tasks must start for that.
#pragma once

#include "jobs/jobs.hpp"

namespace reachhoist::placement {

struct Call {
  bool reachable = true;           // some aim can still be met
  std::int64_t latestStartMs = 0;  // time of day by which waiting tasks must start for the next such aim
};

Call nextCall(const jobs::Job& job, const config::Settings& settings, std::int64_t wallMs);

}  // namespace reachhoist::placement
