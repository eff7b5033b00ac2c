// Machines as the bins of one placement round: their remaining capacity, and a job's start delay on them.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "placement/planner.hpp"

namespace reachhoist::placement {

// A machine that accepts work, with the capacity that this round has not assigned yet.
struct Bin {
  Machine* machine;
  wire::Resources freeCapacity;
  wire::Priority lowestPriority = wire::Priority::prod;  // of all attempts that are not being stopped
  bool hasStoppingAttempts = false;
  wire::Resources stoppingCapacity;  // held by attempts that are being stopped
  wire::Resources promisedCapacity;  // part of `capacityAfterStops` that is promised to jobs
  // Whether a job below its entitlement waits for capacity here. Set after all such jobs are planned.
  bool awaited = false;
  std::vector<const std::string*> plannedImages;  // of the tasks that this round assigns to the machine

  // The free capacity after the attempts that are being stopped have ended.
  wire::Resources capacityAfterStops() const;
  // The part of the capacity after stops that is promised to no job.
  wire::Resources unpromisedCapacity() const;
  // Whether this round assigns a task with the image to the machine.
  bool plansImage(const std::string& image) const;
};

// A bin that a task can be placed on. Choices are ordered by the start delay, then by the bin's index.
struct BinChoice {
  double delayS = 0;
  std::size_t binIndex = 0;  // in `RoundState::bins`
  auto operator<=>(const BinChoice&) const = default;
};

// Whether the machine is eligible for the job, and the job has not failed on it.
bool isUsable(const Bin& bin, const Job& job);

// The seconds until a task of the job can start on the bin, plus the cost of this choice for other jobs.
double startDelayS(const Bin& bin, const Job& job);

}  // namespace reachhoist::placement
