// Commands to workers: which tasks to start, stop and forget on each machine. They are sent in the answers to
// heartbeats and by direct calls, under fencing tokens that make older commands void.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "service/leader/leader_state.hpp"
#include "state/callback_guard.hpp"

namespace reachhoist::service {

// How the state of a worker reached this leader: by its heartbeat, by its heartbeat relayed by a sibling, or
// by its answer to a direct call.
enum class HeartbeatSource { heartbeat, relay, direct };

// Decides which commands are due, hands them out for heartbeat answers, and sends the urgent ones directly.
class WorkerCommands {
 public:
  // What the commands depend on elsewhere; all are required.
  struct Callbacks {
    // Whether all placements of the attempt's gang are durable.
    std::function<bool(const Attempt&)> canStartGangTask;
    // Whether the completion of the task is durable.
    std::function<bool(const wire::TaskId&)> isCompletionDurable;
    // A worker has answered a direct call with its state.
    std::function<void(Machine&, const wire::WorkerHeartbeat&)> onWorkerState;
  };

  WorkerCommands(LeaderState& state, Callbacks callbacks)
      : state_(state), context_(state.context), callbacks_(std::move(callbacks)) {}
  WorkerCommands(const WorkerCommands&) = delete;

  // The newest fencing token of the machine under this term.
  std::uint64_t fencingTokenOf(const Machine& machine) const {
    return cluster::fencingToken(state_.term, machine.fencingSequence);
  }
  // Stops the attempt, with `gracePeriodS` seconds for a checkpoint. A second time only with less grace.
  void stop(Machine& machine, Attempt& attempt, double gracePeriodS);
  // A direct call should carry what is due on the machine.
  void requestDirectCall(Machine& machine);
  // Makes all commands under the machine's present token void.
  void advanceFencingToken(Machine& machine);
  // Records whether the worker has been seen with its newest token.
  void updateTokenAcknowledgement(Machine& machine);
  // All commands due on the machine, recorded as sent. `sequence`: of the heartbeat they answer.
  std::vector<wire::Command> takeDueCommands(Machine& machine, HeartbeatSource via, std::uint64_t sequence);
  // Sends direct calls to the machines marked due, within the limit on calls to workers.
  void sendDirectCommands();
  // Lets direct calls carry the forget commands of machines that list too many ended attempts.
  void scheduleForgetCommands();

  // The limit on calls in flight to workers, which probes share.
  bool canStartCall() const { return callsInFlight_ < context_.settings.maxWorkerCalls(); }
  void onCallStarted() { ++callsInFlight_; }
  void onCallEnded() { --callsInFlight_; }

 private:
  // A direct call in flight.
  struct DirectCall {
    std::string host;
    std::uint64_t token = 0;
    std::uint64_t incarnation = 0;
    std::vector<wire::Command> commands;
  };

  // The command due for the attempt, recorded as sent.
  std::optional<wire::Command> takeDueCommand(Attempt& attempt, HeartbeatSource via, std::uint64_t sequence);
  std::optional<wire::Command> startOrStopRecorded(Attempt& attempt, HeartbeatSource via,
                                                   std::uint64_t sequence);
  std::optional<wire::Command> stopOnMachine(Attempt& attempt, HeartbeatSource via);
  std::optional<wire::Command> forgetEnded(const Attempt& attempt);
  void issueFencingToken(Machine& machine);
  void sendDirectCommands(Machine& machine);
  void onDirectAnswer(const DirectCall& call, const wire::CallResult& result);
  void recordStartOutcomes(Machine& machine, const DirectCall& call, const wire::CallResult& result);
  void onNoAnswer(Machine& machine, const DirectCall& call, const wire::CallResult& result);

  LeaderState& state_;
  Context& context_;
  Callbacks callbacks_;
  std::size_t callsInFlight_ = 0;
  std::set<std::string> hostsAwaitingDirectCall_;  // machines with commands that a direct call should carry
  state::CallbackGuard guard_;
};

}  // namespace reachhoist::service
