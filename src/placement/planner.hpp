// Placement planning: which waiting task goes to which machine, and which attempts are preempted for others.
// Decisions only: nothing here changes jobs or machines.
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

// A task that is to start on a machine.
struct Assignment {
  Job* job = nullptr;
  std::uint32_t index = 0;  // of the task
  Machine* machine = nullptr;
};

// An attempt that is to be stopped to free capacity for other work.
struct Preemption {
  Machine* machine = nullptr;
  wire::TaskId task;
  std::uint64_t attempt = 0;  // attempt number
  double gracePeriodS = 0;    // time that the stop allows for a checkpoint
};

// Tasks of a job for which there was no capacity; input to the sizing of the fleet.
struct UnplacedDemand {
  const Job* job = nullptr;
  std::uint32_t tasks = 0;
};

// The decisions of one placement round.
struct PlacementPlan {
  std::vector<Assignment> assignments;
  std::vector<Preemption> preemptions;
  std::vector<UnplacedDemand> unplaced;
  bool triedSharePreemption = false;  // the round looked for attempts to preempt for fair shares
  std::size_t sharePreemptions = 0;   // of the preemptions, those for fair shares; a gang counts once
};

// The input of one placement round. All that it points to must outlive the round and its plan.
struct SchedulingInput {
  const config::Settings& settings;
  Time now{};
  std::int64_t wallClockMs = 0;      // wall clock, milliseconds since the epoch
  std::vector<Job*> waitingJobs;     // open jobs with waiting tasks
  std::vector<const Job*> openJobs;  // all open jobs
  std::vector<Machine*> machines;    // all that are not terminated
  std::size_t maxJobs = 30;          // jobs that may get tasks: each is a condition of the transaction
  std::size_t maxTasks = constants::kMaxPlacementsPerRound;
  std::size_t maxPreemptions = constants::kMaxPreemptionsPerRound;
  const shares::Table* shares = nullptr;  // null: no fair shares
  bool mayPreemptForShares = false;       // whether this round may preempt for fair shares
};

// Decides one placement round.
PlacementPlan planPlacements(const SchedulingInput& input);

// Whether machines of this kind may run the job at all, whatever its other tasks do.
bool isEligible(const wire::JobSpec& job, const std::string& machineType, const std::string& zone, bool spot);

// Whether one more task may go to the zone under the job's zone rules (`singleZone`, `spreadZones`), given
// the number of its placed tasks by zone.
bool zoneSpreadAllows(const wire::JobSpec& job, const std::map<std::string, std::uint32_t>& placed,
                      const std::string& zone);

// References of the jobs within their team's guarantee: those that fit into it together with the team's
// earlier unfinished jobs.
std::unordered_set<std::string> guaranteedJobs(const config::Settings& settings,
                                               const std::vector<const Job*>& openJobs);

// Which jobs are served before fair shares apply: those of high priority, and those within a guarantee.
shares::RanksAbove ranksAboveShares(const config::Settings& settings,
                                    const std::vector<const Job*>& openJobs);

}  // namespace reachhoist::placement
