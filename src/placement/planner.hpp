// Placement planning: decides which waiting task goes to which machine, and which attempts are preempted for
// other tasks. Planning does not change jobs or machines.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

#include "machines/machines.hpp"
#include "shares/usage.hpp"

namespace reachhoist::placement {

using jobs::Job;
using machines::Machine;
using wire::Time;

// The decision to start a task on a machine.
struct Assignment {
  Job* job = nullptr;
  std::uint32_t taskIndex = 0;
  Machine* machine = nullptr;
};

// The decision to stop an attempt and so to free capacity for other tasks.
struct Preemption {
  Machine* machine = nullptr;
  wire::TaskId task;
  std::uint64_t attemptNumber = 0;
  double gracePeriodS = 0;  // time that the stop command allows for a checkpoint
};

// The number of tasks of a job for which a round found no capacity. The sizing of the fleet uses it.
struct UnplacedDemand {
  const Job* job = nullptr;
  std::uint32_t taskCount = 0;
};

// The decisions of one placement round.
struct PlacementPlan {
  std::vector<Assignment> assignments;
  std::vector<Preemption> preemptions;
  std::vector<UnplacedDemand> unplaced;
  bool searchedForShareVictims = false;  // the round searched for attempts to preempt for fair shares
  std::size_t sharePreemptions = 0;  // number of preemptions for fair shares; a preempted gang counts once
};

// The input of one placement round. Everything that it points to must outlive the round and its plan.
struct SchedulingInput {
  const config::Settings& settings;
  Time now{};
  std::int64_t wallClockMs = 0;      // milliseconds since the epoch
  std::vector<Job*> waitingJobs;     // open jobs with waiting tasks
  std::vector<const Job*> openJobs;  // all open jobs
  std::vector<Machine*> machines;    // all machines that are not terminated
  std::size_t maxJobs = 30;          // jobs that can get tasks; each needs a condition in the transaction
  std::size_t maxTasks = constants::kMaxPlacementsPerRound;
  std::size_t maxPreemptions = constants::kMaxPreemptionsPerRound;
  const shares::Table* shares = nullptr;  // null if fair shares are off
  bool canPreemptForShares = false;       // whether this round can preempt attempts for fair shares
};

// Plans one placement round.
PlacementPlan planPlacements(const SchedulingInput& input);

// Whether machines of this type, zone and market can run tasks of the job, regardless of its placed tasks.
bool isEligible(const wire::JobSpec& job, const std::string& machineType, const std::string& zone, bool spot);

// How many more tasks of the job its zone rules (`singleZone`, `spreadZones`) allow in the zone, given the
// number of its placed tasks by zone. At most the job's number of tasks.
std::uint32_t zoneSpreadAllowance(const wire::JobSpec& job,
                                  const std::map<std::string, std::uint32_t>& placedByZone,
                                  const std::string& zone);

// Whether these zone rules allow one more task in the zone.
bool zoneSpreadAllows(const wire::JobSpec& job, const std::map<std::string, std::uint32_t>& placedByZone,
                      const std::string& zone);

// The references of the jobs within their team's guarantee. A job is within the guarantee if it fits into it
// together with the team's unfinished jobs that were accepted earlier.
std::unordered_set<std::string> guaranteedJobs(const config::Settings& settings,
                                               const std::vector<const Job*>& openJobs);

// The jobs that are exempt from fair shares: those of high priority or above, and those within their team's
// guarantee.
shares::ShareExemption shareExemption(const config::Settings& settings,
                                      const std::vector<const Job*>& openJobs);

}  // namespace reachhoist::placement
