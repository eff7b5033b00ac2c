#include "standin/controllers.hpp"

#include <algorithm>
#include <utility>

#include "standin/world.hpp"

namespace standin {

namespace {
constexpr double kTickS = 0.05;
constexpr double kResumeDelayS = 0.001;
constexpr std::uint64_t kSeedsPerIncarnation = 1000;
constexpr double kSeedMax = 1e6;
}  // namespace

void Controllers::create(const config::Settings& settings) {
  for (const auto& sibling : settings.siblings) {
    auto process = std::make_unique<ControllerProcess>();
    process->settings = settings;
    process->settings.label = sibling.label;
    process->settings.area = sibling.area;
    std::erase_if(process->settings.siblings,
                  [&](const auto& other) { return other.label == sibling.label; });
    processes_.push_back(std::move(process));
  }
}

void Controllers::onLog(const std::string& label, const std::string& line) {
  if (line.starts_with("event=elected")) ++world_.counters.elections;
  if (line.starts_with("event=shares_refused")) ++world_.counters.shareTablesRefused;
  if (world_.log) world_.log(std::to_string(world_.sim.now()) + " " + label + " " + line);
}

void Controllers::run(ControllerProcess& process) {
  ++process.incarnation;
  process.workerCallsInFlight = 0;
  const std::uint64_t seed = kSeedsPerIncarnation * process.incarnation +
                             static_cast<std::uint64_t>(world_.sim.uniform(0, kSeedMax));
  process.controller = std::make_unique<service::Controller>(
      process.settings, seed, service::LogLevel::debug,
      [this, label = process.label()](service::LogLevel, const std::string& line) { onLog(label, line); });
  process.suspendedUntilS = 0;
  process.controller->start(world_.clock(), world_.sim.wallClockMs());
  carryOutActions(process);
  world_.sim.after(kTickS,
                   [this, &process, incarnation = process.incarnation] { tick(process, incarnation); });
}

void Controllers::tick(ControllerProcess& process, std::uint64_t incarnation) {
  if (process.incarnation != incarnation || !process.controller) return;
  if (world_.sim.now() < process.suspendedUntilS)
    return whenResumed(process, incarnation, [this, &process, incarnation] { tick(process, incarnation); });
  process.controller->tick(world_.clock(), world_.sim.wallClockMs());
  carryOutActions(process);
  world_.sim.after(kTickS, [this, &process, incarnation] { tick(process, incarnation); });
}

void Controllers::whenResumed(ControllerProcess& process, std::uint64_t incarnation,
                              std::function<void()> action) {
  if (world_.sim.now() >= process.suspendedUntilS) {
    if (process.incarnation == incarnation && process.controller) action();
    return;
  }
  world_.sim.at(process.suspendedUntilS + kResumeDelayS,
                [this, &process, incarnation, action = std::move(action)] {
                  whenResumed(process, incarnation, action);
                });
}

void Controllers::suspend(const std::string& label, double durationS) {
  for (auto& process : processes_)
    if (process->label() == label) process->suspendedUntilS = world_.sim.now() + durationS;
}

void Controllers::crash(const std::string& label, double restartAfterS) {
  for (auto& entry : processes_) {
    ControllerProcess& process = *entry;
    if (process.label() != label || !process.controller) continue;
    // One of the controller's own calls may cause the crash, so the controller must not be destroyed here.
    const std::uint64_t incarnation = ++process.incarnation;
    world_.sim.after(0, [this, &process, incarnation, restartAfterS] {
      if (process.incarnation != incarnation) return;
      stop(process);
      world_.sim.after(restartAfterS, [this, &process, incarnation] {
        if (process.incarnation == incarnation) world_.startController(process);
      });
    });
  }
}

void Controllers::stop(ControllerProcess& process) {
  process.controller.reset();
  for (auto& [number, answer] : std::exchange(process.pendingReplies, {}))
    answer(service::Response{number, 0, {}, std::nullopt});
}

ControllerProcess* Controllers::leadingProcess() const {
  for (const auto& process : processes_)
    if (process->isLeader()) return process.get();
  return nullptr;
}

std::string Controllers::leaderLabel() const {
  const ControllerProcess* process = leadingProcess();
  return process == nullptr ? "" : process->label();
}

ControllerProcess& Controllers::nextRunningProcess() {
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    ControllerProcess& process = *processes_[nextIndex_++ % processes_.size()];
    if (process.controller) return process;
  }
  return *processes_.front();
}

