#include "service/leader/gang_coordinator.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace reachhoist::service {

using jobs::GangState;

namespace {
constexpr int kMaxBackoffDoublings = 6;

bool isAttemptInProgress(const jobs::Job& job) {
  const GangState state = job.gang.state;
  return state == GangState::reserving || state == GangState::gathering || state == GangState::running;
}
}  // namespace

void GangCoordinator::setState(jobs::Job& job, GangState next, const char* why) {
  if (job.gang.state == next) return;
  context_.logEvent(LogLevel::info, "gang",
                    {{"job", job.spec.ref.text},
                     {"from", std::string(name(job.gang.state))},
                     {"to", std::string(name(next))},
                     {"why", why}});
  job.gang.setState(next);
}

void GangCoordinator::adoptAttempts() {
  std::map<std::string, std::set<std::uint32_t>> tasksOfLatestAttempt;  // task indexes, by job
  for (auto& [host, machine] : state_.machines.all()) {
    for (const Attempt& attempt : machine.attempts) {
      jobs::Job* job = attempt.isGangMember ? state_.jobs.find(attempt.task.job.text) : nullptr;
      if (job == nullptr || attempt.number < job->gang.attemptNumber) continue;
      if (attempt.number > job->gang.attemptNumber) tasksOfLatestAttempt[attempt.task.job.text].clear();
      job->gang.attemptNumber = attempt.number;
      tasksOfLatestAttempt[attempt.task.job.text].insert(attempt.task.index);
    }
  }
  for (auto& [ref, tasks] : tasksOfLatestAttempt) {
    jobs::Job& job = *state_.jobs.find(ref);
    const bool isComplete = tasks.size() == job.spec.taskCount;
    setState(job, isComplete ? GangState::gathering : GangState::clearing, "adopted");
    state_.forEachAttempt(ref, [&](Machine& machine, Attempt& attempt) {
      if (!isComplete || attempt.number != job.gang.attemptNumber) commands_.stop(machine, attempt, 0);
    });
  }
}

void GangCoordinator::beginAttempt(jobs::Job& job, std::uint64_t number) {
  job.gang.attemptNumber = number;
  job.gang.partialScaleOuts = 0;
  setState(job, GangState::reserving, "capacity for all");
}

bool GangCoordinator::canStart(const Attempt& attempt) {
  const jobs::Job* job = state_.jobs.find(attempt.task.job.text);
  return job != nullptr && job->isOpen() && job->gang.attemptNumber == attempt.number &&
         job->gang.state == GangState::gathering;
}

void GangCoordinator::onTasksRecorded(jobs::Job& job) {
  if (job.gang.state != GangState::reserving) return;
  std::uint32_t recorded = 0;
  state_.forEachAttempt(job.spec.ref.text, [&](Machine&, Attempt& attempt) {
    if (attempt.number == job.gang.attemptNumber && attempt.phase == AttemptPhase::recorded) ++recorded;
  });
  if (recorded < job.spec.taskCount) return;
  setState(job, GangState::gathering, "all places are durable");
  state_.forEachAttempt(job.spec.ref.text,
                        [this](Machine& machine, Attempt&) { commands_.requestDirectCall(machine); });
}

void GangCoordinator::onTaskRunning(jobs::Job& job) {
  if (job.gang.state != GangState::gathering || job.runningCount < job.spec.taskCount) return;
  // job.runningCount also counts tasks of an earlier attempt and tasks that are checkpointing already, which
  // do not prove that all tasks of this attempt run.
  std::uint32_t running = 0;
  state_.forEachAttempt(job.spec.ref.text, [&](Machine&, const Attempt& attempt) {
    if (attempt.number == job.gang.attemptNumber && attempt.phase == AttemptPhase::running) ++running;
  });
  if (running < job.spec.taskCount) return;
  job.gang.consecutiveFailures = 0;
  setState(job, GangState::running, "all tasks run");
}

void GangCoordinator::onTaskLost(jobs::Job& job, const Attempt& attempt, const char* why) {
  if (!job.isGang() || !job.isOpen() || attempt.number != job.gang.attemptNumber) return;
  if (!isAttemptInProgress(job)) return;
  setState(job, GangState::clearing, why);
  ++job.gang.consecutiveFailures;
  const auto backoff =
      constants::kGangRetryBackoff * (1 << std::min(job.gang.consecutiveFailures - 1, kMaxBackoffDoublings));
  job.backoffUntil = std::max(job.backoffUntil, context_.now + std::min<std::chrono::milliseconds>(
                                                                   backoff, constants::kMaxGangRetryBackoff));
  state_.forEachAttempt(job.spec.ref.text, [this](Machine& machine, Attempt& other) {
    if (other.holdsCapacity()) commands_.stop(machine, other, 0);
  });
}

void GangCoordinator::complete(jobs::Job& job) {
  setState(job, GangState::done, "a task is done");
  for (std::uint32_t index = 0; index < job.spec.taskCount; ++index)
    job.setTaskPhase(index, jobs::TaskPhase::completed, context_.now);
  records_.allTasksCompleted(job.spec.ref.text);
  state_.requestPlacementRound();
}

void GangCoordinator::stop(Machine& machine, Attempt& attempt, double gracePeriodS, double stopTimeLimitS,
                           const char* why) {
  if (attempt.isGangMember) {
    stopGang(attempt.task.job.text, stopTimeLimitS, why);
  } else {
    commands_.stop(machine, attempt, gracePeriodS);
  }
}

void GangCoordinator::stopGang(const std::string& ref, double stopTimeLimitS, const char* why) {
  jobs::Job* job = state_.jobs.find(ref);
  if (job == nullptr || !job->isOpen() || !job->isGang()) return;
  if (!isAttemptInProgress(*job)) return;
  const double gracePeriodS = job->spec.checkpointDurationS + constants::kCheckpointGraceMarginS;
  const bool canCheckpoint = job->gang.state == GangState::running && job->spec.checkpointIntervalS > 0 &&
                             gracePeriodS < stopTimeLimitS;
  setState(*job, GangState::stopping, why);
  state_.forEachAttempt(ref, [&](Machine& machine, Attempt& attempt) {
    if (attempt.holdsCapacity()) commands_.stop(machine, attempt, canCheckpoint ? gracePeriodS : 0);
  });
}

}  // namespace reachhoist::service
