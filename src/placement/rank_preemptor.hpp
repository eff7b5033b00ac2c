// Preemption by rank: for higher priority, or to give a team what it is guaranteed.
#pragma once

#include <cstdint>
#include <optional>

#include "placement/preemption_rules.hpp"

namespace reachhoist::placement {

// Preempts lower-ranked attempts for single tasks. Does not own the state.
class RankPreemptor {
 public:
  explicit RankPreemptor(RoundState& state) : state_(state) {}

  // Preempts for so many tasks of the job, as far as rank and the round's limit allow. Returns for how many
  // of them there is capacity now or soon.
  std::uint32_t preemptFor(const Job& job, std::uint32_t tasks);

 private:
  // The victims on one bin that free capacity for one task.
  struct Candidate {
    Bin* bin = nullptr;
    Victims victims;
    double costS = 0;
  };
  bool preemptForOneTask(const Job& job, bool guaranteed);
  std::optional<Candidate> findCandidate(Bin& bin, const Job& job, bool guaranteed) const;
  void preempt(const Job& job, const Candidate& candidate);

  RoundState& state_;
};

}  // namespace reachhoist::placement
