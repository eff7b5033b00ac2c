// Stand-in for a worker, as the protocol describes it.
#pragma once

#include <compare>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "standin/machine_info.hpp"
#include "wire/exchange.hpp"

namespace standin {

namespace wire = reachhoist::wire;
using wire::Json;

class World;
struct JobPlan;

// The answer to commands.
struct CommandResponse {
  int status = 0;
  Json body;
};

// A machine with its worker: it boots, sends heartbeats, carries out commands and runs tasks, until it is
// killed.
class Worker {
 public:
  Worker(World& world, MachineInfo info);

  // --- the machine
  void boot();
  void kill();
  // Suspends the machine for the duration. Everything then resumes where it was.
  void hang(double durationS);
  // The cloud announces that it reclaims the instance after noticeS.
  void giveSpotNotice(double noticeS);
  const MachineInfo& info() const { return info_; }
  const std::string& host() const { return info_.host; }
  const std::string& zone() const { return info_.zone; }
  const std::string& machineType() const { return info_.machineType; }
  bool spot() const { return info_.spot; }
  bool hasBooted() const { return hasBooted_; }
  // Returns false once the machine has been killed.
  bool isAlive() const { return isAlive_; }
  bool isServing() const { return isAlive_ && hasBooted_; }
  bool isHung() const;
  double hungUntilS() const { return hungUntilS_; }

  // --- faults
  bool faultyHardware = false;  // every task fails
  // End of a one-way partition in which the heartbeats arrive, but no answer or command reaches the machine.
  double inboundPartitionUntilS = 0;
  // End of a one-way partition in which the machine can't open connections, while commands reach it.
  double outboundPartitionUntilS = 0;

  // --- the protocol
  CommandResponse handleCommands(const Json& body);
  // Returns the next heartbeat. Each call uses up a sequence number.
  Json heartbeat();

  // --- tasks of gangs. GangTracker calls these; they have no effect on a task that has ended.
  void setGangTaskWaiting(const wire::TaskId& task, std::uint64_t attempt);
  void setGangTaskRunning(const wire::TaskId& task, std::uint64_t attempt);
  void setGangTaskSaving(const wire::TaskId& task, std::uint64_t attempt);
  // `saved` tells whether a checkpoint of the whole gang is complete.
  void endGangTask(const wire::TaskId& task, std::uint64_t attempt, const std::string& cause,
                   bool saved = false);

  // --- resources, of which tasks that have ended use none
  wire::Resources freeCapacity() const;
  double cpusOfTeam(const std::string& team) const;
  double cpusOfClass(const std::string& jobClass) const;
  // Whether the machine has an attempt of the task that has not ended.
  bool hasOpenAttempt(const wire::TaskId& task) const;

 private:
  enum class TaskState { pulling, waiting, running, saving, ended };
  struct AttemptKey {
    wire::TaskId task;
    std::uint64_t attempt = 0;
    auto operator<=>(const AttemptKey&) const = default;
  };
  struct TaskAttempt {
    AttemptKey key;
    TaskState state = TaskState::pulling;
    std::string cause;  // of its end, as the protocol names it
    bool saved = false;
    double startedAtS = 0;
    std::uint64_t epoch = 0;  // events scheduled in an earlier epoch have no effect
    bool ended() const { return state == TaskState::ended; }
    // Whether the task's process exists.
    bool hasProcess() const { return state != TaskState::pulling && state != TaskState::ended; }
  };
  static std::string_view name(TaskState state);

  // Runs the action after the delay, or when the machine resumes if it hangs then. Skips the action if the
  // machine has been killed.
  void schedule(double delayS, std::function<void()> action);
  void checkLease();
  // Checks the lease until the machine resumes: its tasks end with the lease, although the worker does
  // nothing.
  void checkLeaseWhileHung();
  // Removes all tasks without a final status: the lease has expired or the machine has been killed.
  void dropAllTasks();
  double cpusWhere(const std::function<bool(const wire::JobSpec&)>& matches) const;

  // worker_heartbeats.cpp
  void scheduleEarlyHeartbeat();
  void tryHeartbeat();
  void sendHeartbeat();
  void duplicateHeartbeat(const std::string& body);
  void onHeartbeatAnswer(int status, const Json& body, std::uint64_t incarnation, double sentAtS);
  void onLeaseRenewed(const Json& body, std::uint64_t incarnation, double sentAtS);
  bool followRedirect(const Json& body);

  // worker_commands.cpp
  void executeCommands(const Json& commands);
  void launch(const AttemptKey& key);
  void reap(const AttemptKey& key);
  void stop(const AttemptKey& key, double gracePeriodS);
  void saveAndStop(TaskAttempt& attempt, double checkpointDurationS);

  // worker_tasks.cpp
  void startTask(const AttemptKey& key, std::uint64_t epoch);
  void scheduleOutcome(const TaskAttempt& attempt, const JobPlan& plan);
  void scheduleEnd(double delayS, const TaskAttempt& attempt, const std::string& cause);
  void scheduleCompletion(double delayS, const TaskAttempt& attempt);
  TaskAttempt* findIfCurrent(const AttemptKey& key, std::uint64_t epoch);
  void setGangTaskState(const AttemptKey& key, TaskState state);
  void endAttempt(TaskAttempt& attempt, const std::string& cause);

  World& world_;
  MachineInfo info_;
  bool hasBooted_ = false;
  bool isAlive_ = true;
  double hungUntilS_ = 0;
  std::uint64_t incarnation_ = 1;
  std::uint64_t sequence_ = 0;
  std::uint64_t fencingToken_ = 0;
  double leaseRenewedAtS_ = 0;
  std::optional<double> spotNoticeS_;
  std::size_t controllerIndex_ = 0;  // index of the controller that gets the heartbeats
  bool heartbeatInFlight_ = false;
  double lastHeartbeatAtS_ = -10;
  double nextHeartbeatAtS_ = 0;
  std::uint64_t lastEpoch_ = 0;
  std::map<AttemptKey, TaskAttempt> attempts_;
  std::set<std::string> pulledImages_;
};

}  // namespace standin
