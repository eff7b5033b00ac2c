#include "service/leader/worker_commands.hpp"

#include <algorithm>
#include <utility>

#include "service/leader/command_log.hpp"

namespace reachhoist::service {

namespace {
wire::Command makeCommand(wire::CommandVerb verb, const Attempt& attempt, double gracePeriodS = 0) {
  return wire::Command{verb, attempt.task, attempt.number, gracePeriodS};
}

bool listsTooManyAttempts(const Machine& machine) {
  return machine.attempts.size() > constants::kMaxEndedAttemptsListed;
}
}  // namespace

void WorkerCommands::stop(Machine& machine, Attempt& attempt, double gracePeriodS) {
  if (attempt.phase == AttemptPhase::planned || attempt.phase == AttemptPhase::ended) {
    attempt.stopRequested = true;
    return;
  }
  const bool isShorterGracePeriod = attempt.stopRequested && gracePeriodS < attempt.gracePeriodS;
  if (attempt.stopRequested && !isShorterGracePeriod) return;
  attempt.stopRequested = true;
  attempt.gracePeriodS = gracePeriodS;
  attempt.stopSent = false;
  requestDirectCall(machine);
}

void WorkerCommands::requestDirectCall(Machine& machine) {
  machine.directCommands.isDue = true;
  hostsAwaitingDirectCall_.insert(machine.host.text);
}

void WorkerCommands::advanceFencingToken(Machine& machine) {
  // One new token is enough until the worker has acknowledged it.
  if (machine.workerToken >= fencingTokenOf(machine)) return issueFencingToken(machine);
  if (machine.contact.tokenAcknowledged) awaitAcknowledgement(machine);
}

void WorkerCommands::raiseFencingToken(Machine& machine) {
  ++machine.fencingSequence;
  if (machine.fencingSequence >= constants::kMaxFencingSequence) state_.resign("fencing tokens used up");
}

void WorkerCommands::issueFencingToken(Machine& machine) {
  raiseFencingToken(machine);
  awaitAcknowledgement(machine);
}

void WorkerCommands::awaitAcknowledgement(Machine& machine) {
  machine.contact.tokenAcknowledged = false;
  machine.contact.unacknowledgedSince = context_.now;
}

void WorkerCommands::updateTokenAcknowledgement(Machine& machine) {
  if (machine.contact.tokenAcknowledged) return;
  if (machine.workerToken < fencingTokenOf(machine)) {
    if (machine.contact.unacknowledgedSince == Time{}) machine.contact.unacknowledgedSince = context_.now;
    return;
  }
  machine.contact.tokenAcknowledged = true;
  machine.contact.unacknowledgedSince = Time{};
  state_.requestPlacementRound();
}

// --- commands due ------------------------------------------------------------------------------------------

IssuedCommands WorkerCommands::issueCommands(Machine& machine, HeartbeatSource source,
                                             std::uint64_t sequence) {
  std::vector<wire::Command> commands = takeDueCommands(machine, source, sequence);
  IssuedCommands issued{fencingTokenOf(machine), std::move(commands)};
  logCommands(context_, machine.host.text, source, issued.fencingToken, issued.commands);
  return issued;
}

std::vector<wire::Command> WorkerCommands::takeDueCommands(Machine& machine, HeartbeatSource source,
                                                           std::uint64_t sequence) {
  std::vector<wire::Command> forgetCommands;
  std::vector<wire::Command> otherCommands;
  for (Attempt& attempt : machine.attempts) {
    const auto command = takeDueCommand(machine, attempt, source, sequence);
    if (!command) continue;
    std::vector<wire::Command>& list =
        command->verb == wire::CommandVerb::forget ? forgetCommands : otherCommands;
    list.push_back(*command);
  }
  forgetCommands.insert(forgetCommands.end(), otherCommands.begin(), otherCommands.end());
  return forgetCommands;
}

std::optional<wire::Command> WorkerCommands::takeDueCommand(Machine& machine, Attempt& attempt,
                                                            HeartbeatSource source, std::uint64_t sequence) {
  switch (attempt.phase) {
    case AttemptPhase::planned:
    case AttemptPhase::released:
      return std::nullopt;
    case AttemptPhase::recorded:
      return startOrStopRecorded(attempt, source, sequence);
    case AttemptPhase::pulling:
    case AttemptPhase::running:
    case AttemptPhase::checkpointing:
      return stopOnMachine(attempt, source);
    case AttemptPhase::ended:
      return forgetEnded(machine, attempt, source);
  }
  return std::nullopt;
}

std::optional<wire::Command> WorkerCommands::startOrStopRecorded(Attempt& attempt, HeartbeatSource source,
                                                                 std::uint64_t sequence) {
  if (attempt.stopRequested) return makeCommand(wire::CommandVerb::stop, attempt);
  // An inherited attempt is not started again: it can have ended and been forgotten under an earlier leader.
  if (attempt.inherited) return std::nullopt;
  // Without the leader lease, another controller can have confirmed the job's cancellation in the meantime.
  if (attempt.directCommandsInFlight != 0 || !state_.holdsLeaderLease()) return std::nullopt;
  if (attempt.isGangMember && !callbacks_.canStartGangTask(attempt)) return std::nullopt;
  if (source != HeartbeatSource::directCall && attempt.startSentInSequence == 0)
    attempt.startSentInSequence = sequence;
  return makeCommand(wire::CommandVerb::start, attempt);
}

std::optional<wire::Command> WorkerCommands::stopOnMachine(Attempt& attempt, HeartbeatSource source) {
  if (!attempt.stopRequested) return std::nullopt;
  if (attempt.stopSent && source == HeartbeatSource::directCall) return std::nullopt;
  if (attempt.phase == AttemptPhase::checkpointing && attempt.gracePeriodS > 0) return std::nullopt;
  attempt.stopSent = true;
  return makeCommand(wire::CommandVerb::stop, attempt, attempt.gracePeriodS);
}

std::optional<wire::Command> WorkerCommands::forgetEnded(Machine& machine, const Attempt& attempt,
                                                         HeartbeatSource source) {
  // A start command that can still arrive would start the attempt again after the worker has forgotten it.
  if (attempt.directCommandsInFlight > 0 || attempt.unresolvedStartToken) return std::nullopt;
  const bool completed = attempt.cause == wire::Cause::done && !attempt.isService;
  if (completed && !callbacks_.isCompletionDurable(attempt.task)) return std::nullopt;
  if (!invalidateDirectStart(machine, attempt, source)) return std::nullopt;
  return makeCommand(wire::CommandVerb::forget, attempt);
}

bool WorkerCommands::invalidateDirectStart(Machine& machine, const Attempt& attempt, HeartbeatSource source) {
  if (attempt.directStartToken < fencingTokenOf(machine)) return true;
  // The worker drops messages with the old token that arrive after one with the new token. So the token is
  // not raised while a direct call is on its way, nor by a direct call that could overtake the answer to a
  // heartbeat, unless the worker lists too many ended attempts.
  const bool canRaise = source == HeartbeatSource::directCall ? listsTooManyAttempts(machine)
                                                              : !machine.directCommands.inFlight;
  if (canRaise) raiseFencingToken(machine);
  return canRaise;
}

void WorkerCommands::scheduleForgetCommands() {
  for (auto& [host, machine] : state_.machines.all()) {
    const bool hasEndedAttempts =
        std::any_of(machine.attempts.begin(), machine.attempts.end(),
                    [](const Attempt& attempt) { return attempt.phase == AttemptPhase::ended; });
    // Otherwise the answer to the next heartbeat carries the forget commands, which are not urgent.
    if (hasEndedAttempts && listsTooManyAttempts(machine)) requestDirectCall(machine);
  }
}

// --- direct calls ------------------------------------------------------------------------------------------

void WorkerCommands::sendDirectCommands() {
  // Machines beyond the limit wait, because calls to workers that don't answer stay in flight until their
  // timeout.
  for (auto it = hostsAwaitingDirectCall_.begin(); it != hostsAwaitingDirectCall_.end() && canStartCall();) {
    Machine* machine = state_.machines.find(*it);
    const bool isDue = machine != nullptr && machine->directCommands.isDue;
    if (isDue && (machine->directCommands.inFlight || context_.now < machine->directCommands.nextSendAt)) {
      ++it;
      continue;
    }
    if (isDue) sendDirectCommands(*machine);
    it = hostsAwaitingDirectCall_.erase(it);
  }
}

void WorkerCommands::sendDirectCommands(Machine& machine) {
  machine.directCommands.isDue = false;
  if (machine.endpoint.empty() || machine.incarnation == 0 || !state_.canRenewLeases()) return;
  if (machine.phase != MachinePhase::up && machine.phase != MachinePhase::draining) return;
  DirectCall directCall{machine.host.text, machine.incarnation,
                        issueCommands(machine, HeartbeatSource::directCall, 0)};
  if (directCall.issued.commands.empty() &&
      (machine.contact.tokenAcknowledged || !machine.contact.takeoverProbeSent))
    return;
  for (const wire::Command& command : directCall.issued.commands) {
    if (command.verb != wire::CommandVerb::start) continue;
    Attempt& attempt = *machine.find(command.task, command.attempt);
    ++attempt.directCommandsInFlight;
    attempt.directStartToken = directCall.issued.fencingToken;
  }
  machine.directCommands.inFlight = true;
  onCallStarted();
  wire::Call call;
  call.service = wire::Service::worker;
  call.endpoint = machine.endpoint;
  call.method = "POST";
  call.path = "/commands";
  call.body = wire::encodeCommands(directCall.issued.fencingToken, directCall.issued.commands);
  call.body["shift"] = directCall.incarnation;
  call.timeout = constants::kWorkerCallTimeout;
  context_.calls.start(
      std::move(call),
      guard_.wrap([this, directCall = std::move(directCall)](const wire::CallResult& result) {
        onCallEnded();
        onDirectAnswer(directCall, result);
      }));
}

void WorkerCommands::onDirectAnswer(const DirectCall& call, const wire::CallResult& result) {
  Machine* machine = state_.machines.find(call.host);
  if (machine == nullptr) return;
  machine->directCommands.inFlight = false;
  recordStartOutcomes(*machine, call, result);
  if (result.status == 0) return onNoAnswer(*machine, call, result);
  const auto heartbeat = wire::decodeHeartbeat(result.body);
  if (heartbeat && heartbeat->host.text == call.host) callbacks_.onWorkerState(*machine, *heartbeat);
}

void WorkerCommands::recordStartOutcomes(Machine& machine, const DirectCall& call,
                                         const wire::CallResult& result) {
  const bool canTakeEffect = result.status == 0 && result.sent && machine.incarnation == call.incarnation;
  for (const wire::Command& command : call.issued.commands) {
    if (command.verb != wire::CommandVerb::start) continue;
    Attempt* attempt = machine.find(command.task, command.attempt);
    if (attempt == nullptr) continue;
    --attempt->directCommandsInFlight;
    // The worker can execute the start minutes later, as long as token and incarnation match.
    if (canTakeEffect) attempt->unresolvedStartToken = call.issued.fencingToken;
  }
}

void WorkerCommands::onNoAnswer(Machine& machine, const DirectCall& call, const wire::CallResult& result) {
  // A new token invalidates the commands as soon as the worker has seen it.
  if (result.sent && call.issued.fencingToken == fencingTokenOf(machine)) issueFencingToken(machine);
  machine.directCommands.nextSendAt = context_.now + constants::kWorkerCallTimeout;
  context_.logEvent(LogLevel::info, "command_unanswered",
                    {{"machine", call.host}, {"sent", result.sent ? "yes" : "no"}});
}

}  // namespace reachhoist::service
