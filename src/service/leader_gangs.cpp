// Gangs: all tasks of an attempt run at the same time or none does. One number for the whole attempt, all
// places durable before the first start, and the next attempt only once nothing of this one may be left.
#include <algorithm>

#include "service/leader.hpp"

namespace reachhoist::service {

using jobs::GangState;

void Leader::forEachAttempt(const std::string& ref, const std::function<void(Machine&, Attempt&)>& visit) {
  for (auto& [host, machine] : machines_.all())
    for (Attempt& attempt : machine.attempts)
      if (attempt.task.job.text == ref) visit(machine, attempt);
}

void Leader::setGangState(jobs::Job& job, GangState next, const char* why) {
  if (job.gang.phase == next) return;
  context_.event(Level::info, "gang",
                 {{"job", job.spec.ref.text},
                  {"from", std::string(name(job.gang.phase))},
                  {"to", std::string(name(next))},
                  {"why", why}});
  job.gang.to(next);
}

// What an earlier leader left. A whole attempt may be running; part of one can't be completed by anybody.
void Leader::adoptGangAttempts() {
  std::map<std::string, std::set<std::uint32_t>> tasks;  // of the latest attempt
  for (auto& [host, machine] : machines_.all()) {
    for (const Attempt& attempt : machine.attempts) {
      jobs::Job* job = attempt.gang ? jobs_.find(attempt.task.job.text) : nullptr;
      if (job == nullptr || attempt.number < job->gang.number) continue;
      if (attempt.number > job->gang.number) tasks[attempt.task.job.text].clear();
      job->gang.number = attempt.number;
      tasks[attempt.task.job.text].insert(attempt.task.index);
    }
  }
  for (auto& [ref, found] : tasks) {
    jobs::Job& job = *jobs_.find(ref);
    const bool whole = found.size() == job.spec.taskCount;
    setGangState(job, whole ? GangState::gathering : GangState::clearing, "adopted");
    forEachAttempt(ref, [&](Machine& machine, Attempt& attempt) {
      if (!whole || attempt.number != job.gang.number) commands_.stop(machine, attempt, 0);
    });
  }
}

bool Leader::gangMayStart(const Attempt& attempt) {
  const jobs::Job* job = jobs_.find(attempt.task.job.text);
  return job != nullptr && job->open() && job->gang.number == attempt.number &&
         job->gang.phase == GangState::gathering;
}

// Places that found no page in the round of their decision.
void Leader::reserveRemainingGangTasks(std::set<std::uint32_t>& pages, std::set<std::string>& jobs,
                                       std::set<std::string>& hosts) {
  if (reserving_.empty()) return;
  batches_.recountBytes(machines_);
  for (auto at = reserving_.begin(); at != reserving_.end();) {
    const std::string ref = *at;
    bool more = false;
    forEachAttempt(ref, [&](Machine& machine, Attempt& attempt) {
      if (attempt.phase != AttemptPhase::planned || attempt.batch) return;
      if (attempt.stopWanted || machine.phase != MachinePhase::up) {
        release(machine, attempt, "not placed");
        machine.recordBusy =
            std::any_of(machine.attempts.begin(), machine.attempts.end(),
                        [](const Attempt& other) { return other.phase == AttemptPhase::planned; });
        return;
      }
      attempt.batch = batches_.place(machine, attempt, pages, constants::kMaxBatchesPerRound);
      if (!attempt.batch) {
        more = true;
        return;
      }
      machine.recordBusy = true;
      hosts.insert(machine.host.text);
      jobs.insert(ref);
    });
    at = more ? std::next(at) : reserving_.erase(at);
  }
}

void Leader::onGangRecorded(jobs::Job& job) {
  if (job.gang.phase != GangState::reserving) return;
  std::uint32_t recorded = 0;
  forEachAttempt(job.spec.ref.text, [&](Machine&, Attempt& attempt) {
    if (attempt.number == job.gang.number && attempt.phase == AttemptPhase::recorded) ++recorded;
  });
  if (recorded < job.spec.taskCount) return;
  setGangState(job, GangState::gathering, "all places are durable");
  forEachAttempt(job.spec.ref.text, [this](Machine& machine, Attempt&) { commands_.markDue(machine); });
}

void Leader::onGangTaskRunning(jobs::Job& job) {
  if (job.gang.phase != GangState::gathering || job.running < job.spec.taskCount) return;
  // Tasks that linger of an earlier attempt, or save already, are no evidence that this one runs.
  std::uint32_t run = 0;
  forEachAttempt(job.spec.ref.text, [&](Machine&, const Attempt& attempt) {
    if (attempt.number == job.gang.number && attempt.phase == AttemptPhase::running) ++run;
  });
  if (run < job.spec.taskCount) return;
  job.gang.failures = 0;
  setGangState(job, GangState::running, "all tasks run");
}

// A task of the present attempt has ended without being done, or is gone: the rest can't go on.
void Leader::onGangTaskLost(jobs::Job& job, const Attempt& attempt, const char* why) {
  if (!job.isGang() || !job.open() || attempt.number != job.gang.number) return;
  const GangState phase = job.gang.phase;
  if (phase != GangState::reserving && phase != GangState::gathering && phase != GangState::running) return;
  setGangState(job, GangState::clearing, why);
  ++job.gang.failures;
  const auto pause = constants::kGangRetryBackoff * (1 << std::min(job.gang.failures - 1, 6));
  job.backoffUntil = std::max(job.backoffUntil, context_.now + std::min<std::chrono::milliseconds>(
                                                                   pause, constants::kMaxGangRetryBackoff));
  forEachAttempt(job.spec.ref.text, [this](Machine& machine, Attempt& other) {
    if (other.holdsCapacity()) commands_.stop(machine, other, 0);
  });
}

// To make room or to drain a machine: all tasks are told at once, with time to save if there is so much left.
void Leader::stopGang(const std::string& ref, double leftS, const char* why) {
  jobs::Job* job = jobs_.find(ref);
  if (job == nullptr || !job->open() || !job->isGang()) return;
  const GangState phase = job->gang.phase;
  if (phase != GangState::reserving && phase != GangState::gathering && phase != GangState::running) return;
  const double graceS = job->spec.checkpointS + 1;
  const bool saves = phase == GangState::running && job->spec.checkpointEveryS > 0 && graceS < leftS;
  setGangState(*job, GangState::stopping, why);
  forEachAttempt(ref, [&](Machine& machine, Attempt& attempt) {
    if (attempt.holdsCapacity()) commands_.stop(machine, attempt, saves ? graceS : 0);
  });
}

// They complete together: one task done means all are, and nothing is run again for the sake of tasks whose
// machines have vanished meanwhile.
void Leader::completeGang(jobs::Job& job) {
  setGangState(job, GangState::done, "a task is done");
  for (std::uint32_t index = 0; index < job.spec.taskCount; ++index)
    job.to(index, jobs::TaskPhase::completed, context_.now);
  records_.finished(job.spec.ref.text);
  planDue_ = true;
}

}  // namespace reachhoist::service
