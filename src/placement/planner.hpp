// Which waiting task goes to which machine, and what may be stopped to make room. Decisions only: nothing
// here changes jobs or machines.
#pragma once

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

struct Assignment {
  Job* job = nullptr;
  std::uint32_t index = 0;
  Machine* machine = nullptr;
};

struct Stop {
  Machine* machine = nullptr;
  wire::TaskId task;
  std::uint64_t attempt = 0;
  double graceS = 0;
};

// Work that found no room: what sizing follows.
struct UnplacedDemand {
  const Job* job = nullptr;
  std::uint32_t tasks = 0;
};

struct Plan {
  std::vector<Assignment> assignments;
  std::vector<Stop> stops;
  std::vector<UnplacedDemand> unplaced;
  bool triedSharePreemption = false;  // looked for work to stop for the sake of shares
  std::size_t sharePreemptions = 0;   // of the stops, those for the sake of shares; a gang counts once
};

struct TeamUse {
  double cpus = 0;
  double gpus = 0;
};

struct World {
  const config::Settings& settings;
  Time now{};
  std::int64_t wallMs = 0;
  std::vector<Job*> jobs;          // open ones with waiting tasks
  std::vector<const Job*> open;    // all open ones
  std::vector<Machine*> machines;  // all that are not gone
  std::size_t maxJobs = 30;        // conditions left for jobs in one transaction
  std::size_t maxTasks = constants::kMaxTasksPerRound;
  std::size_t maxStops = constants::kMaxStopsPerRound;
  const shares::Table* shares = nullptr;  // none: nothing is divided
  bool mayPreemptForShares = false;       // whether this round may stop work for the sake of shares
};

// Whether machines of this kind may run the job at all (its other tasks aside).
bool allows(const wire::JobSpec& job, const std::string& machineType, const std::string& zone, bool spot);

Plan plan(const World& world);

// Refs of the jobs within their team's guarantee: those that fit into it together with the team's earlier
// unfinished jobs.
std::unordered_set<std::string> guaranteedJobs(const config::Settings& settings,
                                               const std::vector<const Job*>& open);

// Which jobs are served first whatever the shares are: services and the like, and work within a guarantee.
shares::RanksAbove ranksAboveShares(const config::Settings& settings, const std::vector<const Job*>& open);

// Whether one more task may go to the zone (`oneZone`, `apart`), given those placed now.
bool zoneAllows(const wire::JobSpec& job, const std::map<std::string, std::uint32_t>& placed,
                const std::string& zone);

}  // namespace reachhoist::placement
