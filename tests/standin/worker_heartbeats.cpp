// The worker's heartbeats and their answers.
#include <algorithm>

#include "standin/world.hpp"

namespace standin {

namespace {
constexpr double kHeartbeatIntervalMinS = 0.5;  // minimum time before a heartbeat that a change triggers
constexpr double kAnswerTimeoutS = 4;
constexpr double kNextControllerDelayS = 1;
constexpr double kRedirectDelayMaxS = 0.5;
constexpr int kRedirected = 421;
}  // namespace

std::string_view Worker::name(TaskState state) {
  switch (state) {
    case TaskState::pulling:
      return "pulling";
    case TaskState::waiting:
      return "waiting";
    case TaskState::running:
      return "running";
    case TaskState::saving:
      return "saving";
    case TaskState::ended:
      return "ended";
  }
  return "";
}

void Worker::scheduleEarlyHeartbeat() {
  nextHeartbeatAtS_ = std::min(nextHeartbeatAtS_, lastHeartbeatAtS_ + kHeartbeatIntervalMinS);
}

Json Worker::heartbeat() {
  Json tasks = Json::array();
  for (const auto& [key, attempt] : attempts_) {
    Json entry{{"load", key.task.str()}, {"try", key.attempt}, {"stage", name(attempt.state)}};
    if (!attempt.cause.empty()) entry["cause"] = attempt.cause;
    if (attempt.saved) entry["stored"] = true;
    tasks.push_back(std::move(entry));
  }
  Json report{{"host", host()},       {"endpoint", world_.workerEndpoint(host())},
              {"rig", machineType()}, {"yard", zone()},
              {"loaners", spot()},    {"shift", incarnation_},
              {"tally", ++sequence_}, {"baton", fencingToken_},
              {"loads", tasks}};
  if (spotNoticeS_) report["recallS"] = *spotNoticeS_;
  return report;
}

void Worker::tryHeartbeat() {
  if (heartbeatInFlight_ || world_.sim.now() < nextHeartbeatAtS_) return;
  sendHeartbeat();
}

void Worker::sendHeartbeat() {
  heartbeatInFlight_ = true;
  lastHeartbeatAtS_ = world_.sim.now();
  nextHeartbeatAtS_ =
      lastHeartbeatAtS_ + world_.baseSettings.workers.heartbeatIntervalS * world_.sim.uniform(0.75, 1.25);
  ControllerProcess& controller = world_.controllers.at(controllerIndex_);
  const std::string body = wire::encodeBody(heartbeat());
  const auto answered = std::make_shared<bool>(false);
  const auto onAnswer = [this, answered, incarnation = incarnation_, sentAtS = lastHeartbeatAtS_](
                            int status, const Json& answer) {
    if (*answered || (status != 0 && world_.sim.now() < inboundPartitionUntilS)) return;
    *answered = true;
    schedule(0, [this, status, answer, incarnation, sentAtS] {
      onHeartbeatAnswer(status, answer, incarnation, sentAtS);
    });
  };
  world_.heartbeatReplay.onHeartbeatSent(host(), body);
  const bool unreachable = world_.network.areZonesPartitioned(zone(), controller.settings.area) ||
                           world_.network.isPartitionedFromWorkers(controller.label()) ||
                           world_.sim.now() < outboundPartitionUntilS;
  if (!unreachable) world_.sendToController(controller, "POST", kHeartbeatPath, body, onAnswer);
  schedule(kAnswerTimeoutS, [onAnswer] { onAnswer(0, Json()); });
  duplicateHeartbeat(body);
}

// With FaultPlan::duplicateHeartbeats, the network delivers some heartbeats a second time, to any
// controller. The answer to the second delivery is lost.
void Worker::duplicateHeartbeat(const std::string& body) {
  world_.repeatLater(world_.faults.duplicateHeartbeats, [this, body] {
    ControllerProcess& controller = world_.controllers.at(world_.sim.randomIndex(world_.controllers.count()));
    world_.sendToController(controller, "POST", kHeartbeatPath, body, [](int, const Json&) {});
  });
}

void Worker::onHeartbeatAnswer(int status, const Json& body, std::uint64_t incarnation, double sentAtS) {
  heartbeatInFlight_ = false;
  if (status == 200) return onLeaseRenewed(body, incarnation, sentAtS);
  if (status == kRedirected && followRedirect(body)) return;
  controllerIndex_ = (controllerIndex_ + 1) % world_.controllers.count();
  nextHeartbeatAtS_ = world_.sim.now() + kNextControllerDelayS;
}

void Worker::onLeaseRenewed(const Json& body, std::uint64_t incarnation, double sentAtS) {
  const std::uint64_t token = body.value("baton", std::uint64_t{0});
  if (incarnation != incarnation_ || token < fencingToken_) return;
  if (token > fencingToken_) {
    fencingToken_ = token;
    scheduleEarlyHeartbeat();
  }
  leaseRenewedAtS_ = sentAtS;
  ++world_.counters.heartbeatsAnswered[host()];
  executeCommands(body["orders"]);
}

// Switches to the leader that the answer names. Returns false if it names none or the current controller.
bool Worker::followRedirect(const Json& body) {
  if (!body.contains("foreman")) return false;
  for (std::size_t i = 0; i < world_.controllers.count(); ++i) {
    if (world_.controllers.at(i).label() != body["foreman"] || i == controllerIndex_) continue;
    controllerIndex_ = i;
    nextHeartbeatAtS_ = world_.sim.now() + world_.sim.uniform(0, kRedirectDelayMaxS);
    return true;
  }
  return false;
}

}  // namespace standin
