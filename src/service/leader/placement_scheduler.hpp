// Placement rounds: placement decisions and the transactions that make them durable. While a transaction is
// in flight, tasks accumulate for the next round, so that batches grow with the load.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "placement/planner.hpp"
#include "service/leader/attempt_tracker.hpp"
#include "service/leader/gang_coordinator.hpp"
#include "service/leader/leader_state.hpp"
#include "service/leader/round_shares.hpp"
#include "service/leader/worker_commands.hpp"
#include "state/committer.hpp"

namespace reachhoist::service {

// Plans placement rounds, preempts tasks for them, and writes the placement batches that they change.
class PlacementScheduler {
 public:
  PlacementScheduler(LeaderState& state, WorkerCommands& commands, GangCoordinator& gangs,
                     AttemptTracker& attempts);
  PlacementScheduler(const PlacementScheduler&) = delete;

  // Continues the transaction in flight, for example with a retry.
  void tick() { committer_.tick(context_.now); }
  // Starts the next round if it is due and no transaction is in flight.
  void startRound();
  // Writes the share status when it is due, and requests a round when the share table has changed.
  void updateShares();
  // The demand for which the latest round found no capacity.
  const std::vector<placement::UnplacedDemand>& unplacedDemand() const { return unplacedDemand_; }

 private:
  // The content of one transaction: the batches to write, and the jobs and hosts of the attempts placed in
  // them.
  struct Round {
    std::set<std::uint32_t> batches;
    std::set<std::string> jobs;
    std::set<std::string> hosts;
  };
  using HostsByBatch = std::map<std::uint32_t, std::set<std::string>>;

  placement::PlacementPlan plan();
  placement::SchedulingInput schedulingInput();
  void preempt(const std::vector<placement::Preemption>& preemptions);
  // Whether this leader can preempt tasks to enforce shares.
  bool canPreemptForShares() const;
  // Adds the gang tasks that did not fit into the batches of the round that planned them.
  void reserveRemainingGangTasks(Round& round);
  // Adds the gang task to the round, or releases it if it is no longer wanted. Returns false if the round's
  // batches are full.
  bool tryReserveGangTask(Machine& machine, Attempt& attempt, Round& round);
  // Adds the assignments to the round until its batches are full.
  void addAssignments(const std::vector<placement::Assignment>& assignments, Round& round);
  // Adds the assignment to the round. Returns false if the round's batches are full.
  bool tryAddAssignment(const placement::Assignment& assignment, Round& round);
  // Adds batches that name terminated machines to the round, so that they are rewritten without them.
  void addStaleBatches(Round& round);
  void commit(const Round& round);
  void onCommitted(const std::set<std::string>& hosts, const HostsByBatch& batches,
                   const state::Outcome& outcome);
  // Marks the machine's attempts that were in the transaction as recorded, or releases them. Adds the
  // references of their gangs to `gangs`.
  void applyOutcome(Machine& machine, const HostsByBatch& batches, bool applied,
                    std::set<std::string>& gangs);

  LeaderState& state_;
  Context& context_;
  WorkerCommands& commands_;
  GangCoordinator& gangs_;
  AttemptTracker& attempts_;
  state::Committer committer_;
  RoundShares shares_;
  std::vector<placement::UnplacedDemand> unplacedDemand_;
  std::set<std::string> reservingGangs_;  // gangs with tasks that no transaction places yet
  Time nextPlanAt_{};
  Time replanAt_{};
  Time nextCleanupAt_{};
};

}  // namespace reachhoist::service
