#include "standin/gang_tracker.hpp"

#include <algorithm>
#include <cmath>

#include "standin/world.hpp"

namespace standin {

namespace {
constexpr const char* kPeersCause = "peers";
// Time from the start of a gang that always fails until one of its tasks fails.
constexpr double kFailureDelayS = 6;
constexpr double kHungRecheckS = 0.2;
}  // namespace

double GangTracker::completedRunS(const std::string& ref, const GangAttempt& gang) const {
  const auto saved = checkpointedRunS_.find(ref);
  const double savedRunS = saved == checkpointedRunS_.end() ? 0 : saved->second;
  if (!gang.hasStarted()) return savedRunS;
  return savedRunS + (gang.isStopping() ? gang.firstStopAtS : world_.sim.now()) - gang.startedAtS;
}

void GangTracker::onTaskReady(Worker& worker, const wire::TaskId& task, std::uint64_t attempt) {
  if (world_.workload.finishedTasks.contains(task)) return worker.endGangTask(task, attempt, "done");
  GangAttempt& gang = attempts_[{task.job.text, attempt}];
  gang.members[task.index] = &worker;
  worker.setGangTaskWaiting(task, attempt);
  world_.sim.after(world_.baseSettings.workers.gangWaitS,
                   [this, &worker, task, attempt] { endIfStillWaiting(worker, task, attempt); });
  const std::uint32_t taskCount = world_.workload.jobOf(task).spec.taskCount;
  if (gang.members.size() == taskCount && !gang.hasStarted() && !gang.isFinished)
    start(worker, task, attempt);
}

// Ends the task if it still waits for its peers after the time limit of the wait.
void GangTracker::endIfStillWaiting(Worker& worker, const wire::TaskId& task, std::uint64_t attempt) {
  const GangAttempt& gang = attempts_[{task.job.text, attempt}];
  const auto member = gang.members.find(task.index);
  const bool isReplaced = member == gang.members.end() || member->second != &worker;
  if (gang.hasStarted() || gang.isFinished || isReplaced) return;
  worker.endGangTask(task, attempt, "alone");
}

void GangTracker::start(Worker& lastWorker, const wire::TaskId& lastTask, std::uint64_t attempt) {
  const AttemptKey key{lastTask.job.text, attempt};
  GangAttempt& gang = attempts_[key];
  gang.startedAtS = world_.sim.now();
  ++startCount_;
  for (const auto& [index, member] : gang.members) member->setGangTaskRunning({lastTask.job, index}, attempt);
  const JobPlan& plan = world_.workload.jobOf(lastTask);
  if (!plan.alwaysFails) return completeLater(key, plan.runS - completedRunS(key.ref, gang));
  // The task fails only some time after the start, until which all tasks run without an error.
  world_.sim.after(kFailureDelayS,
                   [&lastWorker, lastTask, attempt] { lastWorker.endGangTask(lastTask, attempt, "error"); });
}

void GangTracker::completeLater(const AttemptKey& key, double delayS) {
  world_.sim.after(delayS, [this, key] { complete(key); });
}

void GangTracker::complete(const AttemptKey& key) {
  GangAttempt& gang = attempts_[key];
  if (gang.isFinished || gang.isStopping()) return;
  // The gang makes no progress while one of its machines hangs. Worker::hang makes it fail if that lasts.
  const bool isAnyHung = std::any_of(gang.members.begin(), gang.members.end(),
                                     [](const auto& entry) { return entry.second->isHung(); });
  if (isAnyHung) return completeLater(key, kHungRecheckS);
  gang.isFinished = true;
  const wire::JobSpec& spec = world_.workload.job(key.ref).spec;
  for (std::uint32_t i = 0; i < spec.taskCount; ++i)
    world_.workload.finishedTasks.insert(wire::TaskId{spec.ref, i});
  for (const auto& [index, member] : std::map(gang.members))
    member->endGangTask({spec.ref, index}, key.attempt, "done");
  world_.users.onTaskCompleted({spec.ref, 0});
}

void GangTracker::onTaskGone(const wire::TaskId& task, std::uint64_t attempt) {
  const AttemptKey key{task.job.text, attempt};
  const auto found = attempts_.find(key);
  if (found == attempts_.end()) return;
  found->second.members.erase(task.index);
  // Before the start, the other tasks keep waiting for a replacement.
  if (found->second.hasStarted() && !found->second.isFinished) fail(key);
}

void GangTracker::fail(const AttemptKey& key) {
  GangAttempt& gang = attempts_[key];
  gang.isFinished = true;
  // The next attempt resumes from the last multiple of the checkpoint interval, counted over all attempts.
  const wire::JobSpec& spec = world_.workload.job(key.ref).spec;
  const double runS = completedRunS(key.ref, gang);
  if (spec.checkpointIntervalS > 0) {
    double& checkpointed = checkpointedRunS_[key.ref];
    checkpointed =
        std::max(checkpointed, std::floor(runS / spec.checkpointIntervalS) * spec.checkpointIntervalS);
  }
  for (const auto& [index, member] : gang.members) {
    const double delayS = world_.sim.uniform(0.5, 1) * world_.baseSettings.workers.gangStopWindowS;
    world_.sim.after(delayS, [member = member, task = wire::TaskId{spec.ref, index}, attempt = key.attempt] {
      member->endGangTask(task, attempt, kPeersCause);
    });
  }
}

void GangTracker::onStop(const wire::TaskId& task, std::uint64_t attempt, double gracePeriodS) {
  const AttemptKey key{task.job.text, attempt};
  const wire::JobSpec& spec = world_.workload.jobOf(task).spec;
  GangAttempt& gang = attempts_[key];
  Worker* worker = gang.members.at(task.index);
  const bool canSave = gang.hasStarted() && !gang.isFinished && spec.checkpointIntervalS > 0 &&
                       gracePeriodS >= spec.checkpointDurationS;
  if (!canSave) return worker->endGangTask(task, attempt, "halted");
  if (!gang.tasksWithStopCommand.insert(task.index).second) return;
  worker->setGangTaskSaving(task, attempt);
  if (!gang.isStopping()) {
    gang.firstStopAtS = world_.sim.now();
    // The checkpoint fails unless every task has received the stop command by then.
    world_.sim.after(world_.baseSettings.workers.gangStopWindowS, [this, key, taskCount = spec.taskCount] {
      const GangAttempt& current = attempts_[key];
      if (!current.isFinished && current.tasksWithStopCommand.size() < taskCount) fail(key);
    });
  }
  if (gang.tasksWithStopCommand.size() == spec.taskCount)
    world_.sim.after(spec.checkpointDurationS, [this, key] { save(key); });
}

void GangTracker::save(const AttemptKey& key) {
  GangAttempt& gang = attempts_[key];
  if (gang.isFinished) return;
  gang.isFinished = true;
  ++checkpointCount_;
  checkpointedRunS_[key.ref] = completedRunS(key.ref, gang);
  const wire::JobSpec& spec = world_.workload.job(key.ref).spec;
  for (const auto& [index, member] : std::map(gang.members))
    member->endGangTask({spec.ref, index}, key.attempt, "halted", true);
}

}  // namespace standin
