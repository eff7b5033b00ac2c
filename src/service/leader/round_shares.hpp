// The share table in placement rounds.
#pragma once

#include <cstdint>

#include "placement/planner.hpp"
#include "service/leader/leader_state.hpp"

namespace reachhoist::service {

// Hands the share table to the placement rounds, paces preemption for the sake of shares, and writes the
// groups' status for operators.
class RoundShares {
 public:
  explicit RoundShares(LeaderState& state) : state_(state), context_(state.context) {}
  RoundShares(const RoundShares&) = delete;

  // Before a round: sets the table in `world`, and whether the round may preempt for the sake of shares.
  void prepare(placement::SchedulingInput& world, bool mayPreemptForShares);
  // After the round.
  void onPlanned(const placement::PlacementPlan& plan);
  // Whether a table is in force that no round has used.
  bool hasNewTable() const { return context_.shares && context_.shares->generation != generation_; }
  // Writes the status when it is due and has changed, while the leader lease is held.
  void tick();

 private:
  Json status();

  LeaderState& state_;
  Context& context_;
  std::uint64_t generation_ = 0;  // of the table in the latest round
  Time nextPreemptionAt_{};
  Time nextStatusAt_{};
  Json writtenStatus_;
};

}  // namespace reachhoist::service
