// Failure attribution for the tasks of one job: whether the job itself or the machines are at fault when task
// attempts fail, and the retry backoff of a job that is at fault.
#pragma once

#include <set>
#include <string>

#include "wire/exchange.hpp"

namespace reachhoist::jobs {

// The failures of one job's task attempts since the last success. A member of its job, not thread-safe.
class FailureAttribution {
 public:
  using Time = wire::Time;
  using Duration = wire::Duration;

  // Records that a task attempt failed on the host after it had run for `runTime`.
  void recordFailure(const std::string& host, Duration runTime);
  // Whether tasks have failed on so many machines that the job is at fault, unless it succeeds elsewhere.
  bool isWidespread() const;
  // Attributes the failures to the job and delays its next retry with a bounded exponential backoff.
  void attributeToJob(Time now);
  // Clears all failures, after some task has succeeded where others failed.
  void reset();

  // Whether the failures are attributed to the job.
  bool isJobAtFault() const { return retries_ > 0; }
  // Whether a task of the job has failed on the host.
  bool hasFailedOn(const std::string& host) const { return hosts_.contains(host); }
  // The number of machines that tasks have failed on, up to `kMaxFailureHosts`.
  std::size_t failedMachineCount() const { return hosts_.size(); }
  // The longest run time of a failed attempt. An attempt that has run for longer counts as a success.
  Duration longestRun() const { return longestRun_; }
  // The job's tasks are not started before this time.
  Time backoffUntil() const { return backoffUntil_; }

 private:
  std::set<std::string> hosts_;
  Duration longestRun_{};
  Time backoffUntil_{};
  int retries_ = 0;  // retries since the failures were first attributed to the job
};

}  // namespace reachhoist::jobs
