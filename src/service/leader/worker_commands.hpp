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
  struct Hooks {
    // Whether all placements of the attempt's gang are durable.
    std::function<bool(const Attempt&)> mayStartGang;
    // Whether the completion of the task is durable.
    std::function<bool(const wire::TaskId&)> isCompletionDurable;
    // A worker has answered a direct call with its state.
    std::function<void(Machine&, const wire::WorkerHeartbeat&)> onAnswer;
  };

  WorkerCommands(LeaderState& state, Hooks hooks)
      : state_(state), context_(state.context), hooks_(std::move(hooks)) {}
  WorkerCommands(const WorkerCommands&) = delete;

  // The newest fencing token of the machine under this term.
  std::uint64_t fencingTokenOf(const Machine& machine) const {
    return cluster::fencingToken(state_.term, machine.fencingSequence);
  }
  // Stops the attempt, with `gracePeriodS` seconds for a checkpoint. A second time only with less grace.
  void stop(Machine& machine, Attempt& attempt, double gracePeriodS);
  // A direct call should carry what is due on the machine.
  void markDue(Machine& machine);
  // Makes all commands under the machine's present token void.
  void advanceFencingToken(Machine& machine);
  // Records whether the worker has been seen with its newest token.
  void noteAcknowledgedToken(Machine& machine);
  // All commands due on the machine, recorded as sent. `sequence`: of the heartbeat they answer.
  std::vector<wire::Command> commandsFor(Machine& machine, HeartbeatSource via, std::uint64_t sequence);
  // Sends direct calls to the machines marked due, within the limit on calls to workers.
  void sendDirectCommands();
  // Lets direct calls carry the forget commands of machines that list too many ended attempts.
  void scheduleForgets();

  // The limit on calls in flight to workers, which probes share.
  bool mayCall() const { return callsInFlight_ < context_.settings.maxWorkerCalls(); }
  void callBegins() { ++callsInFlight_; }
  void callEnds() { --callsInFlight_; }

 private:
  // A direct call in flight.
  struct DirectCall {
    std::string host;
    std::uint64_t token = 0;
    std::uint64_t incarnation = 0;
    std::vector<wire::Command> commands;
  };

  // The command due for the attempt, recorded as sent.
  std::optional<wire::Command> commandFor(Attempt& attempt, HeartbeatSource via, std::uint64_t sequence);
  std::optional<wire::Command> startOrStopRecorded(Attempt& attempt, HeartbeatSource via,
                                                   std::uint64_t sequence);
  std::optional<wire::Command> stopOnMachine(Attempt& attempt, HeartbeatSource via);
  std::optional<wire::Command> forgetEnded(const Attempt& attempt);
  void requireNewToken(Machine& machine);
  void sendDirectCommands(Machine& machine);
  void onDirectAnswer(const DirectCall& call, const wire::CallResult& result);
  void settleStarts(Machine& machine, const DirectCall& call, const wire::CallResult& result);
  void onNoAnswer(Machine& machine, const DirectCall& call, const wire::CallResult& result);

  LeaderState& state_;
  Context& context_;
  Hooks hooks_;
  std::size_t callsInFlight_ = 0;
  std::set<std::string> dueHosts_;  // machines with commands that a direct call should carry
  state::CallbackGuard guard_;
};

}  // namespace reachhoist::service
