#include "service/leader/worker_commands.hpp"

#include <algorithm>
#include <utility>

namespace reachhoist::service {

namespace {
wire::Command makeCommand(wire::CommandVerb verb, const Attempt& attempt, double gracePeriodS = 0) {
  return wire::Command{verb, attempt.task, attempt.number, gracePeriodS};
}
}  // namespace

void WorkerCommands::stop(Machine& machine, Attempt& attempt, double gracePeriodS) {
  if (attempt.phase == AttemptPhase::planned || attempt.phase == AttemptPhase::ended) {
    attempt.stopRequested = true;
    return;
  }
  const bool lessGrace = attempt.stopRequested && gracePeriodS < attempt.gracePeriodS;
  if (attempt.stopRequested && !lessGrace) return;
  attempt.stopRequested = true;
  attempt.gracePeriodS = gracePeriodS;
  attempt.stopSent = false;
  markDue(machine);
}

void WorkerCommands::markDue(Machine& machine) {
  machine.directCommands.isDue = true;
  dueHosts_.insert(machine.host.text);
}

void WorkerCommands::advanceFencingToken(Machine& machine) {
  // Once is enough until the worker has been seen with it.
  if (machine.workerToken < fencingTokenOf(machine)) return;
  requireNewToken(machine);
}

void WorkerCommands::requireNewToken(Machine& machine) {
  ++machine.fencingSequence;
  machine.contact.tokenAcknowledged = false;
  machine.contact.unacknowledgedSince = context_.now;
}

void WorkerCommands::noteAcknowledgedToken(Machine& machine) {
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

std::vector<wire::Command> WorkerCommands::commandsFor(Machine& machine, HeartbeatSource via,
                                                       std::uint64_t sequence) {
  std::vector<wire::Command> forgets;
  std::vector<wire::Command> others;
  for (Attempt& attempt : machine.attempts) {
    const auto command = commandFor(attempt, via, sequence);
    if (!command) continue;
    std::vector<wire::Command>& list = command->verb == wire::CommandVerb::forget ? forgets : others;
    list.push_back(*command);
  }
  forgets.insert(forgets.end(), others.begin(), others.end());
  return forgets;
}

std::optional<wire::Command> WorkerCommands::commandFor(Attempt& attempt, HeartbeatSource via,
                                                        std::uint64_t sequence) {
  switch (attempt.phase) {
    case AttemptPhase::planned:
    case AttemptPhase::released:
      return std::nullopt;
    case AttemptPhase::recorded:
      return startOrStopRecorded(attempt, via, sequence);
    case AttemptPhase::pulling:
    case AttemptPhase::running:
    case AttemptPhase::checkpointing:
      return stopOnMachine(attempt, via);
    case AttemptPhase::ended:
      return forgetEnded(attempt);
  }
  return std::nullopt;
}

std::optional<wire::Command> WorkerCommands::startOrStopRecorded(Attempt& attempt, HeartbeatSource via,
                                                                 std::uint64_t sequence) {
  if (attempt.stopRequested) return makeCommand(wire::CommandVerb::stop, attempt);
  // Not started again: it may have ended and been forgotten under an earlier leader.
  if (attempt.inherited) return std::nullopt;
  // Without the leader lease another controller may have confirmed the job's cancellation meanwhile.
  if (attempt.directCommandsInFlight != 0 || !state_.holdsLeaderLease()) return std::nullopt;
  if (attempt.isGangMember && !hooks_.mayStartGang(attempt)) return std::nullopt;
  if (via != HeartbeatSource::direct && attempt.startSentInSequence == 0)
    attempt.startSentInSequence = sequence;
  return makeCommand(wire::CommandVerb::start, attempt);
}

std::optional<wire::Command> WorkerCommands::stopOnMachine(Attempt& attempt, HeartbeatSource via) {
  if (!attempt.stopRequested) return std::nullopt;
  if (attempt.stopSent && via == HeartbeatSource::direct) return std::nullopt;
  if (attempt.phase == AttemptPhase::checkpointing && attempt.gracePeriodS > 0) return std::nullopt;
  attempt.stopSent = true;
  return makeCommand(wire::CommandVerb::stop, attempt, attempt.gracePeriodS);
}

std::optional<wire::Command> WorkerCommands::forgetEnded(const Attempt& attempt) {
  // A start that may still arrive would start the attempt anew once the worker has forgotten it.
  if (attempt.directCommandsInFlight > 0 || attempt.unresolvedStartToken) return std::nullopt;
  const bool completed = attempt.cause == wire::Cause::done && !attempt.isService;
  if (completed && !hooks_.isCompletionDurable(attempt.task)) return std::nullopt;
  return makeCommand(wire::CommandVerb::forget, attempt);
}

void WorkerCommands::scheduleForgets() {
  for (auto& [host, machine] : state_.machines.all()) {
    const bool forgettable =
        std::any_of(machine.attempts.begin(), machine.attempts.end(),
                    [](const Attempt& attempt) { return attempt.phase == AttemptPhase::ended; });
    // Otherwise the answer to the next heartbeat carries it: nothing waits for a forget command.
    if (forgettable && machine.attempts.size() > constants::kMaxEndedAttemptsListed) markDue(machine);
  }
}

// --- direct calls ------------------------------------------------------------------------------------------

void WorkerCommands::sendDirectCommands() {
  // Machines beyond the limit wait: those that don't answer occupy their calls until the time limit.
  for (auto at = dueHosts_.begin(); at != dueHosts_.end() && mayCall();) {
    Machine* machine = state_.machines.find(*at);
    const bool due = machine != nullptr && machine->directCommands.isDue;
    if (due && (machine->directCommands.inFlight || context_.now < machine->directCommands.nextSendAt)) {
      ++at;
      continue;
    }
    if (due) sendDirectCommands(*machine);
    at = dueHosts_.erase(at);
  }
}

void WorkerCommands::sendDirectCommands(Machine& machine) {
  machine.directCommands.isDue = false;
  if (machine.endpoint.empty() || machine.incarnation == 0 || !state_.mayRenewLeases()) return;
  if (machine.phase != MachinePhase::up && machine.phase != MachinePhase::draining) return;
  DirectCall direct{machine.host.text, fencingTokenOf(machine), machine.incarnation,
                    commandsFor(machine, HeartbeatSource::direct, 0)};
  if (direct.commands.empty() && (machine.contact.tokenAcknowledged || !machine.contact.takeoverProbeSent))
    return;
  for (const wire::Command& command : direct.commands)
    if (command.verb == wire::CommandVerb::start)
      ++machine.find(command.task, command.attempt)->directCommandsInFlight;
  machine.directCommands.inFlight = true;
  callBegins();
  wire::Call call;
  call.service = wire::Service::worker;
  call.endpoint = machine.endpoint;
  call.method = "POST";
  call.path = "/commands";
  call.body = wire::encodeCommands(direct.token, direct.commands);
  call.body["shift"] = direct.incarnation;
  call.timeout = constants::kWorkerCallTimeout;
  context_.calls.start(std::move(call),
                       guard_.wrap([this, direct = std::move(direct)](const wire::CallResult& result) {
                         callEnds();
                         onDirectAnswer(direct, result);
                       }));
}

void WorkerCommands::onDirectAnswer(const DirectCall& call, const wire::CallResult& result) {
  Machine* machine = state_.machines.find(call.host);
  if (machine == nullptr) return;
  machine->directCommands.inFlight = false;
  settleStarts(*machine, call, result);
  if (result.status == 0) return onNoAnswer(*machine, call, result);
  const auto heartbeat = wire::decodeHeartbeat(result.body);
  if (heartbeat && heartbeat->host.text == call.host) hooks_.onAnswer(*machine, *heartbeat);
}

void WorkerCommands::settleStarts(Machine& machine, const DirectCall& call, const wire::CallResult& result) {
  const bool mayTakeEffect = result.status == 0 && result.sent && machine.incarnation == call.incarnation;
  for (const wire::Command& command : call.commands) {
    if (command.verb != wire::CommandVerb::start) continue;
    Attempt* attempt = machine.find(command.task, command.attempt);
    if (attempt == nullptr) continue;
    --attempt->directCommandsInFlight;
    // The worker may execute it minutes later, as long as token and incarnation match.
    if (mayTakeEffect) attempt->unresolvedStartToken = call.token;
  }
}

void WorkerCommands::onNoAnswer(Machine& machine, const DirectCall& call, const wire::CallResult& result) {
  // The commands are void once the worker has seen the higher token.
  if (result.sent && call.token == fencingTokenOf(machine)) requireNewToken(machine);
  machine.directCommands.nextSendAt = context_.now + constants::kWorkerCallTimeout;
  context_.event(Level::info, "command_unanswered",
                 {{"machine", call.host}, {"sent", result.sent ? "yes" : "no"}});
}

}  // namespace reachhoist::service
