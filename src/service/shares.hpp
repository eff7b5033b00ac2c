// The table of shares on a controller: every one follows the stored record, the leader writes the first and
// reports how far the groups have come.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "placement/planner.hpp"
#include "service/context.hpp"
#include "shares/table.hpp"
#include "state/key_watch.hpp"

namespace reachhoist::service {

// Follows the table. The last good one stays in force whatever is stored after it.
class SharesFollower {
 public:
  explicit SharesFollower(Context& context);
  void start() { watch_.start(context_.now); }
  // `leads`: may write the table of the operators' file, where none or an older one is stored.
  void tick(bool leads);

 private:
  void onRecord(const Json* value, std::uint64_t revision);
  void refuse(const config::FieldError& problem);
  void writeOwn();

  Context& context_;
  shares::Table own_;  // of the operators' file
  state::KeyWatch watch_;
  std::optional<std::uint64_t>
      storedGeneration_;  // generation of the stored table, 0 for none; unset: not known yet
  std::uint64_t revision_ = 0;
  bool writing_ = false;
  Time retryAt_{};
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

// Shares in the rounds of the controller that leads: what the leader's rounds divide by, when they may
// reclaim, and the groups' status for operators.
class SharesInRounds {
 public:
  using Conditions = std::function<std::vector<state::Condition>()>;

  explicit SharesInRounds(Context& context) : context_(context) {}

  // Before a round: the table, and whether the round may stop work for its sake.
  void prepare(placement::World& world, bool mayPreemptForShares);
  // After it.
  void planned(const placement::Plan& plan);
  // A table is in force that no round has divided by.
  bool tableChanged() const { return context_.shares && context_.shares->generation != generation_; }
  // Writes the status now and then, if it has changed and the lead is confirmed.
  void tick(machines::MachineTable& machines, jobs::JobTable& jobs, bool holdsLeaderLease,
            const Conditions& conditions);

 private:
  Json status(machines::MachineTable& machines, jobs::JobTable& jobs) const;

  Context& context_;
  std::uint64_t generation_ = 0;  // of the table in the latest round
  Time nextReclaim_{};
  Time nextStatus_{};
  Json written_;
};

}  // namespace reachhoist::service
