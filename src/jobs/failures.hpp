// Failure attribution for the tasks of one job: whether failed task attempts point at the machines they ran
// on or at the job itself, and the retry backoff of a job that is at fault.
#pragma once

#include <set>
#include <string>

#include "wire/exchange.hpp"

namespace reachhoist::jobs {

// The failures of one job's task attempts since the last success. Not thread-safe; a member of its job.
class FailureAttribution {
 public:
  using Time = wire::Time;
  using Duration = wire::Duration;

  // Records that a task attempt failed on the host after it had run for `ran`.
  void recordFailure(const std::string& host, Duration ran);
  // Whether tasks failed on so many machines that the job is at fault unless it succeeds elsewhere.
  bool isWidespread() const;
  // Attributes the failures to the job: its next retry waits, with exponential backoff up to a limit.
  void attributeToJob(Time now);
  // Forgets all failures: some task succeeded where others failed.
  void reset();

  // Whether the failures are attributed to the job.
  bool isJobAtFault() const { return retries_ > 0; }
  // Whether a task of the job failed on the host.
  bool hasFailedOn(const std::string& host) const { return hosts_.contains(host); }
  // Distinct machines that tasks failed on, up to `kMaxFailureHosts`.
  std::size_t failedMachineCount() const { return hosts_.size(); }
  // The longest run time of a failed attempt. An attempt that has run for longer counts as a success.
  Duration longestRun() const { return longestRun_; }
  // No task of the job may be started before this time.
  Time backoffUntil() const { return backoffUntil_; }

 private:
  std::set<std::string> hosts_;
  Duration longestRun_{};
  Time backoffUntil_{};
  int retries_ = 0;  // since the failures were first attributed to the job
};

}  // namespace reachhoist::jobs
