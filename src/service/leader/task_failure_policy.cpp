#include "service/leader/task_failure_policy.hpp"

namespace reachhoist::service {

void TaskFailurePolicy::recordFailure(Machine& machine, const Attempt& attempt) {
  const std::string& ref = attempt.task.job.text;
  context_.logEvent(LogLevel::info, "task_failed",
                    {{"task", attempt.task.str()}, {"machine", machine.host.text}});
  jobs::Job* job = state_.jobs.find(ref);
  if (job == nullptr || !job->isOpen()) return;
  const bool hasRun = attempt.runningSince != Time{};
  job->failures.recordFailure(machine.host.text,
                              hasRun ? context_.now - attempt.runningSince : wire::Duration{});
  if (job->failures.isJobAtFault() || (job->failures.isWidespread() && !succeedsElsewhere(ref, machine))) {
    // The job failed on every machine it was tried on. A few of its tasks are retried, at growing intervals,
    // until the user cancels the job.
    if (jobsFailingEverywhere_.insert(ref).second) {
      context_.logEvent(LogLevel::info, "job_faulty", {{"job", ref}});
      clearMachineSuspicion(ref);
    }
    return job->failures.attributeToJob(context_.now);
  }
  ++machine.failures.consecutiveErrors;
  machine.failures.failedJobs.insert(ref);
  if (machine.failures.consecutiveErrors >= constants::kSuspectAfterErrors)
    machine.failures.suspectUntil = context_.now + constants::kSuspectDuration;
}

void TaskFailurePolicy::clearMachineSuspicion(const std::string& ref) {
  for (auto& [host, machine] : state_.machines.all())
    if (machine.failures.failedJobs.erase(ref) > 0 && machine.failures.failedJobs.empty())
      machine.failures.clearSuspicion();
}

void TaskFailurePolicy::clearRecoveredJobs() {
  for (auto it = jobsFailingEverywhere_.begin(); it != jobsFailingEverywhere_.end();) {
    jobs::Job* job = state_.jobs.find(*it);
    const bool ended = job == nullptr || !job->isOpen();
    if (!ended && job->failures.isJobAtFault() && !succeedsElsewhere(*it, std::nullopt)) {
      ++it;
      continue;
    }
    if (!ended && job->failures.isJobAtFault()) {
      job->failures.reset();
      state_.requestPlacementRound();
    }
    it = jobsFailingEverywhere_.erase(it);
  }
}

bool TaskFailurePolicy::succeedsElsewhere(
    const std::string& ref, std::optional<std::reference_wrapper<const Machine>> excluded) const {
  const jobs::Job* job = state_.jobs.find(ref);
  if (job != nullptr && job->isOpen() && job->completedCount > 0) return true;
  // Each task of a defective job can run for a while before it fails.
  const auto successRunTime =
      constants::kHealthyRunTime + (job != nullptr ? job->failures.longestRun() : wire::Duration{});
  for (const auto& [host, machine] : state_.machines.all()) {
    if (excluded && &excluded->get() == &machine) continue;
    for (const Attempt& attempt : machine.attempts) {
      // Tasks of a gang run together with the one that failed, so their run time does not show success.
      if (attempt.task.job.text != ref || attempt.isGangMember) continue;
      if (attempt.phase == AttemptPhase::ended && attempt.cause == wire::Cause::done) return true;
      if (attempt.isExecuting() && context_.now - attempt.phaseSince > successRunTime) return true;
    }
  }
  return false;
}

void TaskFailurePolicy::evaluateQuarantine(Machine& machine) {
  if (machine.failures.consecutiveErrors < constants::kSuspectAfterErrors || machine.failures.quarantined)
    return;
  bool allJobsFailElsewhere = true;
  for (const std::string& ref : machine.failures.failedJobs) {
    if (succeedsElsewhere(ref, machine)) {
      machine.failures.quarantined = true;
      return lifecycle_.drain(machine, "quarantined");
    }
    const jobs::Job* job = state_.jobs.find(ref);
    if (job != nullptr && job->isOpen() && job->failures.failedMachineCount() < 2)
      allJobsFailElsewhere = false;
  }
  if (allJobsFailElsewhere) machine.failures.clearSuspicion();
}

}  // namespace reachhoist::service
