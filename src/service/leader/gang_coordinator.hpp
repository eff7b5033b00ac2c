// Gang scheduling: all tasks of a gang run at the same time or none does. The tasks of one gang attempt share
// one attempt number, all their placements are durable before the first start, and the next attempt begins
// only when nothing of this one can be left.
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

  // Takes over the attempts loaded from the records of earlier leaders. A complete attempt may be running; a
  // partial one can't be completed by anybody and is stopped.
  void adoptAttempts();
  // Begins an attempt, under this attempt number, by reserving the placements of its tasks.
  void beginAttempt(jobs::Job& job, std::uint64_t number);
  // Whether the attempt belongs to a gang attempt whose placements are all durable.
  bool canStart(const Attempt& attempt);

  // Placements of the gang's tasks have become durable.
  void onTasksRecorded(jobs::Job& job);
  // A task of the gang is reported running.
  void onTaskRunning(jobs::Job& job);
  // A task attempt has ended without completing, or is lost: the rest of the gang attempt is stopped and the
  // next attempt waits for a backoff. Nothing for jobs that are no gangs.
  void onTaskLost(jobs::Job& job, const Attempt& attempt, const char* why);
  // A task of the gang is reported done. The tasks complete together: nothing is run again for the sake of
  // tasks whose machines have been lost meanwhile.
  void complete(jobs::Job& job);

  // Stops the attempt, or all tasks of its gang at once. `gracePeriodS`: time to checkpoint for a single
  // task; `stopTimeLimitS`: time that the gang has left for its checkpoint. Both in seconds.
  void stop(Machine& machine, Attempt& attempt, double gracePeriodS, double stopTimeLimitS, const char* why);

 private:
  void setState(jobs::Job& job, jobs::GangState next, const char* why);
  // All tasks are told at once, with time to checkpoint if there is so much left.
  void stopGang(const std::string& ref, double stopTimeLimitS, const char* why);

  LeaderState& state_;
  Context& context_;
  WorkerCommands& commands_;
  CompletionRecords& records_;
};

}  // namespace reachhoist::service
