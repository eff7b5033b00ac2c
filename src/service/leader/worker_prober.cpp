#include "service/leader/worker_prober.hpp"

#include <algorithm>
#include <utility>

namespace reachhoist::service {

namespace {
// Takeover probes can use one in this many of the calls allowed to workers.
constexpr unsigned kTakeoverProbeCallsDivisor = 4;
}  // namespace

void WorkerProber::probeOverdue(Machine& machine) {
  if (machine.contact.probeInFlight || machine.contact.unreachable || machine.endpoint.empty() ||
      !commands_.canStartCall())
    return;
  machine.contact.probeInFlight = true;
  probe(machine);
}

void WorkerProber::sendTakeoverProbes() {
  if (context_.now - state_.recordsLoadedAt < constants::kTakeoverProbeDelay || !state_.holdsLeaderLease())
    return;
  unsigned probesLeft =
      std::max(constants::kMinProbesPerTick, context_.settings.maxWorkerCalls() / kTakeoverProbeCallsDivisor);
  for (auto& [host, machine] : state_.machines.all()) {
    if (machine.phase != MachinePhase::up || machine.lastHeartbeatSequence != 0 ||
        machine.contact.takeoverProbeSent || machine.endpoint.empty())
      continue;
    if (probesLeft-- == 0 || !commands_.canStartCall()) return;
    machine.contact.takeoverProbeSent = true;
    probe(machine);
  }
}

void WorkerProber::probeRelayed() {
  std::size_t probed = 0;
  const auto overdueAfter = state_.heartbeatTimeout(constants::kOverdueHeartbeatIntervals, 0.5);
  for (auto& [host, machine] : state_.machines.all()) {
    if (probed == constants::kDirectProbeSamples || !commands_.canStartCall()) return;
    const bool isOnlyRelayed = context_.now - machine.contact.lastHeartbeatAt <= overdueAfter &&
                               context_.now - machine.contact.lastDirectContactAt > overdueAfter;
    if (machine.phase != MachinePhase::up || !isOnlyRelayed || machine.contact.probeInFlight ||
        machine.endpoint.empty())
      continue;
    machine.contact.probeInFlight = true;
    probe(machine);
    ++probed;
  }
}

void WorkerProber::probe(Machine& machine) {
  commands_.onCallStarted();
  wire::Call call;
  call.service = wire::Service::worker;
  call.endpoint = machine.endpoint;
  call.method = "GET";
  call.path = "/inspect";
  call.timeout = constants::kWorkerCallTimeout;
  context_.calls.start(std::move(call),
                       guard_.wrap([this, host = machine.host.text](const wire::CallResult& result) {
                         onProbeAnswer(host, result);
                       }));
}

void WorkerProber::onProbeAnswer(const std::string& host, const wire::CallResult& result) {
  commands_.onCallEnded();
  Machine* machine = state_.machines.find(host);
  if (machine == nullptr) return;
  machine->contact.probeInFlight = false;
  if (result.status == 0) machine->contact.unreachable = true;
  const auto heartbeat = wire::decodeHeartbeat(result.body);
  if (!result.ok() || !heartbeat || heartbeat->host.text != host) return;
  heartbeats_.apply(*machine, *heartbeat, HeartbeatSource::directCall);
  machine->contact.unreachable = false;
  // A direct call delivers the fencing token even if it carries no commands.
  if (!machine->contact.tokenAcknowledged) commands_.requestDirectCall(*machine);
}

}  // namespace reachhoist::service
