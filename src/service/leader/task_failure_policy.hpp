// Attributes task failures to a faulty machine or to a faulty job. A faulty job fails on every machine, a
// faulty machine fails every job; what tells them apart is how the same job does on other machines, and
// failed tasks are always retried on another machine first.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "service/leader/leader_state.hpp"
#include "service/leader/machine_lifecycle.hpp"

namespace reachhoist::service {

// Suspects and quarantines machines, and slows down the retries of jobs that fail everywhere.
class TaskFailurePolicy {
 public:
  TaskFailurePolicy(LeaderState& state, MachineLifecycle& lifecycle)
      : state_(state), context_(state.context), lifecycle_(lifecycle) {}
  TaskFailurePolicy(const TaskFailurePolicy&) = delete;

  // The task attempt has failed on the machine.
  void recordFailure(Machine& machine, const Attempt& attempt);
  // Clears jobs that were found faulty and have succeeded since.
  void clearRecoveredJobs();
  // Quarantines and drains the machine if tasks fail on it that succeed elsewhere.
  void evaluateQuarantine(Machine& machine);

 private:
  // Failures of this job count against no machine any more.
  void clearMachineSuspicion(const std::string& ref);
  // Whether, on any machine but the excluded one, a task of the job has completed or has run for longer than
  // those that failed.
  bool succeedsElsewhere(const std::string& ref,
                         std::optional<std::reference_wrapper<const Machine>> excluded) const;

  LeaderState& state_;
  Context& context_;
  MachineLifecycle& lifecycle_;
  std::set<std::string> jobsFailingEverywhere_;
};

}  // namespace reachhoist::service
