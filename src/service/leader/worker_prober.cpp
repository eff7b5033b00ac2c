#include "service/leader/worker_prober.hpp"

#include <algorithm>
#include <utility>

namespace reachhoist::service {

namespace {
// Probes of unheard workers may take this fraction of the calls to workers.
constexpr unsigned kUnheardCallsDivisor = 4;
}  // namespace

void WorkerProber::probeOverdue(Machine& machine) {
  if (machine.contact.probeInFlight || machine.contact.unreachable || machine.endpoint.empty() ||
      !commands_.mayCall())
    return;
  machine.contact.probeInFlight = true;
  probe(machine);
}

void WorkerProber::probeUnheard() {
  if (context_.now - state_.actingSince < constants::kTakeoverProbeDelay || !state_.holdsLeaderLease())
    return;
  unsigned left =
      std::max(constants::kMinProbesPerTick, context_.settings.maxWorkerCalls() / kUnheardCallsDivisor);
  for (auto& [host, machine] : state_.machines.all()) {
    if (machine.phase != MachinePhase::up || machine.lastHeartbeatSequence != 0 ||
        machine.contact.takeoverProbeSent || machine.endpoint.empty())
      continue;
    if (left-- == 0 || !commands_.mayCall()) return;
    machine.contact.takeoverProbeSent = true;
    probe(machine);
  }
}

void WorkerProber::probeRelayed() {
  std::size_t probed = 0;
  const auto overdue = state_.heartbeatTimeout(constants::kOverdueHeartbeatIntervals, 0.5);
  for (auto& [host, machine] : state_.machines.all()) {
    if (probed == constants::kDirectProbeSamples || !commands_.mayCall()) return;
    const bool relayed = context_.now - machine.contact.lastHeartbeatAt <= overdue &&
                         context_.now - machine.contact.lastDirectContactAt > overdue;
    if (machine.phase != MachinePhase::up || !relayed || machine.contact.probeInFlight ||
        machine.endpoint.empty())
      continue;
    machine.contact.probeInFlight = true;
    probe(machine);
    ++probed;
  }
}

void WorkerProber::probe(Machine& machine) {
  commands_.callBegins();
  wire::Call call;
  call.service = wire::Service::worker;
  call.endpoint = machine.endpoint;
  call.method = "GET";
  call.path = "/inspect";
  call.timeout = constants::kWorkerCallTimeout;
  context_.calls.start(std::move(call),
                       guard_.wrap([this, host = machine.host.text](const wire::CallResult& result) {
                         onAnswer(host, result);
                       }));
}

void WorkerProber::onAnswer(const std::string& host, const wire::CallResult& result) {
  commands_.callEnds();
  Machine* machine = state_.machines.find(host);
  if (machine == nullptr) return;
  machine->contact.probeInFlight = false;
  if (result.status == 0) machine->contact.unreachable = true;
  const auto heartbeat = wire::decodeHeartbeat(result.body);
  if (!result.ok() || !heartbeat || heartbeat->host.text != host) return;
  heartbeats_.apply(*machine, *heartbeat, HeartbeatSource::direct);
  machine->contact.unreachable = false;
  // Even without commands the call brings the fencing token.
  if (!machine->contact.tokenAcknowledged) commands_.markDue(*machine);
}

}  // namespace reachhoist::service
