#include "service/leader/task_failure_policy.hpp"

namespace reachhoist::service {

void TaskFailurePolicy::recordFailure(Machine& machine, const Attempt& attempt) {
  const std::string& ref = attempt.task.job.text;
  context_.event(Level::info, "task_failed", {{"task", attempt.task.str()}, {"machine", machine.host.text}});
  jobs::Job* job = state_.jobs.find(ref);
  if (job == nullptr || !job->isOpen()) return;
  const bool ran = attempt.runningSince != Time{};
  job->failures.recordFailure(machine.host.text,
                              ran ? context_.now - attempt.runningSince : wire::Duration{});
  if (job->failures.isJobAtFault() || (job->failures.isWidespread() && !succeedsElsewhere(ref, machine))) {
    // It failed on every machine: a few of its tasks are retried ever more rarely until its user cancels it.
    if (faultyJobs_.insert(ref).second) {
      context_.event(Level::info, "job_faulty", {{"job", ref}});
      clearMachineSuspicion(ref);
    }
    return job->failures.attributeToJob(context_.now);
  }
  ++machine.faults.consecutiveErrors;
  machine.faults.failedJobs.insert(ref);
  if (machine.faults.consecutiveErrors >= constants::kSuspectAfterErrors)
    machine.faults.suspectUntil = context_.now + constants::kSuspectDuration;
}

void TaskFailurePolicy::clearMachineSuspicion(const std::string& ref) {
  for (auto& [host, machine] : state_.machines.all())
    if (machine.faults.failedJobs.erase(ref) > 0 && machine.faults.failedJobs.empty())
      machine.faults.clearSuspicion();
}

void TaskFailurePolicy::reviewFaultyJobs() {
  for (auto at = faultyJobs_.begin(); at != faultyJobs_.end();) {
    jobs::Job* job = state_.jobs.find(*at);
    const bool ended = job == nullptr || !job->isOpen();
    if (!ended && job->failures.isJobAtFault() && !succeedsElsewhere(*at, std::nullopt)) {
      ++at;
      continue;
    }
    if (!ended && job->failures.isJobAtFault()) {
      job->failures.reset();
      state_.requestPlacementRound();
    }
    at = faultyJobs_.erase(at);
  }
}

bool TaskFailurePolicy::succeedsElsewhere(
    const std::string& ref, std::optional<std::reference_wrapper<const Machine>> excluded) const {
  const jobs::Job* job = state_.jobs.find(ref);
  if (job != nullptr && job->isOpen() && job->completedCount > 0) return true;
  // Each task of a faulty job may run for a while before it fails.
  const auto longEnough =
      constants::kHealthyRunTime + (job != nullptr ? job->failures.longestRun() : wire::Duration{});
  for (const auto& [host, machine] : state_.machines.all()) {
    if (excluded && &excluded->get() == &machine) continue;
    for (const Attempt& attempt : machine.attempts) {
      // Tasks of a gang run together with the one that failed: that they ran proves nothing.
      if (attempt.task.job.text != ref || attempt.isGangMember) continue;
      if (attempt.phase == AttemptPhase::ended && attempt.cause == wire::Cause::done) return true;
      if (attempt.isExecuting() && context_.now - attempt.phaseSince > longEnough) return true;
    }
  }
  return false;
}

void TaskFailurePolicy::quarantineIfFaulty(Machine& machine) {
  if (machine.faults.consecutiveErrors < constants::kSuspectAfterErrors || machine.faults.quarantined) return;
  bool allJobsFaulty = true;
  for (const std::string& ref : machine.faults.failedJobs) {
    if (succeedsElsewhere(ref, machine)) {
      machine.faults.quarantined = true;
      return lifecycle_.drain(machine, "quarantined");
    }
    const jobs::Job* job = state_.jobs.find(ref);
    if (job != nullptr && job->isOpen() && job->failures.failedMachineCount() < 2) allJobsFaulty = false;
  }
  if (allJobsFaulty) machine.faults.clearSuspicion();
}

}  // namespace reachhoist::service
