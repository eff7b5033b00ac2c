// Gangs as the protocol describes them: their tasks wait for each other, run, fail and save together.
#pragma once

#include <compare>
#include <map>
#include <set>
#include <string>

#include "wire/types.hpp"

namespace standin {

class World;
class Worker;

// Tracks each attempt of each gang across its workers. Workers report the events of their tasks, and the
// tracker starts, saves and ends the tasks of an attempt on all its workers.
class GangTracker {
 public:
  explicit GangTracker(World& world) : world_(world) {}

  // The task's process has started on the worker and waits for its peers.
  void onTaskReady(Worker& worker, const reachhoist::wire::TaskId& task, std::uint64_t attempt);
  // The task's process has ended, or its machine hangs for so long that the peers notice.
  void onTaskGone(const reachhoist::wire::TaskId& task, std::uint64_t attempt);
  // The task's worker has received a stop command. gracePeriodS is the time to save a checkpoint.
  void onStop(const reachhoist::wire::TaskId& task, std::uint64_t attempt, double gracePeriodS);

  // Number of attempts of which all tasks ran at the same time.
  std::size_t startCount() const { return startCount_; }
  // Number of attempts that were stopped and saved a complete checkpoint.
  std::size_t checkpointCount() const { return checkpointCount_; }

 private:
  struct AttemptKey {
    std::string ref;
    std::uint64_t attempt = 0;
    auto operator<=>(const AttemptKey&) const = default;
  };
  struct GangAttempt {
    std::map<std::uint32_t, Worker*> members;      // the tasks with a process: worker by index
    double startedAtS = -1;                        // time from which all tasks run; -1: not yet
    double firstStopAtS = -1;                      // time of the first stop command; -1: none yet
    std::set<std::uint32_t> tasksWithStopCommand;  // indices of the tasks
    bool isFinished = false;                       // failed, saved or done; the remaining tasks exit
    bool hasStarted() const { return startedAtS >= 0; }
    bool isStopping() const { return firstStopAtS >= 0; }
  };
  void endIfStillWaiting(Worker& worker, const reachhoist::wire::TaskId& task, std::uint64_t attempt);
  void start(Worker& lastWorker, const reachhoist::wire::TaskId& lastTask, std::uint64_t attempt);
  void completeLater(const AttemptKey& key, double delayS);
  void complete(const AttemptKey& key);
  void fail(const AttemptKey& key);
  void save(const AttemptKey& key);
  double completedRunS(const std::string& ref, const GangAttempt& gang) const;

  World& world_;
  std::map<AttemptKey, GangAttempt> attempts_;
  std::map<std::string, double> checkpointedRunS_;  // run time in the last checkpoint, by job
  std::size_t startCount_ = 0;
  std::size_t checkpointCount_ = 0;
};

}  // namespace standin
