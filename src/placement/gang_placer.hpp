// Placement of gangs (gang scheduling): all tasks in one decision, or none.
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

  // Places the gang if all its tasks fit now. Otherwise adds it to the unplaced demand, preempts for it and
  // reserves capacity where it may. Does nothing while a task of an earlier attempt may be on a machine.
  void place(Job& job);

 private:
  // Where the tasks of a gang fit: one bin for each task, as far as there are any.
  struct Fit {
    std::vector<std::size_t> bins;
    double slowestStartS = 0;  // until the last of them can start
  };
  // The best fit in one zone; an empty name stands for all zones.
  Fit findFit(const Job& job, const std::string& zone) const;
  Fit findBestFit(const Job& job) const;
  std::vector<BinChoice> rankBins(const Job& job, const std::string& zone) const;
  bool mayReserve(const Job& job) const;

  RoundState& state_;
  GangPreemptor preemptor_;
  std::size_t reservedGangs_ = 0;  // gangs for which capacity is reserved in this round
};

}  // namespace reachhoist::placement
