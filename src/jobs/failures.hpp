// Failure attribution for the tasks of one job: whether failed task attempts point at the machines they ran
// on or at the job itself, and the retry backoff of a job that is held to be at fault.
#pragma once

#include <set>
#include <string>

#include "wire/exchange.hpp"

namespace reachhoist::jobs {

// The failures of one job's task attempts since the last success. Not thread-safe; owned by the job.
class FailureAttribution {
 public:
  using Time = wire::Time;
  using Duration = wire::Duration;

  // Records that a task attempt failed on the host after it had run for `ran`.
  void note(const std::string& host, Duration ran);
  // Failed on so many machines that, unless it does well somewhere, the job is at fault.
  bool widespread() const;
  // Attributes the failures to the job: its next retry waits, with exponential backoff up to a limit.
  void attributeToJob(Time now);
  // Forgets all failures: some task succeeded where others failed.
  void reset();

  bool jobAtFault() const { return trials_ > 0; }
  bool failedOn(const std::string& host) const { return hosts_.contains(host); }
  std::size_t machines() const { return hosts_.size(); }
  // The longest that a task ran before it failed: one that has run for longer elsewhere does well.
  Duration longestRun() const { return longestRun_; }
  // No task may be started before.
  Time backoffUntil() const { return heldUntil_; }

 private:
  std::set<std::string> hosts_;
  Duration longestRun_{};
  Time heldUntil_{};
  int trials_ = 0;  // since the job was first held to be at fault
};

}  // namespace reachhoist::jobs
