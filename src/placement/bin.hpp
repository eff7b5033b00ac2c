// Machines as bins of one placement round: their remaining capacity, and how well they suit a job.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "placement/planner.hpp"

namespace reachhoist::placement {

// A machine that takes work, with the capacity that the round has left on it.
struct Bin {
  Machine* machine;
  wire::Resources freeCapacity;
  wire::Priority lowestPriority = wire::Priority::prod;  // of the attempts that are not being stopped
  bool hasStoppingAttempts = false;
  wire::Resources leaving;   // held by attempts that are being stopped
  wire::Resources promised;  // of `capacityAfterStops`, what jobs already count on
  bool awaited = false;      // by a job below its entitlement; known once all such jobs have been placed
  std::vector<const std::string*> plannedImages;  // images of the tasks that this round assigns to it

  // Free capacity once the attempts that are being stopped have ended.
  wire::Resources capacityAfterStops() const;
  // Of the capacity after stops, what no job counts on yet.
  wire::Resources unpromisedCapacity() const;
  // Whether a task of this round pulls the image.
  bool plansImage(const std::string& image) const;
};

// A bin that a task may be placed on; ordered by the start delay, then by the bin's index.
struct BinChoice {
  double delayS = 0;
  std::size_t bin = 0;
  auto operator<=>(const BinChoice&) const = default;
};

// Whether the machine is eligible for the job, and the job has not failed on it.
bool isUsable(const Bin& bin, const Job& job);

// Seconds until a task of the job can start there, plus what the choice costs other jobs.
double startDelayS(const Bin& bin, const Job& job);

}  // namespace reachhoist::placement
