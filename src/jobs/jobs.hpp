// Jobs as stored in the key-value store and, on the leader, the state of each of their tasks.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.hpp"
#include "jobs/failures.hpp"
#include "wire/exchange.hpp"

namespace reachhoist::jobs {

using wire::Json;
using wire::Time;

// The phase of a job in its stored record. `done` and `cancelled` are final.
enum class JobPhase { accepted, done, cancelled };

// The phase's name in job records.
std::string_view name(JobPhase phase);

// The state of a gang (gang scheduling) on the leader.
enum class GangState : std::uint8_t {
  waiting,    // the gang waits for free capacity, and no machine holds a task of an earlier attempt any more
  reserving,  // the leader writes the placement records in one or more transactions, and starts no task
              // before the last of them
  gathering,  // the tasks have been started, pull their images and wait for each other
  running,    // all tasks run
  stopping,   // the leader stops all tasks, with a checkpoint if they can write one
  clearing,   // the attempt has failed, and the leader stops its remaining tasks
  done        // a worker reported one task as done, which completes all of them
};

// The state's name in events.
std::string_view name(GangState state);

// The gang scheduling state of a job of kind `gang`.
struct Gang {
  GangState state = GangState::waiting;
  std::uint64_t attemptNumber = 0;  // shared by all tasks of one attempt
  int consecutiveFailures = 0;
  int partialScaleOuts = 0;  // consecutive instance requests that got too few machines for the gang
  Time nextScaleOutAt{};     // the leader requests no instances for the gang before this time

  // Records that the cloud provisioned fewer machines than requested. Backs off from the second time on.
  void recordPartialScaleOut(Time now);

  // The only function that changes the state.
  void setState(GangState next) { state = next; }
};

// The phase of one task. A task is `placed` while an attempt of it is on a machine.
enum class TaskPhase : std::uint8_t { waiting, placed, completed };

// A job. Every controller maintains the members up to `displayedRunning`, only the leader the others.
struct Job {
  wire::JobSpec spec;  // of a final job only the reference, the task count, the team and the task size
  JobPhase phase = JobPhase::accepted;
  std::uint64_t revision = 0;     // of the stored record
  std::int64_t acceptedAtMs = 0;  // wall clock, in milliseconds since the epoch

  // Progress reported by the leader, displayed while this controller does not track the job.
  std::uint32_t displayedCompleted = 0;
  std::uint32_t displayedRunning = 0;

  // Tracked by the leader only.
  std::vector<TaskPhase> tasks;                          // by task index; empty while the job is not tracked
  std::uint32_t waitingCount = 0;                        // tasks in the phase `waiting`
  std::uint32_t placedCount = 0;                         // tasks in the phase `placed`
  std::uint32_t runningCount = 0;                        // placed tasks whose attempt runs
  std::uint32_t completedCount = 0;                      // tasks in the phase `completed`
  std::uint32_t firstWaitingIndex = 0;                   // no task with a lower index is waiting
  std::map<std::uint32_t, std::uint64_t> doneRevisions;  // chunk -> revision of its progress record
  std::set<std::uint32_t> dirtyChunks;                   // chunks with completions that are not durable yet
  FailureAttribution failures;
  Time backoffUntil{};  // a gang is not placed again before this time after a failed attempt
  Time waitingSince{};  // since then the job has had at least one waiting task
  Time lastPlacedAt{};  // last placement of any task, initially the start of tracking
  Gang gang;

  // Whether the job is not final.
  bool isOpen() const { return phase == JobPhase::accepted; }
  bool isGang() const { return spec.kind == wire::JobKind::gang; }
  // Whether all tasks are completed. Services never finish.
  bool isFinished() const { return spec.kind != wire::JobKind::service && completedCount == spec.taskCount; }
  // The stage shown to users.
  wire::JobStage displayedStage() const;
  // The only function that changes the phase of a task. It updates the counters.
  void setTaskPhase(std::uint32_t index, TaskPhase next, Time now);
  // Starts to track all tasks as waiting when this controller becomes the leader.
  void beginTracking(Time now);
  // Frees the state of the tasks and keeps their counts for display.
  void endTracking();
  // The progress record of a chunk of `kTasksPerDoneChunk` tasks, in hex: one bit per task, lowest index
  // first.
  std::string encodeDoneChunk(std::uint32_t chunk) const;
  // Marks the tasks of a progress record as completed. False if the record is malformed; tasks before the
  // malformed digit stay marked.
  bool loadDoneChunk(std::uint32_t chunk, const std::string& hex, std::uint64_t revision, Time now);
  // Deadline on the wall clock, in milliseconds since the epoch. The largest value if the job has none.
  std::int64_t deadlineMs() const;
};

// Key of a job's record.
std::string jobKey(const std::string& ref);
// Key of a job's progress record for one chunk of tasks.
std::string doneKey(const std::string& ref, std::uint32_t chunk);
// The record of an open job.
Json encodeOpen(const Job& job);
// The record of a job that ends in the given phase.
Json encodeFinal(const Job& job, JobPhase phase);

class JobTable;
// Whether the key is that of a progress record of a job that has ended.
bool isProgressKeyOfEndedJob(JobTable& jobs, const std::string& key);

// All jobs in the key-value store, by reference. Not thread-safe.
class JobTable {
 public:
  // The effect of a record on the table.
  enum class Change { none, accepted, ended, malformed };
  // Applies a job's record. A record that is not newer than the job's revision changes nothing.
  Change apply(const std::string& ref, const Json& value, std::uint64_t revision);
  // The job, or null. The pointer stays valid while the table exists.
  Job* find(const std::string& ref);
  // References of the open jobs.
  const std::set<std::string>& openJobs() const { return open_; }
  std::size_t size() const { return jobs_.size(); }

 private:
  Change applyOpen(const std::string& ref, const Json& value, std::uint64_t revision);
  Change applyFinal(const std::string& ref, JobPhase phase, const Json& value, std::uint64_t revision);

  std::unordered_map<std::string, Job> jobs_;
  std::set<std::string> open_;
};

}  // namespace reachhoist::jobs
