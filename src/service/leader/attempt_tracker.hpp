// Tracks the phases of task attempts that workers report, and updates the attempts' tasks.
#pragma once

#include "service/leader/completion_records.hpp"
#include "service/leader/gang_coordinator.hpp"
#include "service/leader/leader_state.hpp"
#include "service/leader/task_failure_policy.hpp"

namespace reachhoist::service {

// Applies reported task states to attempts, and releases attempts that are proven gone.
class AttemptTracker {
 public:
  AttemptTracker(LeaderState& state, GangCoordinator& gangs, TaskFailurePolicy& failures,
                 CompletionRecords& records)
      : state_(state), context_(state.context), gangs_(gangs), failures_(failures), records_(records) {}
  AttemptTracker(const AttemptTracker&) = delete;

  // Applies the task state that the machine's worker reports for the attempt.
  void applyStatus(Machine& machine, Attempt& attempt, const wire::TaskStatus& status);
  // Marks the attempt released, because it is proven gone, and lets its task be placed again. `why` is
  // logged.
  void release(Machine& machine, Attempt& attempt, const char* why);
  // Releases and erases all attempts of the machine except those whose placement is still being written.
  void releaseAll(Machine& machine, const char* why);
  // Erases the machine's released attempts.
  static void eraseReleased(Machine& machine);

 private:
  // Changes the phase of the attempt and updates its job's count of running tasks.
  void setPhase(Attempt& attempt, AttemptPhase next);
  void applyRunning(Machine& machine, Attempt& attempt);
  void applyEnded(Machine& machine, Attempt& attempt, wire::Cause cause);
  // Returns the task to the waiting tasks unless another attempt of it holds capacity.
  void returnToWaiting(jobs::Job& job, const wire::TaskId& task);
  void complete(const wire::TaskId& task);

  LeaderState& state_;
  Context& context_;
  GangCoordinator& gangs_;
  TaskFailurePolicy& failures_;
  CompletionRecords& records_;
  bool unrecognizedStateLogged_ = false;
};

}  // namespace reachhoist::service
