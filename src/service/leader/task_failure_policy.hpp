// Attributes task failures to the machine or to the job. A defective job fails on every machine, and a
// defective machine fails every job. The results of the same job on other machines distinguish the two, so
// failed tasks are always retried on another machine first.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "service/leader/leader_state.hpp"
#include "service/leader/machine_lifecycle.hpp"

namespace reachhoist::service {

// Suspends placement on suspect machines, quarantines machines, and slows down the retries of jobs that fail
// on every machine.
class TaskFailurePolicy {
 public:
  TaskFailurePolicy(LeaderState& state, MachineLifecycle& lifecycle)
      : state_(state), context_(state.context), lifecycle_(lifecycle) {}
  TaskFailurePolicy(const TaskFailurePolicy&) = delete;

  // Records that the task attempt has failed on the machine, and attributes the failure.
  void recordFailure(Machine& machine, const Attempt& attempt);
  // Resets the failures of jobs that failed on every machine and have succeeded since.
  void clearRecoveredJobs();
  // Quarantines and drains the machine if tasks of a job fail on it that succeed on other machines.
  void evaluateQuarantine(Machine& machine);

 private:
  // Stops counting failures of this job against machines.
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
