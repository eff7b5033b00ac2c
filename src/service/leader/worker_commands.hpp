// Commands to workers: which tasks to start, stop and forget on each machine. They are sent in the answers to
// heartbeats and by direct calls, with fencing tokens that invalidate earlier commands.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "service/leader/heartbeat_source.hpp"
#include "service/leader/leader_state.hpp"
#include "state/callback_guard.hpp"

namespace reachhoist::service {

// Commands to one machine, with the fencing token under which they are sent.
struct IssuedCommands {
  std::uint64_t fencingToken = 0;
  std::vector<wire::Command> commands;
};

// Decides which commands are due, adds them to heartbeat answers, and sends the urgent ones in direct calls.
class WorkerCommands {
 public:
  // Queries and notifications to other components; all are required.
  struct Callbacks {
    // Whether the gang task can be started: all placements of its gang attempt are durable.
    std::function<bool(const Attempt&)> canStartGangTask;
    // Whether the completion of the task is durable.
    std::function<bool(const wire::TaskId&)> isCompletionDurable;
    // Applies the state that a worker has reported in its answer to a direct call.
    std::function<void(Machine&, const wire::WorkerHeartbeat&)> onWorkerState;
  };

  WorkerCommands(LeaderState& state, Callbacks callbacks)
      : state_(state), context_(state.context), callbacks_(std::move(callbacks)) {}
  WorkerCommands(const WorkerCommands&) = delete;

  // The newest fencing token of the machine under this term.
  std::uint64_t fencingTokenOf(const Machine& machine) const {
    return cluster::fencingToken(state_.term, machine.fencingSequence);
  }
  // Requests a stop of the attempt, with a grace period for a checkpoint. A repeated request counts only if
  // its grace period is shorter.
  void stop(Machine& machine, Attempt& attempt, double gracePeriodS);
  // Requests a direct call that carries the commands due on the machine.
  void requestDirectCall(Machine& machine);
  // Invalidates all commands sent with the machine's current token.
  void advanceFencingToken(Machine& machine);
  // Updates whether the worker has acknowledged the machine's newest token.
  void updateTokenAcknowledgement(Machine& machine);
  // Returns all commands due on the machine and records them as sent. `source` tells whether they answer a
  // heartbeat, whose sequence number is `sequence`, or go out in a direct call.
  IssuedCommands issueCommands(Machine& machine, HeartbeatSource source, std::uint64_t sequence);
  // Sends the requested direct calls, within the limit on calls to workers.
  void sendDirectCommands();
  // Requests direct calls for the forget commands of machines that list too many ended attempts.
  void scheduleForgetCommands();

  // Direct calls and probes share one limit on calls in flight to workers.
  bool canStartCall() const { return callsInFlight_ < context_.settings.maxWorkerCalls(); }
  void onCallStarted() { ++callsInFlight_; }
  void onCallEnded() { --callsInFlight_; }

 private:
  // The content of a direct call in flight.
  struct DirectCall {
    std::string host;
    std::uint64_t incarnation = 0;
    IssuedCommands issued;
  };

  // Returns the due commands. Those to forget attempts come first, so that their tasks can start anew.
  std::vector<wire::Command> takeDueCommands(Machine& machine, HeartbeatSource source,
                                             std::uint64_t sequence);
  // Returns the command due for the attempt, if any, and records it as sent.
  std::optional<wire::Command> takeDueCommand(Machine& machine, Attempt& attempt, HeartbeatSource source,
                                              std::uint64_t sequence);
  std::optional<wire::Command> startOrStopRecorded(Attempt& attempt, HeartbeatSource source,
                                                   std::uint64_t sequence);
  std::optional<wire::Command> stopOnMachine(Attempt& attempt, HeartbeatSource source);
  std::optional<wire::Command> forgetEnded(Machine& machine, const Attempt& attempt, HeartbeatSource source);
  // Whether a command to forget the attempt can go out now: under the machine's token, it invalidates every
  // direct start command for the attempt. Raises the token if that is necessary and possible.
  bool invalidateDirectStart(Machine& machine, const Attempt& attempt, HeartbeatSource source);
  // Raises the machine's fencing token. The machine still gets new work.
  void raiseFencingToken(Machine& machine);
  // Raises the fencing token. The machine gets no new work until its worker has acknowledged the token.
  void issueFencingToken(Machine& machine);
  // Withholds new work until the worker has acknowledged the current fencing token.
  void awaitAcknowledgement(Machine& machine);
  void sendDirectCommands(Machine& machine);
  void onDirectAnswer(const DirectCall& call, const wire::CallResult& result);
  // Notes which start commands of the call can still take effect although the call got no answer.
  void recordStartOutcomes(Machine& machine, const DirectCall& call, const wire::CallResult& result);
  void onNoAnswer(Machine& machine, const DirectCall& call, const wire::CallResult& result);

  LeaderState& state_;
  Context& context_;
  Callbacks callbacks_;
  std::size_t callsInFlight_ = 0;
  std::set<std::string> hostsAwaitingDirectCall_;  // machines with a requested direct call
  state::CallbackGuard guard_;
};

}  // namespace reachhoist::service
