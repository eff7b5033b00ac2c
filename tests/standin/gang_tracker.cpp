#include "standin/gang_tracker.hpp"

#include <algorithm>
#include <cmath>

#include "standin/world.hpp"

namespace standin {

namespace {
constexpr const char* kPeersCause = "peers";
constexpr double kFailureDelayS = 6;  // until a task of a gang that always fails does so
constexpr double kHungRecheckS = 0.2;
}  // namespace

double GangTracker::progressS(const std::string& ref, const GangAttempt& gang) const {
  const auto saved = checkpointedS_.find(ref);
  const double beforeS = saved == checkpointedS_.end() ? 0 : saved->second;
  if (!gang.started()) return beforeS;
  return beforeS + (gang.stopping() ? gang.firstStopAt : world_.sim.now()) - gang.startedAt;
}

void GangTracker::onTaskReady(Worker& worker, const wire::TaskId& task, std::uint64_t attempt) {
  if (world_.workload.finishedTasks.contains(task)) return worker.endGangTask(task, attempt, "done");
  GangAttempt& gang = attempts_[{task.job.text, attempt}];
  gang.members[task.index] = &worker;
  worker.gangTaskWaits(task, attempt);
  world_.sim.after(world_.baseSettings.workers.gangWaitS,
                   [this, &worker, task, attempt] { endIfAlone(worker, task, attempt); });
  const std::uint32_t taskCount = world_.workload.jobOf(task).spec.taskCount;
  if (gang.members.size() == taskCount && !gang.started() && !gang.over) start(worker, task, attempt);
}

// The wait for the peers is over: a task that still waits gives up.
void GangTracker::endIfAlone(Worker& worker, const wire::TaskId& task, std::uint64_t attempt) {
  const GangAttempt& gang = attempts_[{task.job.text, attempt}];
  const auto member = gang.members.find(task.index);
  const bool replaced = member == gang.members.end() || member->second != &worker;
  if (gang.started() || gang.over || replaced) return;
  worker.endGangTask(task, attempt, "alone");
}

void GangTracker::start(Worker& lastWorker, const wire::TaskId& lastTask, std::uint64_t attempt) {
  const AttemptKey key{lastTask.job.text, attempt};
  GangAttempt& gang = attempts_[key];
  gang.startedAt = world_.sim.now();
  ++starts_;
  for (const auto& [index, member] : gang.members) member->gangTaskRuns({lastTask.job, index}, attempt);
  const JobPlan& plan = world_.workload.jobOf(lastTask);
  if (!plan.alwaysFails) return completeLater(key, plan.runS - progressS(key.ref, gang));
  // It fails a while after the start: the tasks beside the failing one have run well until then.
  world_.sim.after(kFailureDelayS,
                   [&lastWorker, lastTask, attempt] { lastWorker.endGangTask(lastTask, attempt, "error"); });
}

void GangTracker::completeLater(const AttemptKey& key, double delayS) {
  world_.sim.after(delayS, [this, key] { complete(key); });
}

void GangTracker::complete(const AttemptKey& key) {
  GangAttempt& gang = attempts_[key];
  if (gang.over || gang.stopping()) return;
  // While one of its machines hangs the gang makes no progress; if that lasts, it fails.
  const bool hung = std::any_of(gang.members.begin(), gang.members.end(),
                                [](const auto& entry) { return entry.second->hung(); });
  if (hung) return completeLater(key, kHungRecheckS);
  gang.over = true;
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
  // Before the start the other tasks keep waiting, for a replacement.
  if (found->second.started() && !found->second.over) fail(key);
}

void GangTracker::fail(const AttemptKey& key) {
  GangAttempt& gang = attempts_[key];
  gang.over = true;
  // Back to the last multiple of the checkpoint interval, counted over all attempts.
  const wire::JobSpec& spec = world_.workload.job(key.ref).spec;
  const double progress = progressS(key.ref, gang);
  if (spec.checkpointIntervalS > 0) {
    double& checkpointed = checkpointedS_[key.ref];
    checkpointed =
        std::max(checkpointed, std::floor(progress / spec.checkpointIntervalS) * spec.checkpointIntervalS);
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
  const bool canSave = gang.started() && !gang.over && spec.checkpointIntervalS > 0 &&
                       gracePeriodS >= spec.checkpointDurationS;
  if (!canSave) return worker->endGangTask(task, attempt, "halted");
  if (!gang.stopped.insert(task.index).second) return;
  worker->gangTaskSaves(task, attempt);
  if (!gang.stopping()) {
    gang.firstStopAt = world_.sim.now();
    // A task without the stop command by then makes the checkpoint fail.
    world_.sim.after(world_.baseSettings.workers.gangStopWindowS, [this, key, taskCount = spec.taskCount] {
      const GangAttempt& now = attempts_[key];
      if (!now.over && now.stopped.size() < taskCount) fail(key);
    });
  }
  if (gang.stopped.size() == spec.taskCount)
    world_.sim.after(spec.checkpointDurationS, [this, key] { save(key); });
}

void GangTracker::save(const AttemptKey& key) {
  GangAttempt& gang = attempts_[key];
  if (gang.over) return;
  gang.over = true;
  ++saves_;
  checkpointedS_[key.ref] = progressS(key.ref, gang);
  const wire::JobSpec& spec = world_.workload.job(key.ref).spec;
  for (const auto& [index, member] : std::map(gang.members))
    member->endGangTask({spec.ref, index}, key.attempt, "halted", true);
}

}  // namespace standin
