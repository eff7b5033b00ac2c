#include "service/leader/attempt_tracker.hpp"

#include <utility>

namespace reachhoist::service {

void AttemptTracker::setPhase(Attempt& attempt, AttemptPhase next) {
  const bool wasRunning = attempt.isExecuting();
  attempt.setPhase(next, context_.now);
  const bool isRunning = attempt.isExecuting();
  if (wasRunning == isRunning) return;
  jobs::Job* job = state_.jobs.find(attempt.task.job.text);
  if (job == nullptr || job->tasks.empty()) return;
  if (isRunning) {
    ++job->runningCount;
  } else if (job->runningCount > 0) {
    --job->runningCount;
  }
}

void AttemptTracker::applyStatus(Machine& machine, Attempt& attempt, const wire::TaskStatus& status) {
  attempt.incarnation = machine.incarnation;
  switch (status.state) {
    case wire::TaskState::unrecognized:
      // The state is from a later protocol version. Whatever it means, the task is on the machine.
      if (!std::exchange(unrecognizedStateLogged_, true))
        context_.logEvent(LogLevel::info, "unknown_state",
                          {{"task", attempt.task.str()}, {"machine", machine.host.text}});
      if (attempt.phase == AttemptPhase::recorded) setPhase(attempt, AttemptPhase::pulling);
      return;
    case wire::TaskState::pulling:
    case wire::TaskState::waiting:
      return setPhase(attempt, AttemptPhase::pulling);
    case wire::TaskState::running:
      return applyRunning(machine, attempt);
    case wire::TaskState::checkpointing:
      return setPhase(attempt, AttemptPhase::checkpointing);
    case wire::TaskState::ended:
      return applyEnded(machine, attempt, status.cause);
  }
}

void AttemptTracker::applyRunning(Machine& machine, Attempt& attempt) {
  if (attempt.phase != AttemptPhase::running && context_.isLogged(LogLevel::debug))
    context_.logEvent(LogLevel::debug, "running",
                      {{"task", attempt.task.str()},
                       {"machine", machine.host.text},
                       {"after_s", wire::toSeconds(context_.now - attempt.placedAt)}});
  setPhase(attempt, AttemptPhase::running);
  if (!attempt.image.empty()) machine.recordImage(attempt.image, attempt.imageSizeGb);
  if (!attempt.isGangMember) return;
  if (jobs::Job* job = state_.jobs.find(attempt.task.job.text); job != nullptr && job->isOpen())
    gangs_.onTaskRunning(*job);
}

void AttemptTracker::applyEnded(Machine& machine, Attempt& attempt, wire::Cause cause) {
  if (attempt.phase == AttemptPhase::ended) return;
  state_.requestPlacementRound();
  const bool wasPlaced = attempt.phase != AttemptPhase::released;
  setPhase(attempt, AttemptPhase::ended);
  attempt.cause = cause;
  if (!wasPlaced) return;
  jobs::Job* job = state_.jobs.find(attempt.task.job.text);
  const bool isTracked = job != nullptr && job->isOpen() && attempt.task.index < job->tasks.size();
  if (cause == wire::Cause::done && !attempt.isService) {
    machine.failures.clearSuspicion();
    if (isTracked) complete(attempt.task);
    return;
  }
  if (cause == wire::Cause::error || cause == wire::Cause::unknown) failures_.recordFailure(machine, attempt);
  if (context_.isLogged(LogLevel::debug))
    context_.logEvent(
        LogLevel::debug, "ended",
        {{"task", attempt.task.str()}, {"machine", machine.host.text}, {"cause", static_cast<int>(cause)}});
  if (!isTracked) return;
  returnToWaiting(*job, attempt.task);
  gangs_.onTaskLost(*job, attempt, "a task ended");
}

void AttemptTracker::returnToWaiting(jobs::Job& job, const wire::TaskId& task) {
  state_.requestPlacementRound();
  if (job.tasks[task.index] != jobs::TaskPhase::placed) return;
  // Placement records are cleaned up lazily: after a change of leader two of them can name the same task, and
  // the end of the stale attempt does not end the one that runs.
  for (const auto& [host, machine] : state_.machines.all()) {
    for (const Attempt& other : machine.attempts)
      if (other.holdsCapacity() && other.task == task) return;
  }
  job.setTaskPhase(task.index, jobs::TaskPhase::waiting, context_.now);
}

void AttemptTracker::release(Machine& machine, Attempt& attempt, const char* why) {
  if (attempt.phase == AttemptPhase::released) return;
  const bool wasEnded = attempt.phase == AttemptPhase::ended;
  setPhase(attempt, AttemptPhase::released);
  state_.requestPlacementRound();
  if (wasEnded) return;  // applyEnded() has updated the task already
  jobs::Job* job = state_.jobs.find(attempt.task.job.text);
  if (job == nullptr || !job->isOpen() || attempt.task.index >= job->tasks.size()) return;
  context_.logEvent(LogLevel::info, "attempt_freed",
                    {{"task", attempt.task.str()}, {"machine", machine.host.text}, {"why", why}});
  returnToWaiting(*job, attempt.task);
  gangs_.onTaskLost(*job, attempt, why);
}

void AttemptTracker::releaseAll(Machine& machine, const char* why) {
  for (Attempt& attempt : machine.attempts) {
    // An attempt whose placement is being written has never been started; the outcome of the transaction
    // decides whether it is released.
    if (attempt.phase != AttemptPhase::planned) release(machine, attempt, why);
  }
  eraseReleased(machine);
}

void AttemptTracker::eraseReleased(Machine& machine) {
  std::erase_if(machine.attempts,
                [](const Attempt& attempt) { return attempt.phase == AttemptPhase::released; });
}

void AttemptTracker::complete(const wire::TaskId& task) {
  jobs::Job& job = *state_.jobs.find(task.job.text);
  if (job.tasks[task.index] == jobs::TaskPhase::completed) return;
  if (job.isGang()) return gangs_.complete(job);
  job.setTaskPhase(task.index, jobs::TaskPhase::completed, context_.now);
  if (job.failures.isJobAtFault()) job.failures.reset();
  records_.taskCompleted(task);
  state_.requestPlacementRound();
}

}  // namespace reachhoist::service
