// Gang scheduling: either all tasks of a gang run at the same time or none does. The tasks of one gang
// attempt share one attempt number, all their placements are durable before the first task is started, and
// the next attempt begins only when no task of the previous one can still run.
#pragma once

#include <cstdint>
#include <string>

#include "service/leader/completion_records.hpp"
#include "service/leader/leader_state.hpp"
#include "service/leader/worker_commands.hpp"

namespace reachhoist::service {

// Moves each gang through its states (jobs::GangState) as its tasks are placed, run, are lost or complete.
class GangCoordinator {
 public:
  GangCoordinator(LeaderState& state, WorkerCommands& commands, CompletionRecords& records)
      : state_(state), context_(state.context), commands_(commands), records_(records) {}
  GangCoordinator(const GangCoordinator&) = delete;

  // Takes over the attempts loaded from the records of earlier leaders. A complete gang attempt is kept
  // because its tasks can be running. A partial one can't be completed by any leader, so it is stopped.
  void adoptAttempts();
  // Begins the gang attempt with the given number: from now on its tasks' placements are reserved.
  void beginAttempt(jobs::Job& job, std::uint64_t number);
  // Whether the attempt belongs to a gang attempt whose placements are all durable.
  bool canStart(const Attempt& attempt);

  // Starts the gang's tasks if the placements of all of them have become durable.
  void onTasksRecorded(jobs::Job& job);
  // Handles a report that a task of the gang is running.
  void onTaskRunning(jobs::Job& job);
  // Handles a task attempt that was lost or ended without completing: stops the rest of the gang attempt and
  // delays the next attempt by a backoff. Does nothing for jobs that are not gangs.
  void onTaskLost(jobs::Job& job, const Attempt& attempt, const char* why);
  // Completes all tasks of the gang because one of them is reported done. Tasks whose machines were lost in
  // the meantime are not run again.
  void complete(jobs::Job& job);

  // Stops the attempt, or all tasks of its gang at once. `gracePeriodS` is the time that a task outside a
  // gang has for a checkpoint; `stopTimeLimitS` is the time until the machine is lost, in which a gang's
  // checkpoint must fit.
  void stop(Machine& machine, Attempt& attempt, double gracePeriodS, double stopTimeLimitS, const char* why);

 private:
  void setState(jobs::Job& job, jobs::GangState next, const char* why);
  // Stops all tasks of the gang at once. They get time for a checkpoint if it fits in `stopTimeLimitS`.
  void stopGang(const std::string& ref, double stopTimeLimitS, const char* why);

  LeaderState& state_;
  Context& context_;
  WorkerCommands& commands_;
  CompletionRecords& records_;
};

}  // namespace reachhoist::service
