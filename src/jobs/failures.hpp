// What the failed tasks of a job show: whether the machines are to blame or the job itself.
#pragma once

#include <set>
#include <string>

#include "wire/exchange.hpp"

namespace reachhoist::jobs {

class Failures {
 public:
  using Time = wire::Time;
  using Duration = wire::Duration;

  // A task failed on the machine after it had run for so long.
  void note(const std::string& host, Duration ran);
  // Failed on so many machines that, unless it does well somewhere, the job is at fault.
  bool widespread() const;
  // The job is held to be at fault: its next trial has to wait, longer after each one.
  void blameJob(Time now);
  // Some task did well where others failed.
  void absolve();

  bool jobAtFault() const { return trials_ > 0; }
  bool failedOn(const std::string& host) const { return hosts_.contains(host); }
  std::size_t machines() const { return hosts_.size(); }
  // The longest that a task ran before it failed: one that has run for longer elsewhere does well.
  Duration longestRun() const { return longestRun_; }
  // No task may be started before.
  Time heldUntil() const { return heldUntil_; }

 private:
  std::set<std::string> hosts_;
  Duration longestRun_{};
  Time heldUntil_{};
  int trials_ = 0;  // since the job was first held to be at fault
};

}  // namespace reachhoist::jobs
