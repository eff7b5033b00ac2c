#include "service/worker_commands.hpp"

#include <algorithm>
#include <utility>

namespace reachhoist::service {

WorkerCommands::WorkerCommands(Context& context, machines::MachineTable& machines, std::uint64_t term,
                               Hooks hooks)
    : context_(context), machines_(machines), term_(term), hooks_(std::move(hooks)) {}

void WorkerCommands::stop(Machine& machine, Attempt& attempt, double graceS) {
  if (attempt.phase == AttemptPhase::planned || attempt.phase == AttemptPhase::ended) {
    attempt.stopWanted = true;
    return;
  }
  const bool harder = attempt.stopWanted && graceS < attempt.graceS;
  if (attempt.stopWanted && !harder) return;
  attempt.stopWanted = true;
  attempt.graceS = graceS;
  attempt.stopSent = false;
  markDue(machine);
}

void WorkerCommands::markDue(Machine& machine) {
  machine.commandsDue = true;
  due_.insert(machine.host.text);
}

void WorkerCommands::advanceFencingToken(Machine& machine) {
  // Once is enough until the worker has been seen with it.
  if (machine.workerToken < fencingTokenOf(machine)) return;
  ++machine.fencingSequence;
  machine.tokenAcknowledged = false;
  machine.unacknowledgedSince = context_.now;
}

void WorkerCommands::noteAcknowledgedToken(Machine& machine) {
  if (machine.tokenAcknowledged || machine.workerToken < fencingTokenOf(machine)) {
    if (!machine.tokenAcknowledged && machine.unacknowledgedSince == Time{})
      machine.unacknowledgedSince = context_.now;
    return;
  }
  machine.tokenAcknowledged = true;
  machine.unacknowledgedSince = Time{};
  hooks_.tokenAcknowledged();
}

std::vector<wire::Command> WorkerCommands::commandsFor(Machine& machine, Source via, std::uint64_t sequence) {
  std::vector<wire::Command> forgets;
  std::vector<wire::Command> rest;
  for (Attempt& attempt : machine.attempts) {
    wire::Command command{wire::CommandVerb::start, attempt.task, attempt.number, 0};
    switch (attempt.phase) {
      case AttemptPhase::planned:
      case AttemptPhase::free:
        break;
      case AttemptPhase::recorded:
        // Never repeated for what may have ended and been forgotten under an earlier leader.
        if (attempt.inherited && !attempt.stopWanted) break;
        if (attempt.stopWanted) {
          command.verb = wire::CommandVerb::stop;
          rest.push_back(command);
        } else if (attempt.directCommandsInFlight == 0 && hooks_.holdsLeaderLease() &&
                   (!attempt.gang || hooks_.mayStartGang(attempt))) {
          // Nothing is begun on old news: another controller may have confirmed the job's cancellation since.
          if (via != Source::direct && attempt.startSentInSequence == 0)
            attempt.startSentInSequence = sequence;
          rest.push_back(command);
        }
        break;
      case AttemptPhase::pulling:
      case AttemptPhase::running:
      case AttemptPhase::saving:
        if (!attempt.stopWanted) break;
        if (attempt.stopSent && via == Source::direct) break;
        if (attempt.phase == AttemptPhase::saving && attempt.graceS > 0) break;
        command.verb = wire::CommandVerb::stop;
        command.graceS = attempt.graceS;
        attempt.stopSent = true;
        rest.push_back(command);
        break;
      case AttemptPhase::ended:
        // A start that may still arrive would start the attempt anew once the worker has forgotten it.
        if (attempt.directCommandsInFlight > 0 || attempt.unresolvedStartToken) break;
        if (attempt.cause == wire::Cause::done && !attempt.isService && !hooks_.isDurable(attempt.task))
          break;
        command.verb = wire::CommandVerb::forget;
        forgets.push_back(command);
        break;
    }
  }
  forgets.insert(forgets.end(), rest.begin(), rest.end());
  return forgets;
}

bool WorkerCommands::mayCall() const { return calls_ < context_.settings.maxWorkerCalls(); }

void WorkerCommands::sendDirectCommands() {
  // The rest waits for sockets: machines that don't answer hold theirs for up to the time limit.
  for (auto at = due_.begin(); at != due_.end() && mayCall();) {
    Machine* machine = machines_.find(*at);
    if (machine != nullptr && machine->commandsDue &&
        (machine->directCommandInFlight || context_.now < machine->nextDirectAt)) {
      ++at;
      continue;
    }
    if (machine != nullptr && machine->commandsDue) sendDirectCommand(*machine);
    at = due_.erase(at);
  }
}

void WorkerCommands::sendDirectCommand(Machine& machine) {
  machine.commandsDue = false;
  if (machine.endpoint.empty() || machine.incarnation == 0 || !hooks_.mayRenewLeases()) return;
  if (machine.phase != MachinePhase::up && machine.phase != MachinePhase::draining) return;
  const auto commands = commandsFor(machine, Source::direct, 0);
  if (commands.empty() && (machine.tokenAcknowledged || !machine.probedUnheard)) return;
  for (const wire::Command& command : commands)
    if (command.verb == wire::CommandVerb::start)
      ++machine.find(command.task, command.attempt)->directCommandsInFlight;
  machine.directCommandInFlight = true;
  ++calls_;
  wire::Call call;
  call.to = wire::Service::worker;
  call.endpoint = machine.endpoint;
  call.method = "POST";
  call.path = "/commands";
  const std::uint64_t token = fencingTokenOf(machine);
  call.body = wire::encodeCommands(token, commands);
  call.body["shift"] = machine.incarnation;
  call.timeout = constants::kWorkerCallTimeout;
  context_.calls.start(std::move(call),
                       [this, host = machine.host.text, token, incarnation = machine.incarnation, commands,
                        alive = std::weak_ptr<int>(alive_)](const wire::CallResult& result) {
                         if (!alive.lock()) return;
                         --calls_;
                         onDirectCommandAnswer(host, token, incarnation, commands, result);
                       });
}

void WorkerCommands::onDirectCommandAnswer(const std::string& host, std::uint64_t token,
                                           std::uint64_t incarnation,
                                           const std::vector<wire::Command>& commands,
                                           const wire::CallResult& result) {
  Machine* machine = machines_.find(host);
  if (machine == nullptr) return;
  machine->directCommandInFlight = false;
  const bool answered = result.status != 0;
  for (const wire::Command& command : commands) {
    if (command.verb != wire::CommandVerb::start) continue;
    Attempt* attempt = machine->find(command.task, command.attempt);
    if (attempt == nullptr) continue;
    --attempt->directCommandsInFlight;
    // It may be carried out minutes later, as long as token and session match.
    if (!answered && result.sent && machine->incarnation == incarnation)
      attempt->unresolvedStartToken = token;
  }
  if (!answered) {
    if (result.sent && token == fencingTokenOf(*machine)) {
      // Makes the command void once the worker has seen the higher token.
      ++machine->fencingSequence;
      machine->tokenAcknowledged = false;
      machine->unacknowledgedSince = context_.now;
    }
    machine->nextDirectAt = context_.now + constants::kWorkerCallTimeout;
    context_.event(Level::info, "no_answer", {{"machine", host}, {"sent", result.sent ? "yes" : "no"}});
    return;
  }
  if (auto heartbeat = wire::decodeHeartbeat(result.body); heartbeat && heartbeat->host.text == host)
    hooks_.answered(*machine, *heartbeat);
}

}  // namespace reachhoist::service
