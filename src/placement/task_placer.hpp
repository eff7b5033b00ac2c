// Placement of single tasks: each task of a job that is not a gang goes to the bin where it starts soonest.
#pragma once

#include <cstdint>

#include "placement/round_state.hpp"

namespace reachhoist::placement {

// The limit, apart from capacity, that prevents more placements of a job in a round.
enum class PlacementLimit { none, teamQuota, fairShare };

// The progress of placing one job in a round.
struct PlacementProgress {
  std::uint32_t nextTaskIndex = 0;  // the tasks before it need no placement
  std::uint32_t placedCount = 0;    // number of tasks placed in this round
  PlacementLimit limit = PlacementLimit::none;
};

// How much capacity a job can use when its group has reached its fair share.
enum class ShareUse {
  withinShare,         // none
  oneTaskBeyondShare,  // that of one task, if it is the first task placed by the call
  leftoverCapacity     // all capacity that no job below its entitlement waits for
};

// Places the tasks of jobs that are not gangs. Does not own the state.
class TaskPlacer {
 public:
  explicit TaskPlacer(RoundState& state) : state_(state) {}

  // Places up to `taskLimit` waiting tasks of the job and updates the progress.
  void place(Job& job, std::uint32_t taskLimit, ShareUse use, PlacementProgress& progress);

 private:
  std::vector<BinChoice> findChoices(const Job& job, ShareUse use) const;

  RoundState& state_;
};

}  // namespace reachhoist::placement
