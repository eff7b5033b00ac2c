// Commands to the worker: launch, reap and stop.
#include "standin/world.hpp"

namespace standin {

CommandResponse Worker::handleCommands(const Json& body) {
  if (!body.contains("baton") || !body.contains("shift")) return {400, Json::object()};
  const auto token = body["baton"].get<std::uint64_t>();
  if (token < fencingToken_ || body["shift"].get<std::uint64_t>() != incarnation_) return {409, heartbeat()};
  if (token > fencingToken_) scheduleEarlyHeartbeat();
  fencingToken_ = token;
  executeCommands(body["orders"]);
  return {200, heartbeat()};
}

void Worker::executeCommands(const Json& commands) {
  for (const Json& command : commands) {
    const AttemptKey key{*wire::parseTaskId(command["load"].get<std::string>()),
                         command["try"].get<std::uint64_t>()};
    if (command["verb"] == "launch") {
      launch(key);
    } else if (command["verb"] == "reap") {
      reap(key);
    } else {
      stop(key, command.value("windDownS", 0.0));
    }
  }
  scheduleEarlyHeartbeat();
}

void Worker::launch(const AttemptKey& key) {
  if (attempts_.contains(key)) return;
  TaskAttempt attempt;
  attempt.key = key;
  const auto refuse = [&](const char* cause) {
    attempt.state = TaskState::ended;
    attempt.cause = cause;
    attempts_[key] = attempt;
  };
  const auto job = world_.workload.jobs.find(key.task.job.text);
  if (job == world_.workload.jobs.end()) return refuse("unknown");
  if (hasOpenAttempt(key.task)) return refuse("in_use");
  const wire::JobSpec& spec = job->second.spec;
  if (!spec.taskResources.fitsIn(freeCapacity())) return refuse("no_room");
  attempt.epoch = ++lastEpoch_;
  attempts_[key] = attempt;
  const double imagePullGbPerS = world_.cloud.machineType(machineType())->type.imagePullGbPerS;
  const double pullS = pulledImages_.contains(spec.image) ? 0 : spec.imageSizeGb / imagePullGbPerS;
  schedule(pullS, [this, key, epoch = attempt.epoch] { startTask(key, epoch); });
}

void Worker::reap(const AttemptKey& key) {
  const auto found = attempts_.find(key);
  if (found != attempts_.end() && found->second.ended()) attempts_.erase(found);
}

void Worker::stop(const AttemptKey& key, double gracePeriodS) {
  const auto found = attempts_.find(key);
  if (found == attempts_.end() || found->second.ended()) return;
  TaskAttempt& attempt = found->second;
  const bool saving = attempt.state == TaskState::saving;
  const bool running = attempt.state == TaskState::running;
  if (!saving && !world_.checker.isCancelled(key.task.job.text)) ++world_.counters.taskStops;
  const wire::JobSpec& spec = world_.workload.jobOf(key.task).spec;
  if (spec.kind == wire::JobKind::gang && (running || attempt.state == TaskState::waiting))
    return world_.gangs.onStop(key.task, key.attempt, gracePeriodS);
  if (running && spec.checkpointIntervalS > 0 && gracePeriodS >= spec.checkpointDurationS)
    return saveAndStop(attempt, spec.checkpointDurationS);
  if (saving && gracePeriodS != 0) return;
  if (running) world_.counters.lostRunS += world_.sim.now() - attempt.startedAtS;
  endAttempt(attempt, "halted");
}

void Worker::saveAndStop(TaskAttempt& attempt, double checkpointDurationS) {
  attempt.state = TaskState::saving;
  attempt.epoch = ++lastEpoch_;
  schedule(checkpointDurationS, [this, key = attempt.key, epoch = attempt.epoch] {
    TaskAttempt* saving = findIfCurrent(key, epoch);
    if (saving == nullptr) return;
    world_.workload.checkpointedRunS[key.task] += world_.sim.now() - saving->startedAtS;
    saving->saved = true;
    endAttempt(*saving, "halted");
  });
}

}  // namespace standin
