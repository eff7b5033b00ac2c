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
  planned,        // its placement record is being written
  recorded,       // the record is durable: the attempt may be started
  pulling,        // as the worker reports: its image is being pulled
  running,        // as the worker reports
  checkpointing,  // as the worker reports: a checkpoint is being written before the stop
  ended,          // as the worker reports
  released        // proven gone: it holds no capacity and can be dropped
};

// One attempt to run a task on a machine.
struct Attempt {
  wire::TaskId task;
  std::uint64_t number = 0;  // unique over all terms; the tasks of a gang share theirs
  wire::Resources resources;
  std::string team;
  std::string image;
  double imageSizeGb = 0;  // of the image
  wire::Priority priority = wire::Priority::standard;
  bool isService = false;
  bool isGangMember = false;
  bool canCheckpoint = false;      // writes checkpoints
  double checkpointDurationS = 0;  // time to write one
  AttemptPhase phase = AttemptPhase::planned;
  wire::Cause cause = wire::Cause::none;  // why it ended
  bool inherited = false;  // from an earlier term: it may have ended and been forgotten by the worker already
  bool stopRequested = false;
  double gracePeriodS = 0;  // time that the stop command allows for a checkpoint
  bool stopSent = false;    // a stop command has been sent
  int directCommandsInFlight = 0;
  std::optional<std::uint64_t> unresolvedStartToken;  // fencing token of a direct start without an answer
  std::optional<std::uint32_t> batch;     // placement batch that holds its record; none: not recorded by us
  std::uint64_t startSentInSequence = 0;  // sequence of the heartbeat whose answer first carried the start
  std::uint64_t incarnation = 0;          // of the worker that runs it; 0: not known yet
  Time phaseSince{};
  Time placedAt{};
  Time runningSince{};

  // Whether it takes up capacity of its machine.
  bool holdsCapacity() const { return phase != AttemptPhase::ended && phase != AttemptPhase::released; }
  // Whether its process exists on the machine.
  bool isExecuting() const { return phase == AttemptPhase::running || phase == AttemptPhase::checkpointing; }
  // Grace period for a stop in seconds: long enough for a checkpoint, if the task writes any.
  double stopGraceS() const;
  // The one function that changes the phase.
  void setPhase(AttemptPhase next, Time now);
};

// The phase of a machine.
enum class MachinePhase {
  booting,          // requested from the cloud; no heartbeat yet
  up,               // takes work
  draining,         // takes no new work; its attempts are stopped or run to their end
  decommissioning,  // the record of its termination is being written
  terminating,      // the cloud has been asked to terminate it
  terminated        // proven gone
};

// What is known of the connection to a machine's worker, in both directions.
struct WorkerContact {
  Time lastHeartbeatAt{};      // last heartbeat; answers to probes do not count, as they renew no lease
  Time lastDirectContactAt{};  // last heartbeat or answer that came without a relay
  Time leaseRenewedAt{};       // no answer that renews the worker's lease was given after this
  // The worker has been seen with the newest fencing token: our answers or commands reach it.
  bool tokenAcknowledged = false;
  Time unacknowledgedSince{};      // first answer with a token that the worker has not been seen with
  bool probeInFlight = false;      // asked for its state because its heartbeats are overdue
  bool unreachable = false;        // and did not answer; reset by the next heartbeat
  bool takeoverProbeSent = false;  // asked for its state because it has sent no heartbeat in this term
};

// Commands that are sent to the worker directly rather than in the answer to a heartbeat.
struct DirectCommands {
  bool inFlight = false;
  bool due = false;   // there are commands that no heartbeat is likely to carry soon
  Time nextSendAt{};  // none is sent before
};

// Failures of tasks on a machine, while it is open whether the machine is at fault.
struct MachineFaults {
  int consecutiveErrors = 0;
  std::set<std::string> failedJobs;  // references
  Time suspectUntil{};               // takes no new work before
  bool quarantined = false;          // the machine is at fault: it takes no work any more

  // The machine is not suspected any more. A quarantine stays.
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
  double imageCacheGb = 0;  // size of the image cache; 0: not known
  double imagePullGbPerS = 1;
  MachinePhase phase = MachinePhase::booting;
  std::uint64_t incarnation = 0;      // of the worker; 0: not known yet
  std::uint64_t sequence = 0;         // of the last heartbeat; 0: none in this term
  std::uint64_t workerToken = 0;      // highest fencing token that the worker is known to have seen
  std::uint64_t fencingSequence = 0;  // counts the machine's fencing tokens in this term
  bool transactionInFlight = false;   // a transaction that concerns the machine is under way
  WorkerContact contact;
  DirectCommands directCommands;
  MachineFaults faults;
  const char* decommissionReason = "";
  Time provisionedAt{};  // when the cloud was asked for it
  Time upSince{};
  Time listedUpAt{};  // the first list of instances that named it as running
  Time idleSince{};
  std::optional<Time> spotNoticeAt;  // when the cloud will take it back
  std::vector<Attempt> attempts;
  std::map<std::string, double> images;  // in the image cache: image -> GB

  // The one function that changes the phase.
  void setPhase(MachinePhase next, Time now);
  wire::Resources freeCapacity() const;
  // Whether no attempt holds capacity.
  bool empty() const;
  // The attempt, or null.
  Attempt* find(const wire::TaskId& task, std::uint64_t number);
  // Whether an attempt on the machine pulls or uses the image.
  bool isPulling(const std::string& image) const;
  bool hasImage(const std::string& image) const { return images.contains(image); }
  // Seconds that a pull of so many GB takes.
  double pullSeconds(double gigabytes) const;
  // Records that the image is in the cache.
  void recordImage(const std::string& image, double imageSizeGb);
};

// The machines by host name. Not thread-safe.
class MachineTable {
 public:
  // The machine, or null. Pointers stay valid until the machine is removed.
  Machine* find(const std::string& host);
  // The machine, added if it is not in the table yet.
  Machine& add(const std::string& host);
  void remove(const std::string& host) { machines_.erase(host); }
  void clear() { machines_.clear(); }
  std::map<std::string, Machine>& all() { return machines_; }
  const std::map<std::string, Machine>& all() const { return machines_; }

 private:
  std::map<std::string, Machine> machines_;
};

}  // namespace reachhoist::machines
