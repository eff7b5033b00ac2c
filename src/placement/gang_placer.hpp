// Placement of gangs (gang scheduling): one decision places all tasks of a gang, or none.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "placement/gang_preemptor.hpp"

namespace reachhoist::placement {

// Places whole gangs. Does not own the state.
class GangPlacer {
 public:
  explicit GangPlacer(RoundState& state) : state_(state), preemptor_(state) {}

  // Places the gang if all its tasks fit now. Otherwise adds it to the unplaced demand, preempts attempts if
  // that makes it fit, and reserves the free capacity if `canReserve` allows that. A gang beyond its team's
  // limit only reserves quota. Does nothing while a task of an earlier attempt can still be on a machine.
  void place(Job& job);

 private:
  // The bins for the tasks of a gang: one entry for each task that fits.
  struct Fit {
    std::vector<std::size_t> binIndexes;
    double slowestStartS = 0;  // delay until the last of these tasks can start
  };
  // The best fit in the zone; an empty name stands for all zones.
  Fit findFit(const Job& job, const std::string& zone) const;
  Fit findBestFit(const Job& job) const;
  std::vector<BinChoice> rankBins(const Job& job, const std::string& zone) const;
  bool canReserve(const Job& job) const;

  RoundState& state_;
  GangPreemptor preemptor_;
  std::size_t reservedGangCount_ = 0;  // gangs for which this round has reserved capacity
};

}  // namespace reachhoist::placement
