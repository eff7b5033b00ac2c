// Places the tasks of jobs that are not gangs, one by one, on the bins where they start soonest.
#pragma once

#include <cstdint>

#include "placement/round_state.hpp"

namespace reachhoist::placement {

// What keeps a job from more placements in a round, apart from capacity.
enum class PlacementLimit { none, teamQuota, fairShare };

// How far a job has been placed in a round.
struct PlacementProgress {
  std::uint32_t nextIndex = 0;  // next task to look at
  std::uint32_t placed = 0;     // tasks placed in this round
  PlacementLimit limit = PlacementLimit::none;
};

// How much of the capacity a job may use when its group has reached its fair share.
enum class ShareUse {
  withinShare,      // no more tasks
  oneBeyond,        // one task, if it is the first of the call
  leftoverCapacity  // all capacity that no job below its entitlement waits for
};

// Places tasks of single jobs. Does not own the state.
class TaskPlacer {
 public:
  explicit TaskPlacer(RoundState& state) : state_(state) {}

  // Places up to `most` waiting tasks of the job and updates the progress.
  void place(Job& job, std::uint32_t most, ShareUse use, PlacementProgress& progress);

 private:
  std::vector<BinChoice> findChoices(const Job& job, ShareUse use) const;

  RoundState& state_;
};

}  // namespace reachhoist::placement
