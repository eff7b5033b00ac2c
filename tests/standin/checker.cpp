#include "standin/checker.hpp"

#include <algorithm>
#include <sstream>

namespace standin {

namespace {
// A job counts as forgotten if all its polls fail for this long, while polls of other jobs are answered.
constexpr double kForgottenAfterS = 90;
// The same after all faults have ended, even if no poll of another job is answered.
constexpr double kForgottenAfterFaultsS = 75;
constexpr double kLargestJobStartMaxS = 240;
// A job must not stay runnable for longer than this after all faults have ended.
constexpr double kLeftWaitingAfterS = 90;
constexpr double kServedShareMin = 0.5;
constexpr double kSlackCpus = 1e-6;

bool isSuccess(int status) { return status == 200 || status == 201; }
}  // namespace

void Checker::recordViolation(double atS, const std::string& rule, const std::string& details) {
  std::ostringstream line;
  line << rule << " at " << atS << " s: " << details;
  violations_.push_back(line.str());
}

void Checker::onSubmitted(double atS, const wire::JobSpec& spec) {
  jobs_.emplace(spec.ref.text, spec);
  submittedAtS_.emplace(spec.ref.text, atS);
}

void Checker::checkStage(double atS, const std::string& ref, const std::string& stage) {
  const bool isFinal = stage == "done" || stage == "cancelled";
  if (const auto found = finalStages_.find(ref); found != finalStages_.end() && found->second != stage)
    recordViolation(atS, "went_back", ref + " was " + found->second + " and is now " + stage);
  if (stage == "cancelled" && !cancellationRequested_.contains(ref))
    recordViolation(atS, "went_back", ref + " was cancelled without a request");
  if (stage == "cancelled") cancelledAtS_.emplace(ref, atS);
  if (stage == "done") checkAllTasksCompleted(atS, ref);
  if (isFinal) finalStages_.emplace(ref, stage);
}

void Checker::checkAllTasksCompleted(double atS, const std::string& ref) {
  const wire::JobSpec& spec = jobs_.at(ref);
  for (std::uint32_t i = 0; i < spec.taskCount; ++i) {
    if (completedTasks_.contains(wire::TaskId{spec.ref, i})) continue;
    return recordViolation(atS, "not_done", ref + " is done without task " + std::to_string(i));
  }
}

void Checker::onInvalidSubmissionAnswered(double atS, const std::string& ref, int status) {
  if (invalid_.contains(ref) && isSuccess(status)) recordViolation(atS, "accepted_unfit", ref);
}

void Checker::reportRunnable(double atS, const std::string& ref, bool isRunnable) {
  if (faultsEndedAtS_ < 0 || !isRunnable) {
    runnableSinceS_.erase(ref);
    return;
  }
  double& sinceS = runnableSinceS_.emplace(ref, atS).first->second;
  if (atS - sinceS <= kLeftWaitingAfterS) return;
  recordViolation(atS, "left_waiting", ref);
  sinceS = atS;
}

std::map<std::string, std::uint32_t> Checker::runningTaskCountByZone(const std::string& ref) const {
  std::map<std::string, std::uint32_t> counts;
  for (const auto& [task, machines] : runningTasks_)
    for (const auto& [host, machine] : machines)
      if (task.job.text == ref) ++counts[machine.zone];
  return counts;
}

void Checker::onSubmissionAnswered(double atS, const std::string& ref, int status, const std::string& stage) {
  if (isSuccess(status)) {
    accepted_.insert(ref);
    lastSuccessfulPollAtS_.emplace(ref, atS);
    checkStage(atS, ref, stage);
  } else if ((status == 400 || status == 422) && accepted_.contains(ref)) {
    recordViolation(atS, "forgotten", ref + " was submitted again and got " + std::to_string(status));
  }
}

void Checker::onCancellationAnswered(double atS, const std::string& ref, int status,
                                     const std::string& stage) {
  if (status == 200) checkStage(atS, ref, stage);
  if (status == 404 && accepted_.contains(ref))
    recordViolation(atS, "forgotten", ref + " got 404 for its cancellation");
}

void Checker::onPollAnswered(double atS, const std::string& ref, int status, const std::string& stage) {
  if (status == 200) {
    lastSuccessfulPollAtS_[ref] = atS;
    lastAnsweredPollAtS_ = atS;
    if (!jobs_.contains(ref)) return recordViolation(atS, "invented", ref);
    checkStage(atS, ref, stage);
  } else if (status == 404) {
    lastAnsweredPollAtS_ = atS;
    if (accepted_.contains(ref)) recordViolation(atS, "forgotten", ref + " got 404 for a poll");
  }
  // Applies only while other polls are answered: during an outage, no poll is.
  if (accepted_.contains(ref) && atS - lastSuccessfulPollAtS_[ref] > kForgottenAfterS &&
      atS - lastAnsweredPollAtS_ < kForgottenAfterS / 4)
    recordViolation(atS, "forgotten", ref + " could not be polled");
}

void Checker::onTaskStarted(double atS, const wire::TaskId& task, const MachineInfo& machine) {
  const std::string& ref = task.job.text;
  ++taskStartCount_;
  if (cancelledAtS_.contains(ref)) ++startsAfterCancel_;
  firstStartAtS_.emplace(ref, atS);
  if (!jobs_.contains(ref)) return recordViolation(atS, "invented", "started " + task.str());
  checkMachine(atS, task, machine);
  checkJobAndTeam(atS, task, machine.zone);
  tick(atS);
}

void Checker::checkMachine(double atS, const wire::TaskId& task, const MachineInfo& machine) {
  auto& machines = runningTasks_[task];
  for (const auto& [host, other] : machines)
    if (host != machine.host)
      recordViolation(atS, "ran_twice", task.str() + " on " + host + " and " + machine.host);
  machines[machine.host] = machine;
  const wire::JobSpec& spec = jobs_.at(task.job.text);
  const bool allowed = spec.allowsMachineType(machine.machineType) &&
                       (!spec.requiredZone || *spec.requiredZone == machine.zone) &&
                       (!machine.spot || spec.allowsSpot);
  if (!allowed) recordViolation(atS, "wrong_place", task.str() + " on " + machine.host);
}

// Checks the zones of all running tasks of the job, and the CPUs that all tasks of its team use.
void Checker::checkJobAndTeam(double atS, const wire::TaskId& task, const std::string& zone) {
  const wire::JobSpec& spec = jobs_.at(task.job.text);
  const auto quota = quotaCpusByTeam_.find(spec.team);
  const bool hasQuota = quota != quotaCpusByTeam_.end() && quota->second > 0;
  // Visits all tasks only if a rule requires it, because some worlds have thousands of tasks.
  if (!hasQuota && !spec.singleZone && !spec.spreadZones) return;
  std::map<std::string, std::set<wire::TaskId>> zones;
  double cpus = 0;
  for (const auto& [other, machines] : runningTasks_) {
    const wire::JobSpec& otherSpec = jobs_.at(other.job.text);
    for (const auto& [host, machine] : machines) {
      if (other.job == task.job) zones[machine.zone].insert(other);
      if (otherSpec.team == spec.team) cpus += otherSpec.taskResources.vcpus;
    }
  }
  if (spec.singleZone && zones.size() > 1)
    recordViolation(atS, "wrong_place", task.str() + " in a second zone");
  if (spec.spreadZones && zones[zone].size() > (spec.taskCount + 1) / 2)
    recordViolation(atS, "wrong_place",
                    task.str() + " is in " + zone + ", which has more than half of the job");
  if (hasQuota && cpus > quota->second + kSlackCpus)
    recordViolation(atS, "quota", spec.team + " uses " + std::to_string(cpus));
}

void Checker::onTaskEnded(double, const wire::TaskId& task, const std::string& host, bool completed) {
  if (const auto found = runningTasks_.find(task); found != runningTasks_.end()) {
    found->second.erase(host);
    if (found->second.empty()) runningTasks_.erase(found);
  }
  if (completed) completedTasks_.insert(task);
}

void Checker::onElected(double atS, const std::string& label, std::uint64_t term) {
  if (term <= electedTerm_)
    recordViolation(atS, "term_reused",
                    label + " was elected under term " + std::to_string(term) + " after term " +
                        std::to_string(electedTerm_));
  electedTerm_ = std::max(electedTerm_, term);
}

void Checker::onTermStored(double atS, std::uint64_t term) {
  if (term < storedTerm_)
    recordViolation(atS, "term_lowered",
                    "the stored term " + std::to_string(storedTerm_) + " became " + std::to_string(term));
  storedTerm_ = term;
}

void Checker::tick(double atS) {
  if (faultsEndedAtS_ >= 0) checkAnsweredAfterFaults(atS);
  checkCancelledHaveEnded(atS);
}

void Checker::checkAnsweredAfterFaults(double atS) {
  for (const auto& [ref, pollAtS] : lastSuccessfulPollAtS_) {
    if (!accepted_.contains(ref) || atS - std::max(pollAtS, faultsEndedAtS_) <= kForgottenAfterFaultsS)
      continue;
    if (reportedUnanswered_.insert(ref).second)
      recordViolation(atS, "forgotten", ref + " got no answer after all faults had ended");
  }
}

void Checker::checkCancelledHaveEnded(double atS) {
  for (const auto& [task, machines] : runningTasks_) {
    const auto cancelledAt = cancelledAtS_.find(task.job.text);
    if (cancelledAt == cancelledAtS_.end() || atS <= cancelledAt->second + cancelS_) continue;
    if (reportedRunningCancelled_.insert(task.str()).second)
      recordViolation(atS, "ran_cancelled", task.str());
  }
}

void Checker::finish() {
  if (taskStartCount_ == 0) recordViolation(0, "nothing_ran", "no task was started");
}

std::vector<std::string> Checker::starvedGroups() const {
  std::map<std::string, std::uint32_t> largest;
  for (const auto& [ref, spec] : jobs_)
    largest[spec.jobClass] = std::max(largest[spec.jobClass], spec.taskCount);
  ServedCounts counts;
  for (const auto& [ref, spec] : jobs_) {
    if (!accepted_.contains(ref) || cancellationRequested_.contains(ref)) continue;
    countServed(counts, spec, spec.taskCount == largest[spec.jobClass]);
  }
  std::vector<std::string> groups;
  for (const auto& [group, count] : counts)
    if (count.served < kServedShareMin * count.jobs) groups.push_back(group + " served too little");
  return groups;
}

void Checker::countServed(ServedCounts& counts, const wire::JobSpec& spec, bool isLargest) const {
  const auto count = [&](const std::string& group, bool served) {
    ++counts[group].jobs;
    counts[group].served += served ? 1 : 0;
  };
  const auto started = firstStartAtS_.find(spec.ref.text);
  const bool served = started != firstStartAtS_.end();
  count("class " + spec.jobClass, served);
  count("team " + spec.team, served);
  if (!isLargest) return;
  const bool startedInTime =
      served && started->second - submittedAtS_.at(spec.ref.text) <= kLargestJobStartMaxS;
  count("largest of " + spec.jobClass, startedInTime);
}

std::size_t Checker::runningTaskCount(const std::string& ref) const {
  std::size_t count = 0;
  for (const auto& [task, machines] : runningTasks_)
    if (task.job.text == ref) count += machines.size();
  return count;
}

}  // namespace standin
