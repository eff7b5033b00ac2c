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
  machine.ordersDue = true;
  due_.insert(machine.host.text);
}

void WorkerCommands::advanceFencingToken(Machine& machine) {
  // Once is enough until the worker has been seen with it.
  if (machine.workerToken < fencingTokenOf(machine)) return;
  ++machine.fencingSequence;
  machine.echoed = false;
  machine.unechoedSince = context_.now;
}

void WorkerCommands::noteEcho(Machine& machine) {
  if (machine.echoed || machine.workerToken < fencingTokenOf(machine)) {
    if (!machine.echoed && machine.unechoedSince == Time{}) machine.unechoedSince = context_.now;
    return;
  }
  machine.echoed = true;
  machine.unechoedSince = Time{};
  hooks_.echoed();
}

std::vector<wire::Order> WorkerCommands::ordersFor(Machine& machine, Source via, std::uint64_t sequence) {
  std::vector<wire::Order> forgets;
  std::vector<wire::Order> rest;
  for (Attempt& attempt : machine.attempts) {
    wire::Order order{wire::Verb::start, attempt.task, attempt.number, 0};
    switch (attempt.phase) {
      case AttemptPhase::planned:
      case AttemptPhase::free:
        break;
      case AttemptPhase::recorded:
        // Never repeated for what may have ended and been forgotten under an earlier leader.
        if (attempt.inherited && !attempt.stopWanted) break;
        if (attempt.stopWanted) {
          order.verb = wire::Verb::stop;
          rest.push_back(order);
        } else if (attempt.directs == 0 && hooks_.sure() && (!attempt.gang || hooks_.mayStartGang(attempt))) {
          // Nothing is begun on old news: another controller may have confirmed the job's cancellation since.
          if (via != Source::direct && attempt.answeredAt == 0) attempt.answeredAt = sequence;
          rest.push_back(order);
        }
        break;
      case AttemptPhase::pulling:
      case AttemptPhase::running:
      case AttemptPhase::saving:
        if (!attempt.stopWanted) break;
        if (attempt.stopSent && via == Source::direct) break;
        if (attempt.phase == AttemptPhase::saving && attempt.graceS > 0) break;
        order.verb = wire::Verb::stop;
        order.graceS = attempt.graceS;
        attempt.stopSent = true;
        rest.push_back(order);
        break;
      case AttemptPhase::ended:
        // A start that may still arrive would start the attempt anew once the worker has forgotten it.
        if (attempt.directs > 0 || attempt.openToken) break;
        if (attempt.cause == wire::Cause::done && !attempt.isService && !hooks_.isDurable(attempt.task))
          break;
        order.verb = wire::Verb::forget;
        forgets.push_back(order);
        break;
    }
  }
  forgets.insert(forgets.end(), rest.begin(), rest.end());
  return forgets;
}

bool WorkerCommands::mayCall() const { return calls_ < context_.settings.workerCallsMost(); }

void WorkerCommands::sendDirects() {
  // The rest waits for sockets: machines that don't answer hold theirs for up to the time limit.
  for (auto at = due_.begin(); at != due_.end() && mayCall();) {
    Machine* machine = machines_.find(*at);
    if (machine != nullptr && machine->ordersDue && (machine->direct || context_.now < machine->nextDirect)) {
      ++at;
      continue;
    }
    if (machine != nullptr && machine->ordersDue) sendDirect(*machine);
    at = due_.erase(at);
  }
}

void WorkerCommands::sendDirect(Machine& machine) {
  machine.ordersDue = false;
  if (machine.endpoint.empty() || machine.session == 0 || !hooks_.mayAnswer()) return;
  if (machine.phase != MachinePhase::up && machine.phase != MachinePhase::draining) return;
  const auto orders = ordersFor(machine, Source::direct, 0);
  if (orders.empty() && (machine.echoed || !machine.probedUnheard)) return;
  for (const wire::Order& order : orders)
    if (order.verb == wire::Verb::start) ++machine.find(order.task, order.attempt)->directs;
  machine.direct = true;
  ++calls_;
  wire::Call call;
  call.to = wire::Service::worker;
  call.endpoint = machine.endpoint;
  call.method = "POST";
  call.path = "/commands";
  const std::uint64_t token = fencingTokenOf(machine);
  call.body = wire::encodeOrders(token, orders);
  call.body["shift"] = machine.session;
  call.timeout = constants::kWorkerTimeout;
  context_.calls.start(std::move(call),
                       [this, host = machine.host.text, token, session = machine.session, orders,
                        alive = std::weak_ptr<int>(alive_)](const wire::CallResult& result) {
                         if (!alive.lock()) return;
                         --calls_;
                         onDirect(host, token, session, orders, result);
                       });
}

void WorkerCommands::onDirect(const std::string& host, std::uint64_t token, std::uint64_t session,
                              const std::vector<wire::Order>& orders, const wire::CallResult& result) {
  Machine* machine = machines_.find(host);
  if (machine == nullptr) return;
  machine->direct = false;
  const bool answered = result.status != 0;
  for (const wire::Order& order : orders) {
    if (order.verb != wire::Verb::start) continue;
    Attempt* attempt = machine->find(order.task, order.attempt);
    if (attempt == nullptr) continue;
    --attempt->directs;
    // It may be carried out minutes later, as long as token and session match.
    if (!answered && result.sent && machine->session == session) attempt->openToken = token;
  }
  if (!answered) {
    if (result.sent && token == fencingTokenOf(*machine)) {
      // Makes the command void once the worker has seen the higher token.
      ++machine->fencingSequence;
      machine->echoed = false;
      machine->unechoedSince = context_.now;
    }
    machine->nextDirect = context_.now + constants::kWorkerTimeout;
    context_.event(Level::info, "no_answer", {{"machine", host}, {"sent", result.sent ? "yes" : "no"}});
    return;
  }
  if (auto report = wire::decodeReport(result.body); report && report->host.text == host)
    hooks_.answered(*machine, *report);
}

}  // namespace reachhoist::service
