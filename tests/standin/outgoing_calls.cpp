#include "standin/outgoing_calls.hpp"

#include <algorithm>
#include <utility>

#include "standin/world.hpp"

namespace standin {

namespace {
constexpr double kConnectTimeoutS = 1.5;
// Share of messages into a delaying partition that use an established connection. Only these arrive at its
// end.
constexpr double kEstablishedShare = 0.5;
}  // namespace

void OutgoingCalls::carryOut(ControllerProcess& caller, const wire::Call& call) {
  const bool toWorker = call.service == wire::Service::worker;
  if (toWorker) {
    std::size_t& inFlightMax = world_.counters.workerCallsInFlightMax;
    inFlightMax = std::max(inFlightMax, ++caller.workerCallsInFlight);
  }
  const auto inFlight =
      std::make_shared<InFlight>(InFlight{caller, caller.incarnation, call.number, toWorker});
  const ResultCallback onResult = [this, inFlight](wire::CallResult result) {
    world_.sim.after(Network::kHopS,
                     [this, inFlight, result = std::move(result)] { finish(inFlight, result); });
  };
  world_.sim.after(std::chrono::duration<double>(call.timeout).count(), [this, inFlight] {
    finish(inFlight, wire::CallResult{0, true, {}});
  });
  const double hopS = Network::kHopS * world_.sim.uniform(0.8, 1.5);
  if (!toWorker) repeatRequest(caller.label(), call);
  if (call.service == wire::Service::state) {
    callStore(caller, call, hopS, onResult);
  } else if (call.service == wire::Service::cloud) {
    world_.sim.after(hopS, [this, call, onResult] { world_.cloud.call(call, onResult); });
  } else {
    callWorker(caller, call, onResult);
  }
}

void OutgoingCalls::finish(const std::shared_ptr<InFlight>& inFlight, const wire::CallResult& result) {
  if (std::exchange(inFlight->finished, true)) return;
  ControllerProcess& caller = inFlight->caller;
  world_.controllers.whenResumed(caller, inFlight->incarnation, [this, &caller, inFlight, result] {
    if (inFlight->toWorker) --caller.workerCallsInFlight;
    world_.controllers.deliverResult(caller, inFlight->number, result);
  });
}

void OutgoingCalls::callStore(const ControllerProcess& caller, const wire::Call& call, double hopS,
                              const ResultCallback& onResult) {
  const FaultPlan& faults = world_.faults;
  const bool isAnswerLost = call.path == "/multi" && world_.sim.chance(faults.lostTransactionShare);
  // The store applies a transaction although its answer is lost, possibly seconds after the sender's timeout.
  const double storeDelayS = faults.storeDelayS > 0 ? faults.storeDelayS * world_.sim.uniform(0.5, 1) : 0;
  const double lostDelayS = isAnswerLost ? world_.sim.uniform(0, faults.lostTransactionDelayMaxS) : 0;
  world_.sim.after(hopS + (storeDelayS + lostDelayS),
                   [this, from = caller.label(), call, onResult, isAnswerLost] {
                     world_.store.request(from, call.method, call.path, call.body,
                                          [onResult, isAnswerLost](int status, Json body) {
                                            if (!isAnswerLost)
                                              onResult(wire::CallResult{status, true, std::move(body)});
                                          });
                   });
}

// Returns the worker that a connection of the caller would reach without partitions between zones, or null.
Worker* OutgoingCalls::reachableWorker(const ControllerProcess& caller, const wire::Call& call) const {
  const auto found = world_.workers.find(call.endpoint.substr(0, call.endpoint.find(':')));
  if (found == world_.workers.end()) return nullptr;
  Worker& worker = *found->second;
  if (!worker.isServing() || world_.sim.now() < worker.inboundPartitionUntilS) return nullptr;
  return world_.network.isPartitionedFromWorkers(caller.label()) ? nullptr : &worker;
}

void OutgoingCalls::callWorker(const ControllerProcess& caller, const wire::Call& call,
                               const ResultCallback& onResult) {
  const auto reportConnectTimeout = [&] {
    world_.sim.after(kConnectTimeoutS, [onResult] { onResult(wire::CallResult{}); });
  };
  Worker* worker = reachableWorker(caller, call);
  if (worker == nullptr) return reportConnectTimeout();
  const auto serve = [worker, call]() -> CommandResponse {
    if (call.method == "GET") return {200, worker->heartbeat()};
    return worker->handleCommands(call.body);
  };
  // Delivers the request late. The caller gets no answer.
  const auto serveWithoutAnswer = [worker, serve] {
    if (worker->isAlive()) serve();
  };
  if (const ZonePartition* partition =
          world_.network.partitionBetween(caller.settings.area, worker->zone())) {
    const bool isDelayed =
        partition->mode == PartitionMode::delay && !(world_.sim.uniform(0, 1) > kEstablishedShare);
    if (!isDelayed) return reportConnectTimeout();
    world_.sim.at(partition->untilS + Network::kHopS, serveWithoutAnswer);
    return;
  }
  if (worker->isHung()) {
    world_.sim.at(worker->hungUntilS() + Network::kHopS, serveWithoutAnswer);
    return;
  }
  world_.sim.after(Network::kHopS, [this, worker, call, serve, onResult] {
    if (!worker->isAlive()) return;
    CommandResponse response = serve();
    repeatCommands(*worker, call);
    onResult(wire::CallResult{response.status, true, std::move(response.body)});
  });
}

void OutgoingCalls::repeatRequest(const std::string& caller, const wire::Call& call) {
  if (call.method == "GET") return;
  world_.repeatLater(world_.faults.repeatedRequests, [this, caller, call] {
    ++world_.counters.repeatedRequests;
    if (call.service == wire::Service::cloud) return world_.cloud.call(call, [](const auto&) {});
    world_.store.request(caller, call.method, call.path, call.body, [](int, const Json&) {});
  });
}

void OutgoingCalls::repeatCommands(Worker& worker, const wire::Call& call) {
  if (call.method == "GET") return;
  world_.repeatLater(world_.faults.repeatedCommands, [this, &worker, call] {
    if (!worker.isAlive() || worker.isHung() || world_.sim.now() < worker.inboundPartitionUntilS) return;
    ++world_.counters.repeatedCommands;
    worker.handleCommands(call.body);
  });
}

}  // namespace standin
