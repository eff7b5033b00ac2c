// The machines of the leader's partitions, and the task attempts placed on them.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jobs/jobs.hpp"

namespace reachhoist::machines {

using wire::Json;
using wire::Time;

// The phase of a task attempt.
enum class AttemptPhase {
  planned,        // the leader writes its placement record
  recorded,       // the placement record is durable, so the attempt can be started
  pulling,        // the worker reports that it pulls the image
  running,        // the worker reports that the task runs
  checkpointing,  // the worker reports that the task writes a checkpoint before its stop
  ended,          // the worker reports that the attempt has ended
  released        // proven to be no longer on the machine: it holds no capacity and can be dropped
};

// One attempt to run a task on a machine.
struct Attempt {
  wire::TaskId task;
  std::uint64_t number = 0;  // unique over all terms, but shared by the tasks of a gang's attempt
  wire::Resources resources;
  std::string team;
  std::string image;
  double imageSizeGb = 0;
  wire::Priority priority = wire::Priority::standard;
  bool isService = false;
  bool isGangMember = false;
  bool canCheckpoint = false;
  double checkpointDurationS = 0;  // time to write a checkpoint
  AttemptPhase phase = AttemptPhase::planned;
  wire::Cause cause = wire::Cause::none;  // why the attempt ended
  bool inherited = false;  // placed in an earlier term: the worker can have ended and forgotten it already
  bool stopRequested = false;
  double gracePeriodS = 0;  // time that the stop command leaves for a checkpoint
  bool stopSent = false;
  int directCommandsInFlight = 0;
  // Fencing token of a direct start command that the worker has not answered.
  std::optional<std::uint64_t> unresolvedStartToken;
  // Highest fencing token of a direct start command for the attempt, answered or not; 0 if there was none. A
  // repeat of that command takes effect until the worker has seen a higher token.
  std::uint64_t directStartToken = 0;
  std::optional<std::uint32_t> batch;     // that holds its placement record; none if there is no record
  std::uint64_t startSentInSequence = 0;  // sequence of the heartbeat whose answer first carried the start
  std::uint64_t incarnation = 0;          // of the worker that runs it; 0 until a heartbeat reports it
  Time phaseSince{};
  Time placedAt{};
  Time runningSince{};

  // Whether the attempt uses capacity of its machine.
  bool holdsCapacity() const { return phase != AttemptPhase::ended && phase != AttemptPhase::released; }
  // Whether the task's process exists on the machine.
  bool isExecuting() const { return phase == AttemptPhase::running || phase == AttemptPhase::checkpointing; }
  // Grace period for a stop in seconds: long enough for a checkpoint, or 0 if the task writes none.
  double stopGracePeriodS() const;
  // The only function that changes the phase.
  void setPhase(AttemptPhase next, Time now);
};

// The phase of a machine.
enum class MachinePhase {
  booting,          // requested from the cloud, without a heartbeat yet
  up,               // takes work
  draining,         // takes no new work, and its attempts are stopped or run to their end
  decommissioning,  // the leader writes the record of its termination
  terminating,      // the leader has requested its termination from the cloud
  terminated        // proven to no longer exist
};

// The state of the communication with a machine's worker, in both directions.
struct WorkerContact {
  Time lastHeartbeatAt{};      // answers to probes do not count, as they renew no lease
  Time lastDirectContactAt{};  // last heartbeat or answer that came without a relay
  Time leaseRenewedAt{};       // upper bound of the last renewal of the worker's lease
  // The worker has reported the newest fencing token, which proves that answers or commands reach it.
  bool tokenAcknowledged = false;
  Time unacknowledgedSince{};      // first answer with a token that the worker has not reported yet
  bool probeInFlight = false;      // a probe is under way because its heartbeats are overdue
  bool unreachable = false;        // it has not answered such a probe; the next heartbeat resets this
  bool takeoverProbeSent = false;  // it was probed because it has sent no heartbeat in this term
};

// Commands that are sent to the worker directly rather than in the answer to a heartbeat.
struct DirectCommands {
  bool inFlight = false;
  bool isDue = false;  // there are commands that a heartbeat's answer is unlikely to carry soon
  Time nextSendAt{};   // no command is sent before this time
};

// The failures of tasks on a machine that are not attributed to their jobs.
struct MachineFailures {
  int consecutiveErrors = 0;
  std::set<std::string> failedJobs;  // references of the jobs whose tasks failed
  Time suspectUntil{};               // the machine gets no new work before this time
  bool quarantined = false;          // the machine is at fault and gets no work any more

  // Clears the counted failures, so that the machine is no longer suspect. A quarantine stays.
  void clearSuspicion();
};

// A machine, booting or up, with its task attempts.
struct Machine {
  wire::HostName host;
  std::string endpoint;  // address of the worker
  std::string machineType;
  std::string zone;
  bool spot = false;
  wire::Resources capacity;
  double imageCacheGb = 0;  // size of the image cache; 0 if unknown
  double imagePullGbPerS = 1;
  MachinePhase phase = MachinePhase::booting;
  std::uint64_t incarnation = 0;            // of the worker; 0 until a heartbeat reports it
  std::uint64_t lastHeartbeatSequence = 0;  // 0 if there is no heartbeat in this term
  std::uint64_t workerToken = 0;            // highest fencing token that the worker has reported
  std::uint64_t fencingSequence = 0;        // counts the machine's fencing tokens in this term
  bool transactionInFlight = false;         // a transaction that concerns the machine is under way
  WorkerContact contact;
  DirectCommands directCommands;
  MachineFailures failures;
  const char* decommissionReason = "";
  Time provisionedAt{};  // time of its instance request
  Time upSince{};
  Time listedUpAt{};  // time of the first instance list that named it as running
  Time idleSince{};
  std::optional<Time> spotNoticeAt;  // time at which the cloud reclaims the spot instance
  std::vector<Attempt> attempts;
  std::map<std::string, double> images;  // images in the cache, with their sizes in GB

  // The only function that changes the phase.
  void setPhase(MachinePhase next, Time now);
  wire::Resources freeCapacity() const;
  // Whether no attempt holds capacity. The machine can still list ended attempts.
  bool isIdle() const;
  // The attempt, or null if the machine has none like it.
  Attempt* find(const wire::TaskId& task, std::uint64_t number);
  // Whether an attempt that holds capacity on the machine pulls or uses the image.
  bool isPulling(const std::string& image) const;
  bool hasImage(const std::string& image) const { return images.contains(image); }
  // The time that a pull of this size takes, in seconds.
  double pullSeconds(double gigabytes) const;
  // Records that the image is in the cache.
  void recordImage(const std::string& image, double imageSizeGb);
};

// The machines by host name. Not thread-safe.
class MachineTable {
 public:
  // The machine, or null if the table has none. The pointer stays valid until the machine is removed.
  Machine* find(const std::string& host);
  // Returns the machine, and adds it if it is not in the table yet.
  Machine& add(const std::string& host);
  void remove(const std::string& host) { machines_.erase(host); }
  void clear() { machines_.clear(); }
  std::map<std::string, Machine>& all() { return machines_; }
  const std::map<std::string, Machine>& all() const { return machines_; }

 private:
  std::map<std::string, Machine> machines_;
};

}  // namespace reachhoist::machines
