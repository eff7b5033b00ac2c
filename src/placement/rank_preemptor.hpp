// Preemption by rank: for a job of higher priority, or for a job within its team's guarantee.
#pragma once

#include <cstdint>
#include <optional>

#include "placement/preemption_rules.hpp"

namespace reachhoist::placement {

// Preempts attempts of lower rank for single tasks. Does not own the state.
class RankPreemptor {
 public:
  explicit RankPreemptor(RoundState& state) : state_(state) {}

  // Preempts attempts for up to `taskCount` tasks of the job, as far as rank and the round's limit allow.
  // Returns the number of tasks for which attempts that are already being stopped, or that this call
  // preempts, free the capacity.
  std::uint32_t preemptFor(const Job& job, std::uint32_t taskCount);

 private:
  // The victims on one bin that free capacity for one task.
  struct Candidate {
    Bin* bin = nullptr;
    Victims victims;
    double costS = 0;
  };
  bool preemptForOneTask(const Job& job, bool isGuaranteed);
  std::optional<Candidate> findCandidate(Bin& bin, const Job& job, bool isGuaranteed) const;
  void preempt(const Job& job, const Candidate& candidate);

  RoundState& state_;
};

}  // namespace reachhoist::placement
