// Tasks that fail: a machine that is sick is told from a job that is itself wrong.
#include <algorithm>

#include "service/owner.hpp"

namespace reachhoist::service {

void Owner::noteError(Machine& machine, Attempt& attempt) {
  const std::string& ref = attempt.task.job.text;
  context_.event(Level::info, "task_failed", {{"task", attempt.task.str()}, {"machine", machine.host.text}});
  jobs::Job* job = jobs_.find(ref);
  if (job == nullptr || !job->open()) return;
  ++job->errors;
  job->errorHosts.insert(machine.host.text);
  ++machine.errorsInRow;
  machine.errorJobs.insert(ref);
  if (machine.errorsInRow >= constants::kSuspectErrors)
    machine.suspectUntil = context_.now + constants::kSuspectPause;
  if (static_cast<int>(job->errorHosts.size()) < constants::kWrongJobMachines) return;
  // Failed wherever it went: it is tried ever more rarely, anywhere, until its user cancels it.
  const auto pause = constants::kJobErrorBackoff * (1 << std::min(job->errors, 4));
  job->heldUntil = context_.now + std::min<std::chrono::milliseconds>(pause, constants::kJobErrorBackoffMost);
}

bool Owner::provenGood(const std::string& ref, const Machine& blamed) const {
  for (const auto& [host, machine] : machines_.all()) {
    if (&machine == &blamed) continue;
    for (const Attempt& attempt : machine.attempts) {
      // Tasks of a gang run together with the one that failed: that they ran proves nothing.
      if (attempt.task.job.text != ref || attempt.gang) continue;
      if (attempt.phase == AttemptPhase::ended && attempt.cause == wire::Cause::done) return true;
      if (attempt.onMachine() && context_.now - attempt.since > constants::kGoodAfter) return true;
    }
  }
  const jobs::Job* job = jobs_.find(ref);
  return job != nullptr && job->open() && job->completed > 0;
}

void Owner::judge(Machine& machine) {
  // A job that is itself wrong fails on every machine, a sick machine fails every job. What tells them apart
  // is how the same job does elsewhere, and failed tasks are always tried elsewhere first.
  if (machine.errorsInRow < constants::kSuspectErrors || machine.sick) return;
  bool allWrong = true;
  for (const std::string& ref : machine.errorJobs) {
    if (provenGood(ref, machine)) {
      machine.sick = true;
      return retire(machine, "sick");
    }
    const jobs::Job* job = jobs_.find(ref);
    if (job != nullptr && job->open() && job->errorHosts.size() < 2) allWrong = false;
  }
  if (!allWrong) return;
  machine.errorsInRow = 0;
  machine.errorJobs.clear();
  machine.suspectUntil = {};
}

}  // namespace reachhoist::service
