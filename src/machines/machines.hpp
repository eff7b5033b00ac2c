// The machines of the parts owned here, and the attempts placed on them.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jobs/jobs.hpp"

namespace reachhoist::machines {

using wire::Json;
using wire::Time;

// planned: its record is being written. recorded: durable, may be started. pulling, running, saving, ended:
// as the worker reports. free: proven gone; it holds nothing and can be dropped.
enum class AttemptPhase { planned, recorded, pulling, running, saving, ended, free };

struct Attempt {
  wire::TaskId task;
  std::uint64_t number = 0;
  wire::Resources each;
  std::string team;
  std::string image;
  double sizeGb = 0;
  wire::Priority priority = wire::Priority::standard;
  bool isService = false;
  bool gang = false;
  bool saves = false;
  double checkpointS = 0;
  AttemptPhase phase = AttemptPhase::planned;
  wire::Cause cause = wire::Cause::none;
  bool inherited = false;  // from an earlier leader: it may have ended and been forgotten already
  bool stopWanted = false;
  double graceS = 0;
  bool stopSent = false;
  int directCommandsInFlight = 0;                     // direct commands for it on their way
  std::optional<std::uint64_t> unresolvedStartToken;  // of a direct start that got no answer
  std::optional<std::uint32_t> batch;                 // the page that holds it; none: a stray one
  std::uint64_t startSentInSequence =
      0;                          // sequence number of the report whose answer first carried the start
  std::uint64_t incarnation = 0;  // the worker's session it belongs to; 0: not known yet
  Time since{};                   // of the phase
  Time placedAt{};
  Time runningSince{};

  bool holdsCapacity() const { return phase != AttemptPhase::ended && phase != AttemptPhase::free; }
  bool onMachine() const { return phase == AttemptPhase::running || phase == AttemptPhase::saving; }
  void to(AttemptPhase next, Time now);
};

// booting: rented, not heard of. up: takes work. draining: gets no work, what it has is stopped or left to
// end. retiring: the record that says so is being written. returning: the cloud has been asked to take it
// back. gone: proven.
enum class MachinePhase { booting, up, draining, decommissioning, terminating, terminated };

struct Machine {
  wire::HostName host;
  std::string endpoint;
  std::string machineType;
  std::string zone;
  bool spot = false;
  wire::Resources total;
  double cacheGb = 0;
  double pullGbPerS = 1;
  MachinePhase phase = MachinePhase::booting;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t workerToken = 0;       // highest the worker is known to have seen
  std::uint64_t fencingSequence = 0;   // counts fencing tokens under this term
  bool recordBusy = false;             // a transaction that concerns it is under way
  bool directCommandInFlight = false;  // a direct command is under way
  bool probing = false;                // asked for its state because its reports are overdue
  bool unreachable = false;            // and gave no answer; unset by its next report
  bool probedUnheard = false;          // asked for its state because it had not reported under this term
  bool commandsDue = false;            // orders have come up that no report is likely to carry soon
  // It has been seen with the newest token: our answers or commands reach it.
  bool tokenAcknowledged = false;
  Time unacknowledgedSince{};  // first answer with a token that it has not been seen with
  bool returnAsked = false;
  const char* decommissionReason = "";
  Time provisionedAt{};
  Time upSince{};
  Time listedUpAt{};           // the first list that named it as running
  Time lastHeartbeatAt{};      // by report: that it can be asked doesn't keep its lease
  Time lastDirectContactAt{};  // by report or answer of its own to us, not by way of a sibling
  Time leaseRenewedAt{};       // no answer that renews its lease was given after this
  Time idleSince{};
  Time nextDirectAt{};
  std::optional<Time> spotNoticeAt;
  std::vector<Attempt> attempts;
  std::map<std::string, double> images;  // images it has: GB
  int consecutiveErrors = 0;
  std::set<std::string> failedJobs;
  Time suspectUntil{};  // gets no new work before
  bool quarantined = false;

  void to(MachinePhase next, Time now);
  wire::Resources freeCapacity() const;
  bool empty() const;  // nothing holds room
  // It is not suspected of failing tasks any more.
  void clearErrors();
  Attempt* find(const wire::TaskId& task, std::uint64_t number);
  bool fetching(const std::string& image) const;
  bool has(const std::string& image) const { return images.contains(image); }
  void noteImage(const std::string& image, double sizeGb);
};

class MachineTable {
 public:
  Machine* find(const std::string& host);
  Machine& add(const std::string& host);
  void remove(const std::string& host) { machines_.erase(host); }
  void clear() { machines_.clear(); }
  std::map<std::string, Machine>& all() { return machines_; }
  const std::map<std::string, Machine>& all() const { return machines_; }

 private:
  std::map<std::string, Machine> machines_;
};

}  // namespace reachhoist::machines
