// Placement rounds: decisions and the transactions that make them durable. While one transaction is in flight
// the work of the next round gathers, so that batches grow with the load.
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

// Plans rounds, preempts tasks for them, and writes the placement batches they change.
class PlacementScheduler {
 public:
  PlacementScheduler(LeaderState& state, WorkerCommands& commands, GangCoordinator& gangs,
                     AttemptTracker& attempts);
  PlacementScheduler(const PlacementScheduler&) = delete;

  // Goes on with the transaction in flight.
  void tick() { committer_.tick(context_.now); }
  // Starts the next round if it is due and no transaction is in flight.
  void startRound();
  // Writes the status of the shares when it is due.
  void updateShares();
  // What the latest round found no capacity for.
  const std::vector<placement::UnplacedDemand>& unplaced() const { return unplaced_; }

 private:
  // What one transaction will write: batches, and the jobs and hosts of the attempts placed in them.
  struct Round {
    std::set<std::uint32_t> batches;
    std::set<std::string> jobs;
    std::set<std::string> hosts;
  };
  using HostsByBatch = std::map<std::uint32_t, std::set<std::string>>;

  placement::PlacementPlan plan();
  placement::SchedulingInput schedulingInput();
  void preempt(const std::vector<placement::Preemption>& stops);
  // Whether tasks may be preempted for the sake of shares.
  bool mayPreemptForShares() const;
  // Places gang tasks that did not fit into the batches of the round that decided on them.
  void reserveRemainingGangTasks(Round& round);
  // Whether the gang task is settled for this round; false if the round's batches are full.
  bool reserveGangTask(Machine& machine, Attempt& attempt, Round& round);
  // Takes the assignments for which the round's batches have capacity.
  void takeAssignments(const std::vector<placement::Assignment>& assignments, Round& round);
  // False if the round's batches are full.
  bool takeAssignment(const placement::Assignment& assignment, Round& round);
  // Adds batches to the round that name terminated machines.
  void addStaleBatches(Round& round);
  void commit(const Round& round);
  void onCommitted(const std::set<std::string>& hosts, const HostsByBatch& batches,
                   const state::Outcome& outcome);
  // Starts or releases the machine's attempts that were in the transaction; adds their gangs to `gangs`.
  void applyOutcome(Machine& machine, const HostsByBatch& batches, bool applied,
                    std::set<std::string>& gangs);

  LeaderState& state_;
  Context& context_;
  WorkerCommands& commands_;
  GangCoordinator& gangs_;
  AttemptTracker& attempts_;
  state::Committer committer_;
  RoundShares shares_;
  std::uint64_t attemptCount_ = 0;
  std::vector<placement::UnplacedDemand> unplaced_;
  std::set<std::string> reservingGangs_;  // gangs with tasks whose placement is in no transaction yet
  Time nextPlan_{};
  Time replanAt_{};
  Time nextCleanup_{};
};

}  // namespace reachhoist::service
