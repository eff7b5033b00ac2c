// Checks the nine rules of the protocol on every step of a simulated world. Further rules are that invalid
// submissions are refused, that no runnable job waits for long, that no term is used twice and that the
// stored term never decreases.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "standin/machine_info.hpp"
#include "wire/types.hpp"

namespace standin {

namespace wire = reachhoist::wire;

// Receives all requests of users with their answers, and every start and end of a task on a worker. Records
// each violation of a rule. Times are in seconds of the simulation, `ref` is a job's reference, `status` an
// HTTP status and `stage` the state of the job in the answer.
class Checker {
 public:
  // The tasks of a cancelled job must have ended cancelS after the answer that confirmed the cancellation.
  explicit Checker(double cancelS) : cancelS_(cancelS) {}

  void setTeamQuota(const std::string& team, double cpus) { quotaCpusByTeam_[team] = cpus; }

  // --- requests of users and their answers
  void onSubmitted(double atS, const wire::JobSpec& spec);
  void onSubmissionAnswered(double atS, const std::string& ref, int status, const std::string& stage);
  // Registers a submission that must be refused, because it lacks a field or can never run.
  void expectInvalid(const std::string& ref) { invalid_.insert(ref); }
  void onInvalidSubmissionAnswered(double atS, const std::string& ref, int status);
  void onCancellationRequested(const std::string& ref) { cancellationRequested_.insert(ref); }
  void onCancellationAnswered(double atS, const std::string& ref, int status, const std::string& stage);
  void onPollAnswered(double atS, const std::string& ref, int status, const std::string& stage);

  // --- tasks on workers
  void onTaskStarted(double atS, const wire::TaskId& task, const MachineInfo& machine);
  void onTaskEnded(double atS, const wire::TaskId& task, const std::string& host, bool completed);
  // A job is runnable if it has waiting tasks, a machine has capacity for one of them and its team is below
  // its quota.
  void reportRunnable(double atS, const std::string& ref, bool isRunnable);

  // --- elections
  // A controller has been elected under this term.
  void onElected(double atS, const std::string& label, std::uint64_t term);
  // The stored record of the term has been written.
  void onTermStored(double atS, std::uint64_t term);

  // --- time
  // Checks the rules with a time limit.
  void tick(double atS);
  // All injected faults have ended. From now on, every job must get answers and make progress.
  void onFaultsEnded(double atS) { faultsEndedAtS_ = atS; }
  // Checks the rules about the whole run, at its end.
  void finish();

  // --- results
  // The violations so far: rule, time and details of each.
  const std::vector<std::string>& violations() const { return violations_; }
  // The classes and teams of which too few jobs have started, and the classes of which too few of the largest
  // jobs have started in time.
  std::vector<std::string> starvedGroups() const;
  std::size_t taskStartCount() const { return taskStartCount_; }
  // Number of tasks that started after an answer confirmed the cancellation of their job.
  std::size_t startsAfterCancel() const { return startsAfterCancel_; }
  // Number of the job's tasks that run on machines. A task that runs on two machines counts twice.
  std::size_t runningTaskCount(const std::string& ref) const;
  // The same number for each zone.
  std::map<std::string, std::uint32_t> runningTaskCountByZone(const std::string& ref) const;
  bool isCancelled(const std::string& ref) const { return cancelledAtS_.contains(ref); }
  const std::map<std::string, double>& quotaCpusByTeam() const { return quotaCpusByTeam_; }
  bool haveFaultsEnded() const { return faultsEndedAtS_ >= 0; }

 private:
  struct ServedCount {
    double jobs = 0;
    double served = 0;
  };
  using ServedCounts = std::map<std::string, ServedCount>;  // by class, team or group of largest jobs

  void recordViolation(double atS, const std::string& rule, const std::string& details);
  void checkStage(double atS, const std::string& ref, const std::string& stage);
  void checkAllTasksCompleted(double atS, const std::string& ref);
  void checkMachine(double atS, const wire::TaskId& task, const MachineInfo& machine);
  void checkJobAndTeam(double atS, const wire::TaskId& task, const std::string& zone);
  void checkAnsweredAfterFaults(double atS);
  void checkCancelledHaveEnded(double atS);
  void countServed(ServedCounts& counts, const wire::JobSpec& spec, bool isLargest) const;

  double cancelS_;
  double faultsEndedAtS_ = -1;  // -1: they have not ended yet
  std::map<std::string, double> submittedAtS_;
  std::map<std::string, double> firstStartAtS_;
  std::set<std::string> reportedUnanswered_;  // jobs whose missing answers have been recorded
  std::map<std::string, double> quotaCpusByTeam_;
  std::map<std::string, wire::JobSpec> jobs_;
  std::set<std::string> accepted_;
  std::set<std::string> cancellationRequested_;
  std::map<std::string, double> cancelledAtS_;
  std::map<std::string, std::string> finalStages_;       // as answered to users
  std::map<std::string, double> lastSuccessfulPollAtS_;  // by job
  double lastAnsweredPollAtS_ = 0;                       // of any job, also an unknown one
  std::map<wire::TaskId, std::map<std::string, MachineInfo>> runningTasks_;  // by task and host
  std::set<wire::TaskId> completedTasks_;
  std::set<std::string> reportedRunningCancelled_;  // tasks whose late end has been recorded
  std::size_t taskStartCount_ = 0;
  std::size_t startsAfterCancel_ = 0;
  std::set<std::string> invalid_;
  std::map<std::string, double> runnableSinceS_;  // by job
  std::uint64_t electedTerm_ = 0;                 // of the last election
  std::uint64_t storedTerm_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace standin
