#include "jobs/failures.hpp"

#include <algorithm>

#include "config/constants.hpp"

namespace reachhoist::jobs {

void FailureAttribution::note(const std::string& host, Duration ran) {
  // A job that fails everywhere must not remember every machine of a large fleet.
  if (hosts_.size() < constants::kMaxFailureHosts) hosts_.insert(host);
  longestRun_ = std::max(longestRun_, ran);
}

bool FailureAttribution::widespread() const { return hosts_.size() >= constants::kFaultyJobMachines; }

void FailureAttribution::attributeToJob(Time now) {
  // The tasks that were started together fail together: they are one trial.
  if (now < heldUntil_) return;
  const auto pause = constants::kJobErrorBackoff * (1 << std::min(trials_, constants::kMaxJobErrorDoublings));
  heldUntil_ = now + std::min<Duration>(pause, constants::kMaxJobErrorBackoff);
  ++trials_;
}

void FailureAttribution::reset() { *this = FailureAttribution{}; }

}  // namespace reachhoist::jobs
