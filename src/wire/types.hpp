// The messages of the service's interfaces, as values. No I/O here: clients may use this package too.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace reachhoist::wire {

// Names of things that are all text on the wire are told apart by type.
template <class Tag>
struct Name {
  std::string text;
  auto operator<=>(const Name&) const = default;
  bool empty() const { return text.empty(); }
};
using JobRef = Name<struct JobRefTag>;
using HostName = Name<struct HostNameTag>;

struct TaskId {
  JobRef job;
  std::uint32_t index = 0;
  auto operator<=>(const TaskId&) const = default;
  std::string str() const { return job.text + "/" + std::to_string(index); }
};
std::optional<TaskId> parseTaskId(std::string_view text);
bool validJobRef(std::string_view text);

// gang: all tasks run at the same time or none does; the wire calls it `ensemble`.
enum class JobKind { array, service, gang };
enum class Priority { best_effort, standard, high, prod };
enum class Stage { pending, running, done, cancelled };
std::string_view name(JobKind kind);
std::string_view name(Priority priority);
std::string_view name(Stage stage);
inline bool isFinal(Stage stage) { return stage == Stage::done || stage == Stage::cancelled; }

// What one task takes of its machine.
struct Resources {
  double vcpus = 0;
  double accelerators = 0;
  double memoryGb = 0;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  bool fitsIn(const Resources& capacity) const;
};

struct JobSpec {
  JobRef ref;
  std::string jobClass;
  std::string team;
  JobKind kind = JobKind::array;
  Priority priority = Priority::standard;
  std::uint32_t taskCount = 1;
  Resources each;
  std::optional<std::vector<std::string>> machineTypes;
  std::optional<std::string> zone;
  bool oneZone = false;
  bool apart = false;
  bool spot = false;
  std::string image;
  double sizeGb = 0;
  double expectS = 0;
  double checkpointEveryS = 0;
  double checkpointS = 0;
  std::optional<double> dueS;

  bool allowsMachineType(std::string_view machineType) const;
};

// unfamiliar: a state or cause of a later protocol. The task counts as still there.
enum class TaskState { pulling, waiting, running, saving, ended, unfamiliar };
// peers, alone: a gang's task whose gang lost another task, or was not complete in time.
enum class Cause { none, done, halted, error, insufficientCapacity, inUse, unknown, peers, alone };

struct TaskStatus {
  TaskId task;
  std::uint64_t attempt = 0;
  TaskState stage = TaskState::pulling;
  Cause cause = Cause::none;
  bool stored = false;
};

struct WorkerHeartbeat {
  HostName host;
  std::string endpoint;
  std::string machineType;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t token = 0;
  std::optional<double> spotNoticeS;
  std::vector<TaskStatus> tasks;
};

enum class CommandVerb { start, stop, forget };
struct Command {
  CommandVerb verb = CommandVerb::start;
  TaskId task;
  std::uint64_t attempt = 0;
  double graceS = 0;
};

struct MachineType {
  std::string label;
  Resources capacity;
  double cacheGb = 0;
  double pullGbPerS = 1;
  double rate = 0;
  double marketPrice = 0;
  double bootS = 0;
  std::vector<std::string> zones;
};

enum class HostStage { starting, running, failed };
struct HostEntry {
  HostName ref;
  std::string endpoint;
  std::string machineType;
  std::string zone;
  bool spot = false;
  HostStage stage = HostStage::starting;
  double ageS = 0;
};

}  // namespace reachhoist::wire
