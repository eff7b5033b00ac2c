// The worker's tasks: how they start, run and end.
#include <algorithm>

#include "standin/world.hpp"

namespace standin {

namespace {
constexpr double kFaultyHardwareRunS = 1;  // run time of a task on faulty hardware until it fails
}  // namespace

// Starts the task's process once the image has been pulled.
void Worker::startTask(const AttemptKey& key, std::uint64_t epoch) {
  TaskAttempt* attempt = findIfCurrent(key, epoch);
  if (attempt == nullptr) return;
  const JobPlan& plan = world_.workload.jobOf(key.task);
  const bool isGang = plan.spec.kind == wire::JobKind::gang;
  pulledImages_.insert(plan.spec.image);
  if (faultyHardware && isGang) return endAttempt(*attempt, "error");
  attempt->state = TaskState::running;
  attempt->startedAtS = world_.sim.now();
  world_.checker.onTaskStarted(world_.sim.now(), key.task, info_);
  scheduleEarlyHeartbeat();
  if (isGang) return world_.gangs.onTaskReady(*this, key.task, key.attempt);
  scheduleOutcome(*attempt, plan);
}

void Worker::scheduleOutcome(const TaskAttempt& attempt, const JobPlan& plan) {
  const wire::TaskId& task = attempt.key.task;
  if (world_.workload.finishedTasks.contains(task)) {
    scheduleEnd(0, attempt, "done");
  } else if (faultyHardware || plan.alwaysFails) {
    scheduleEnd(plan.alwaysFails ? plan.failsAfterS : kFaultyHardwareRunS, attempt, "error");
  } else if (plan.spec.kind == wire::JobKind::array) {
    const double runS = plan.runS + plan.extraRunS * task.index;
    scheduleCompletion(std::max(0.0, runS - world_.workload.checkpointedRunS[task]), attempt);
  }
}

void Worker::scheduleEnd(double delayS, const TaskAttempt& attempt, const std::string& cause) {
  schedule(delayS, [this, key = attempt.key, epoch = attempt.epoch, cause] {
    if (TaskAttempt* current = findIfCurrent(key, epoch)) endAttempt(*current, cause);
  });
}

void Worker::scheduleCompletion(double delayS, const TaskAttempt& attempt) {
  schedule(delayS, [this, key = attempt.key, epoch = attempt.epoch] {
    TaskAttempt* current = findIfCurrent(key, epoch);
    if (current == nullptr) return;
    world_.workload.finishedTasks.insert(key.task);
    endAttempt(*current, "done");
    world_.users.onTaskCompleted(key.task);
  });
}

// Returns the attempt, or null if it is gone or has another epoch by now.
Worker::TaskAttempt* Worker::findIfCurrent(const AttemptKey& key, std::uint64_t epoch) {
  const auto found = attempts_.find(key);
  return found == attempts_.end() || found->second.epoch != epoch ? nullptr : &found->second;
}

void Worker::setGangTaskWaiting(const wire::TaskId& task, std::uint64_t attempt) {
  setGangTaskState({task, attempt}, TaskState::waiting);
}

void Worker::setGangTaskRunning(const wire::TaskId& task, std::uint64_t attempt) {
  setGangTaskState({task, attempt}, TaskState::running);
}

void Worker::setGangTaskSaving(const wire::TaskId& task, std::uint64_t attempt) {
  setGangTaskState({task, attempt}, TaskState::saving);
}

void Worker::setGangTaskState(const AttemptKey& key, TaskState state) {
  const auto found = attempts_.find(key);
  if (found == attempts_.end() || found->second.ended()) return;
  found->second.state = state;
  scheduleEarlyHeartbeat();
}

void Worker::endGangTask(const wire::TaskId& task, std::uint64_t attempt, const std::string& cause,
                         bool saved) {
  // On a hung machine, the task ends when the machine resumes.
  schedule(0, [this, key = AttemptKey{task, attempt}, cause, saved] {
    const auto found = attempts_.find(key);
    if (found == attempts_.end() || found->second.ended()) return;
    found->second.saved = saved;
    endAttempt(found->second, cause);
  });
}

void Worker::endAttempt(TaskAttempt& attempt, const std::string& cause) {
  const AttemptKey key = attempt.key;
  const bool hadProcess = attempt.hasProcess();
  if (hadProcess) world_.checker.onTaskEnded(world_.sim.now(), key.task, host(), cause == "done");
  attempt.state = TaskState::ended;
  attempt.cause = cause;
  attempt.epoch = ++lastEpoch_;
  scheduleEarlyHeartbeat();
  if (hadProcess && world_.workload.isGang(key.task)) world_.gangs.onTaskGone(key.task, key.attempt);
}

}  // namespace standin
