// The messages of the service's interfaces as plain values. This package does no I/O, so that clients can use
// it too. Names that end in S hold seconds, and names that end in Gb hold gigabytes.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace reachhoist::wire {

// A name that is plain text on the wire. The tag gives the names of different kinds of things different
// types.
template <class Tag>
struct Name {
  std::string text;
  auto operator<=>(const Name&) const = default;
  bool empty() const { return text.empty(); }
};
// The name of a job: "job-" followed by digits.
using JobRef = Name<struct JobRefTag>;
// The name of a machine.
using HostName = Name<struct HostNameTag>;

// Identifies a task by its job and its index in the job, which counts from 0.
struct TaskId {
  JobRef job;
  std::uint32_t index = 0;
  auto operator<=>(const TaskId&) const = default;
  // Returns the form used on the wire and in stored keys, such as "job-1/0".
  std::string str() const { return job.text + "/" + std::to_string(index); }
};
// Parses the form that TaskId::str() writes. Returns nothing if the text does not have that form.
std::optional<TaskId> parseTaskId(std::string_view text);
// Returns whether the text has the form of a JobRef.
bool isValidJobRef(std::string_view text);

// How the tasks of a job run. The tasks of an `array` are independent and end by themselves. The tasks of a
// `service` run until the job is aborted. The tasks of a `gang`, which the wire calls `ensemble`, either all
// run at the same time or do not run at all.
enum class JobKind { array, service, gang };
// The priority of a job, lowest first.
enum class Priority { bestEffort, standard, high, prod };
// The state of a job as its user sees it.
enum class JobStage { pending, running, done, cancelled };
// These functions return the names on the wire.
std::string_view name(JobKind kind);
std::string_view name(Priority priority);
std::string_view name(JobStage stage);
// Returns whether a job in this stage never changes again.
inline bool isFinal(JobStage stage) { return stage == JobStage::done || stage == JobStage::cancelled; }

// An amount of each resource, which a task requests or a machine offers.
struct Resources {
  double vcpus = 0;
  double accelerators = 0;
  double memoryGb = 0;

  bool operator==(const Resources&) const = default;
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  // Returns whether no resource exceeds the capacity. Rounding errors of repeated sums are tolerated.
  bool fitsIn(const Resources& capacity) const;
  // Returns how many tasks with these resources fit into the capacity together, at most `maxCount`. It is 0
  // exactly if `fitsIn` is false or `maxCount` is 0. The tolerance applies once, not once for each task.
  std::uint32_t countFittingIn(const Resources& capacity, std::uint32_t maxCount) const;
};
// Returns the resources of `count` tasks.
Resources operator*(const Resources& taskResources, std::uint32_t count);

// A submitted job.
struct JobSpec {
  JobRef ref;
  std::string jobClass;
  std::string team;
  JobKind kind = JobKind::array;
  Priority priority = Priority::standard;
  std::uint32_t taskCount = 1;
  Resources taskResources;  // of each task
  // The machine types that the job may use. Without a list it may use every type.
  std::optional<std::vector<std::string>> allowedMachineTypes;
  std::optional<std::string> requiredZone;  // Without a value the job may run in every zone.
  bool singleZone = false;                  // All tasks must run in the same zone.
  bool spreadZones = false;                 // At most half of the tasks, rounded up, may run in one zone.
  bool allowsSpot = false;                  // The tasks may run on spot instances.
  std::string image;
  double imageSizeGb = 0;
  double expectedRunTimeS = 0;      // the user's estimate for one task, without the image pull
  double checkpointIntervalS = 0;   // progress between checkpoints; 0 if the tasks write no checkpoints
  double checkpointDurationS = 0;   // time that a stopped task needs to write a checkpoint
  std::optional<double> deadlineS;  // counted from the submission

  // Returns whether the job may run on machines of this type.
  bool allowsMachineType(std::string_view machineType) const;
};

// The state of a task attempt on its worker. A task in `checkpointing` has received a stop command and writes
// a checkpoint. `unrecognized` stands for a state or cause of a later protocol version; the task is still
// counted as present on the worker.
enum class TaskState { pulling, waiting, running, checkpointing, ended, unrecognized };
// The reason why a task ended; `none` while it has not ended. `insufficientCapacity`, `inUse` and `unknown`
// mean that the worker refused to start the task. `gangTaskLost` means that the gang lost another task, and
// `gangIncomplete` that the gang was not complete in time.
enum class Cause {
  none,
  done,
  stopped,
  error,
  insufficientCapacity,
  inUse,
  unknown,
  gangTaskLost,
  gangIncomplete
};

// A worker's report on one attempt at a task.
struct TaskStatus {
  TaskId task;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::pulling;
  Cause cause = Cause::none;
  bool checkpointed = false;  // The task wrote a checkpoint when it was stopped.
};

// The message that a worker sends periodically to the controllers.
struct WorkerHeartbeat {
  HostName host;
  std::string endpoint;  // "ip:port" at which the worker accepts commands
  std::string machineType;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;   // increases each time the worker's lease expires
  std::uint64_t sequence = 0;      // increases with each heartbeat and command response of an incarnation
  std::uint64_t fencingToken = 0;  // the highest that the worker has received
  // Set once the cloud has announced that it will reclaim the spot instance.
  std::optional<double> timeUntilReclaimS;
  std::vector<TaskStatus> tasks;
};

// What a worker does with a task attempt: `start` runs it, `stop` ends it within the grace period, and
// `forget` deletes the worker's record of an ended attempt.
enum class CommandVerb { start, stop, forget };
// A command to a worker about one attempt at a task.
struct Command {
  CommandVerb verb = CommandVerb::start;
  TaskId task;
  std::uint64_t attempt = 0;
  double gracePeriodS = 0;  // time to write a checkpoint; only for `stop`
};

// A machine type in the cloud's catalogue.
struct MachineType {
  std::string name;
  Resources capacity;
  double imageCacheGb = 0;  // size of the image cache
  double imagePullGbPerS = 1;
  double onDemandPricePerHour = 0;
  double spotPricePerHour = 0;
  double nominalBootTimeS = 0;
  std::vector<std::string> zones;  // the zones that offer the type
};

// The machine type with this name, or null if the catalogue does not offer it.
const MachineType* findMachineType(const std::vector<MachineType>& catalog, std::string_view name);

// The state of an instance in the cloud's list.
enum class InstanceState { starting, running, failed };
// An instance in the cloud's list.
struct InstanceEntry {
  HostName host;
  std::string endpoint;  // empty until the instance is running
  std::string machineType;
  std::string zone;
  bool spot = false;
  InstanceState state = InstanceState::starting;
  double ageS = 0;  // time since the instance was requested
};

}  // namespace reachhoist::wire
