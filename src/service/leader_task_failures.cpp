// Tasks that fail: a machine that is sick is told from a job that is itself wrong.
#include <algorithm>

#include "service/leader.hpp"

namespace reachhoist::service {

void Leader::noteError(Machine& machine, const Attempt& attempt) {
  const std::string& ref = attempt.task.job.text;
  context_.event(Level::info, "task_failed", {{"task", attempt.task.str()}, {"machine", machine.host.text}});
  jobs::Job* job = jobs_.find(ref);
  if (job == nullptr || !job->open()) return;
  const bool ran = attempt.runningSince != Time{};
  job->failures.note(machine.host.text, ran ? context_.now - attempt.runningSince : wire::Duration{});
  if (job->failures.jobAtFault() || (job->failures.widespread() && !doesWell(ref, machine))) {
    // Failed wherever it went: a few of its tasks are tried ever more rarely, until its user cancels it.
    if (faultyJobs_.insert(ref).second) {
      context_.event(Level::info, "job_at_fault", {{"job", ref}});
      clearBlame(ref);
    }
    return job->failures.attributeToJob(context_.now);
  }
  ++machine.errorsInRow;
  machine.errorJobs.insert(ref);
  if (machine.errorsInRow >= constants::kSuspectErrors)
    machine.suspectUntil = context_.now + constants::kSuspectPause;
}

// The machines on which the job failed are as good as any other.
void Leader::clearBlame(const std::string& ref) {
  for (auto& [host, machine] : machines_.all())
    if (machine.errorJobs.erase(ref) > 0 && machine.errorJobs.empty()) machine.clearErrors();
}

// What is held to be at fault and then does well had bad luck with its machines.
void Leader::judgeJobs() {
  for (auto at = faultyJobs_.begin(); at != faultyJobs_.end();) {
    jobs::Job* job = jobs_.find(*at);
    const bool over = job == nullptr || !job->open();
    if (!over && !job->failures.jobAtFault()) {
      at = faultyJobs_.erase(at);
    } else if (!over && !doesWell(*at, std::nullopt)) {
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

bool Leader::doesWell(const std::string& ref,
                      std::optional<std::reference_wrapper<const Machine>> except) const {
  const jobs::Job* job = jobs_.find(ref);
  if (job != nullptr && job->open() && job->completed > 0) return true;
  // A job that is wrong may run for a while before each of its tasks fails.
  const auto enough =
      constants::kGoodAfter + (job != nullptr ? job->failures.longestRun() : wire::Duration{});
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

void Leader::judge(Machine& machine) {
  // A job that is itself wrong fails on every machine, a sick machine fails every job. What tells them apart
  // is how the same job does elsewhere, and failed tasks are always tried elsewhere first.
  if (machine.errorsInRow < constants::kSuspectErrors || machine.sick) return;
  bool allWrong = true;
  for (const std::string& ref : machine.errorJobs) {
    if (doesWell(ref, machine)) {
      machine.sick = true;
      return retire(machine, "sick");
    }
    const jobs::Job* job = jobs_.find(ref);
    if (job != nullptr && job->open() && job->failures.machines() < 2) allWrong = false;
  }
  if (allWrong) machine.clearErrors();
}

}  // namespace reachhoist::service
