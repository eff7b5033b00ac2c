// The messages of the service's interfaces as plain values, without I/O, so that clients may use this
// package too. Times ending in S are seconds, sizes ending in Gb are gigabytes.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace reachhoist::wire {

// A name that is plain text on the wire. The tag makes names of different things different types.
template <class Tag>
struct Name {
  std::string text;
  auto operator<=>(const Name&) const = default;
  bool empty() const { return text.empty(); }
};
// Name of a job, "job-" and digits.
using JobRef = Name<struct JobRefTag>;
// Name of a machine.
using HostName = Name<struct HostNameTag>;

// A task of a job by its index, which counts from 0.
struct TaskId {
  JobRef job;
  std::uint32_t index = 0;
  auto operator<=>(const TaskId&) const = default;
  // The form used on the wire and in stored keys: "job-1/0".
  std::string str() const { return job.text + "/" + std::to_string(index); }
};
// Reads the form that TaskId::str() writes; nothing if the text is not of that form.
std::optional<TaskId> parseTaskId(std::string_view text);
// Whether the text has the form of a JobRef.
bool validJobRef(std::string_view text);

// array: independent tasks that end. service: tasks that run until aborted. gang: all tasks run at the same
// time or none does; the wire calls it `ensemble`.
enum class JobKind { array, service, gang };
// Priority of a job, lowest first.
enum class Priority { bestEffort, standard, high, prod };
// State of a job as its user sees it.
enum class JobStage { pending, running, done, cancelled };
// Names on the wire.
std::string_view name(JobKind kind);
std::string_view name(Priority priority);
std::string_view name(JobStage stage);
// Whether a job in this stage never changes again.
inline bool isFinal(JobStage stage) { return stage == JobStage::done || stage == JobStage::cancelled; }

// An amount of each resource of a machine: what a task takes, or what a machine has.
struct Resources {
  double vcpus = 0;
  double accelerators = 0;
  double memoryGb = 0;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  // Whether no resource exceeds the capacity, up to rounding errors of repeated sums.
  bool fitsIn(const Resources& capacity) const;
};

// A submitted job.
struct JobSpec {
  JobRef ref;
  std::string jobClass;
  std::string team;
  JobKind kind = JobKind::array;
  Priority priority = Priority::standard;
  std::uint32_t taskCount = 1;
  Resources each;                                        // of each task
  std::optional<std::vector<std::string>> machineTypes;  // the types it may run on; none: any
  std::optional<std::string> zone;                       // the zone it must run in; none: any
  bool oneZone = false;                                  // all tasks in the same zone
  bool apart = false;                                    // at most half of the tasks, rounded up, in one zone
  bool spot = false;                                     // may run on spot instances
  std::string image;
  double sizeGb = 0;            // of the image
  double expectS = 0;           // the user's estimate of a task's run time without the image fetch
  double checkpointEveryS = 0;  // interval of progress between checkpoints; 0: the tasks write none
  double checkpointS = 0;       // time to write a checkpoint when stopped
  std::optional<double> dueS;   // deadline, from the submission on

  // Whether the job may run on machines of this type.
  bool allowsMachineType(std::string_view machineType) const;
};

// State of a task on its worker. saving: told to stop, writes a checkpoint. unfamiliar: a state or cause of a
// later protocol version; such a task is counted as still present.
enum class TaskState { pulling, waiting, running, saving, ended, unfamiliar };
// Why a task ended. none: it has not. insufficientCapacity, inUse, unknown: its start was refused. peers,
// alone: a gang's task whose gang lost another task, or was not complete in time.
enum class Cause { none, done, halted, error, insufficientCapacity, inUse, unknown, peers, alone };

// A worker's report on one attempt at a task.
struct TaskStatus {
  TaskId task;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::pulling;
  Cause cause = Cause::none;
  bool stored = false;  // its progress was checkpointed when it was stopped
};

// What a worker sends periodically to the controllers.
struct WorkerHeartbeat {
  HostName host;
  std::string endpoint;  // "ip:port" on which the worker takes commands
  std::string machineType;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;      // grows each time the worker's lease expires
  std::uint64_t sequence = 0;         // grows with each heartbeat and command response of one incarnation
  std::uint64_t token = 0;            // highest fencing token the worker has seen
  std::optional<double> spotNoticeS;  // time left until a spot instance is reclaimed
  std::vector<TaskStatus> tasks;
};

// start: run the attempt. stop: end it within the grace period. forget: drop the record of an ended one.
enum class CommandVerb { start, stop, forget };
// A command to a worker about one attempt at a task.
struct Command {
  CommandVerb verb = CommandVerb::start;
  TaskId task;
  std::uint64_t attempt = 0;
  double graceS = 0;  // of a stop: time to write a checkpoint
};

// A machine type of the cloud's catalogue.
struct MachineType {
  std::string label;
  Resources capacity;
  double cacheGb = 0;              // of the image cache
  double pullGbPerS = 1;           // rate at which images are pulled
  double rate = 0;                 // on-demand price per hour
  double marketPrice = 0;          // spot price per hour
  double bootS = 0;                // nominal boot time
  std::vector<std::string> zones;  // in which it is offered
};

// State of an instance in the cloud's list.
enum class InstanceState { starting, running, failed };
// An instance in the cloud's list.
struct InstanceEntry {
  HostName ref;
  std::string endpoint;  // empty until the instance runs
  std::string machineType;
  std::string zone;
  bool spot = false;
  InstanceState state = InstanceState::starting;
  double ageS = 0;  // since the instance request
};

}  // namespace reachhoist::wire
