// Failure attribution and retry backoff.
#include "jobs/failures.hpp"

#include <algorithm>

#include "config/constants.hpp"

namespace reachhoist::jobs {

void FailureAttribution::recordFailure(const std::string& host, Duration runTime) {
  // The set is bounded, as a job that fails everywhere would fill it with every machine of a large fleet.
  if (hosts_.size() < constants::kMaxFailureHosts) hosts_.insert(host);
  longestRun_ = std::max(longestRun_, runTime);
}

bool FailureAttribution::isWidespread() const { return hosts_.size() >= constants::kJobAtFaultMachines; }

void FailureAttribution::attributeToJob(Time now) {
  // Tasks that were started together also fail together, so they count as one retry.
  if (now < backoffUntil_) return;
  const auto backoff =
      constants::kJobErrorBackoff * (1 << std::min(retries_, constants::kMaxJobErrorDoublings));
  backoffUntil_ = now + std::min<Duration>(backoff, constants::kMaxJobErrorBackoff);
  ++retries_;
}

void FailureAttribution::reset() { *this = FailureAttribution{}; }

}  // namespace reachhoist::jobs
