// Tasks that fail: a machine that is sick is told from a job that is itself wrong.
#include <algorithm>

#include "service/leader.hpp"

namespace reachhoist::service {

void Leader::recordTaskFailure(Machine& machine, const Attempt& attempt) {
  const std::string& ref = attempt.task.job.text;
  context_.event(Level::info, "task_failed", {{"task", attempt.task.str()}, {"machine", machine.host.text}});
  jobs::Job* job = jobs_.find(ref);
  if (job == nullptr || !job->open()) return;
  const bool ran = attempt.runningSince != Time{};
  job->failures.note(machine.host.text, ran ? context_.now - attempt.runningSince : wire::Duration{});
  if (job->failures.jobAtFault() || (job->failures.widespread() && !succeedsElsewhere(ref, machine))) {
    // Failed wherever it went: a few of its tasks are tried ever more rarely, until its user cancels it.
    if (faultyJobs_.insert(ref).second) {
      context_.event(Level::info, "job_at_fault", {{"job", ref}});
      clearMachineSuspicion(ref);
    }
    return job->failures.attributeToJob(context_.now);
  }
  ++machine.consecutiveErrors;
  machine.failedJobs.insert(ref);
  if (machine.consecutiveErrors >= constants::kSuspectAfterErrors)
    machine.suspectUntil = context_.now + constants::kSuspectPause;
}

// The machines on which the job failed are as good as any other.
void Leader::clearMachineSuspicion(const std::string& ref) {
  for (auto& [host, machine] : machines_.all())
    if (machine.failedJobs.erase(ref) > 0 && machine.failedJobs.empty()) machine.clearErrors();
}

// What is held to be at fault and then does well had bad luck with its machines.
void Leader::reviewFaultyJobs() {
  for (auto at = faultyJobs_.begin(); at != faultyJobs_.end();) {
    jobs::Job* job = jobs_.find(*at);
    const bool over = job == nullptr || !job->open();
    if (!over && !job->failures.jobAtFault()) {
      at = faultyJobs_.erase(at);
    } else if (!over && !succeedsElsewhere(*at, std::nullopt)) {
      ++at;
    } else {
      if (!over) {
        job->failures.reset();
        planDue_ = true;
      }
      at = faultyJobs_.erase(at);
    }
  }
}

bool Leader::succeedsElsewhere(const std::string& ref,
                               std::optional<std::reference_wrapper<const Machine>> except) const {
  const jobs::Job* job = jobs_.find(ref);
  if (job != nullptr && job->open() && job->completed > 0) return true;
  // A job that is wrong may run for a while before each of its tasks fails.
  const auto enough =
      constants::kHealthyRunTime + (job != nullptr ? job->failures.longestRun() : wire::Duration{});
  for (const auto& [host, machine] : machines_.all()) {
    if (except && &except->get() == &machine) continue;
    for (const Attempt& attempt : machine.attempts) {
      // Tasks of a gang run together with the one that failed: that they ran proves nothing.
      if (attempt.task.job.text != ref || attempt.gang) continue;
      if (attempt.phase == AttemptPhase::ended && attempt.cause == wire::Cause::done) return true;
      if (attempt.onMachine() && context_.now - attempt.since > enough) return true;
    }
  }
  return false;
}

void Leader::quarantineIfFaulty(Machine& machine) {
  // A job that is itself wrong fails on every machine, a sick machine fails every job. What tells them apart
  // is how the same job does elsewhere, and failed tasks are always tried elsewhere first.
  if (machine.consecutiveErrors < constants::kSuspectAfterErrors || machine.quarantined) return;
  bool allWrong = true;
  for (const std::string& ref : machine.failedJobs) {
    if (succeedsElsewhere(ref, machine)) {
      machine.quarantined = true;
      return drain(machine, "sick");
    }
    const jobs::Job* job = jobs_.find(ref);
    if (job != nullptr && job->open() && job->failures.machines() < 2) allWrong = false;
  }
  if (allWrong) machine.clearErrors();
}

}  // namespace reachhoist::service