void Controllers::send(ControllerProcess& process, const std::string& method, const std::string& target,
                       const std::string& body, Answer answer) {
  world_.sim.after(Network::kHopS, [this, &process, method, target, body, answer = std::move(answer)] {
    if (!process.controller) return answer(0, Json());
    whenResumed(process, process.incarnation, [this, &process, method, target, body, answer] {
      const std::uint64_t number = process.nextRequestNumber++;
      process.pendingReplies[number] = [answer](const service::Response& reply) {
        answer(reply.status, reply.body);
      };
      process.controller->onRequest(world_.clock(), world_.sim.wallClockMs(),
                                    service::Request{number, method, target, body});
      carryOutActions(process);
    });
  });
}

void Controllers::deliverResult(ControllerProcess& process, std::uint64_t call,
                                const wire::CallResult& result) {
  process.controller->onResult(world_.clock(), world_.sim.wallClockMs(), call, result);
  carryOutActions(process);
}

void Controllers::carryOutActions(ControllerProcess& process) {
  if (!process.controller) return;
  const service::Actions actions = process.controller->drain();
  for (const service::Response& reply : actions.responses) {
    auto found = process.pendingReplies.extract(reply.request);
    if (found.empty()) continue;
    world_.sim.after(Network::kHopS, [answer = std::move(found.mapped()), reply] { answer(reply); });
  }
  for (const service::OutgoingPeerMessage& send : actions.peerMessages) sendToPeer(process, send);
  for (const wire::Call& call : actions.calls) calls_.carryOut(process, call);
}

void Controllers::crashAfterNextRelay(const std::string& label, double restartAfterS) {
  delayedRelays_[label] = DelayedRelay{restartAfterS, std::nullopt, 0};
}

bool Controllers::delayRelay(const ControllerProcess& process, const service::OutgoingPeerMessage& send) {
  const auto found = delayedRelays_.find(process.label());
  if (found == delayedRelays_.end() ||
      !std::holds_alternative<reachhoist::peer::RelayRequest>(send.message.payload))
    return false;
  DelayedRelay& delayed = found->second;
  if (!delayed.message) {
    delayed.message = send;
    crash(process.label(), delayed.restartAfterS);
    delayed.crashedIncarnation = process.incarnation;
    return true;
  }
  if (process.incarnation == delayed.crashedIncarnation) return false;
  ++world_.counters.lateRelays;
  deliverToPeer(process, *delayed.message);
  delayedRelays_.erase(found);
  return false;
}

void Controllers::sendToPeer(ControllerProcess& process, const service::OutgoingPeerMessage& send) {
  if (delayRelay(process, send)) return;
  deliverToPeer(process, send);
  world_.repeatLater(world_.faults.repeatedRequests, [this, &process, send] {
    ++world_.counters.repeatedRequests;
    deliverToPeer(process, send);
  });
}

void Controllers::deliverToPeer(const ControllerProcess& process, const service::OutgoingPeerMessage& send) {
  const Network& network = world_.network;
  for (auto& entry : processes_) {
    ControllerProcess& peer = *entry;
    if (peer.label() != send.to || network.areZonesPartitioned(process.settings.area, peer.settings.area))
      continue;
    if (network.isPartitionedFromPeers(process.label()) || network.isPartitionedFromPeers(peer.label()))
      continue;
    // Encodes and decodes the message, so that every scenario covers the codec.
    const auto message = reachhoist::peer::decode(reachhoist::peer::encode(send.message));
    world_.sim.after(Network::kHopS, [this, &peer, message] {
      whenResumed(peer, peer.incarnation, [this, &peer, message] {
        peer.controller->onPeerMessage(world_.clock(), world_.sim.wallClockMs(), *message);
        carryOutActions(peer);
      });
    });
  }
}

}  // namespace standin
