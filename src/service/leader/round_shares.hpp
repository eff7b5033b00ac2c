// Applies the share table to placement rounds.
#pragma once

#include <cstdint>

#include "placement/planner.hpp"
#include "service/leader/leader_state.hpp"

namespace reachhoist::service {

// Passes the share table to the placement rounds, limits the rate of preemption for shares, and writes the
// groups' status for operators.
class RoundShares {
 public:
  explicit RoundShares(LeaderState& state) : state_(state), context_(state.context) {}
  RoundShares(const RoundShares&) = delete;

  // To be called before a round: sets the share table in `input`, and whether the round can preempt for
  // shares.
  void prepare(placement::SchedulingInput& input, bool canPreemptForShares);
  // To be called after the round: limits when the next round can preempt for shares.
  void onPlanned(const placement::PlacementPlan& plan);
  // Whether a share table is in force that no round has used yet.
  bool hasNewTable() const { return context_.shares && context_.shares->generation != generation_; }
  // Writes the status when it is due and has changed, while the leader lease is held.
  void tick();

 private:
  Json encodeStatus();

  LeaderState& state_;
  Context& context_;
  std::uint64_t generation_ = 0;  // of the share table in the latest round
  Time nextPreemptionAt_{};
  Time nextStatusAt_{};
  Json writtenStatus_;
};

}  // namespace reachhoist::service
