#include "property/election_cluster.hpp"

#include <algorithm>

#include "standin/election_check.hpp"

namespace election_cluster {

namespace cluster = reachhoist::cluster;
namespace state = reachhoist::state;

namespace {
constexpr double kTickS = 0.05;
constexpr double kNormalDelayMaxS = 0.01;
constexpr double kSlowAnswerDelayMaxS = 1.4;
constexpr double kLateTransactionDelayMaxS = 12;
constexpr double kSeedMax = 1e9;
constexpr unsigned kPartitions = 3;
constexpr const char* kTransactionPath = "/multi";
}  // namespace

std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  return out << "fault " << static_cast<int>(fault.kind) << " of hoist-" << fault.controller << " at "
             << fault.startS << " s for " << fault.durationS << " s";
}

ElectionCluster::ElectionCluster(std::size_t controllerCount, std::size_t opsPerTransaction,
                                 std::uint64_t seed)
    : sim_(seed), store_(sim_, {.opsPerTransaction = opsPerTransaction}) {
  store_.addAppliedListener([this](const std::string& /*client*/, const std::string& key) {
    standin::checkElectionWrite(checker_, sim_.now(), store_, key);
    if (key == standin::kLeaderKey) ++electionCount_;
  });
  for (std::size_t i = 0; i < controllerCount; ++i) {
    auto controller = std::make_unique<Controller>();
    controller->settings.label = "hoist-" + std::to_string(i);
    controller->settings.initialPartitions = kPartitions;
    controller->settings.stateLimits.opsPerTransaction = static_cast<unsigned>(opsPerTransaction);
    start(*controller);
    controllers_.push_back(std::move(controller));
  }
}

void ElectionCluster::start(Controller& controller) {
  ++controller.incarnation;
  controller.process = std::make_unique<Process>();
  Process& process = *controller.process;
  process.client = std::make_unique<state::Client>(process.calls, controller.settings);
  const cluster::Leadership::Handlers handlers{[](std::uint64_t, const auto&) {}, [](const char*) {},
                                               [](std::uint64_t) {}};
  process.leadership = std::make_unique<cluster::Leadership>(
      *process.client, controller.settings, static_cast<std::uint64_t>(sim_.uniform(0, kSeedMax)), handlers);
  process.leadership->start(sim_.steady());
  sim_.after(sim_.uniform(0, kTickS),
             [this, &controller, incarnation = controller.incarnation] { tick(controller, incarnation); });
}

void ElectionCluster::restartAfter(Controller& controller, double durationS) {
  ++controller.incarnation;
  controller.process.reset();
  sim_.after(durationS, [this, &controller, incarnation = controller.incarnation] {
    if (controller.incarnation == incarnation) start(controller);
  });
}

void ElectionCluster::tick(Controller& controller, std::uint64_t incarnation) {
  if (controller.incarnation != incarnation) return;
  if (sim_.now() >= controller.suspendedUntilS) {
    controller.process->leadership->tick(sim_.steady());
    controller.process->client->pump(sim_.steady());
    sendCalls(controller);
  }
  sim_.after(kTickS, [this, &controller, incarnation] { tick(controller, incarnation); });
}

void ElectionCluster::sendCalls(Controller& controller) {
  for (const wire::Call& call : controller.process->calls.drain()) send(controller, call);
}

void ElectionCluster::send(Controller& controller, const wire::Call& call) {
  const std::uint64_t incarnation = controller.incarnation;
  const bool isAnswerLost = call.path == kTransactionPath && sim_.now() < controller.answersLostUntilS;
  const double requestDelayMaxS = isAnswerLost ? kLateTransactionDelayMaxS : kNormalDelayMaxS;
  const auto answer = [this, &controller, incarnation, number = call.number, isAnswerLost](int status,
                                                                                           wire::Json body) {
    if (isAnswerLost) return;
    const double delayMaxS = sim_.now() < controller.slowUntilS ? kSlowAnswerDelayMaxS : kNormalDelayMaxS;
    sim_.after(sim_.uniform(0, delayMaxS), [this, &controller, incarnation, number,
                                            result = wire::CallResult{status, true, std::move(body)}] {
      deliver(controller, incarnation, number, result);
    });
  };
  sim_.after(sim_.uniform(0, requestDelayMaxS), [this, &controller, call, answer] {
    store_.request(controller.settings.label, call.method, call.path, call.body, answer);
  });
  sim_.after(std::chrono::duration<double>(call.timeout).count(),
             [this, &controller, incarnation, number = call.number] {
               deliver(controller, incarnation, number, wire::CallResult{0, true, {}});
             });
}

void ElectionCluster::deliver(Controller& controller, std::uint64_t incarnation, std::uint64_t call,
                              const wire::CallResult& result) {
  if (controller.incarnation != incarnation || !controller.process) return;
  if (sim_.now() < controller.suspendedUntilS) {
    // A process that resumes handles what has arrived in any order.
    sim_.at(
        controller.suspendedUntilS + sim_.uniform(0, kTickS),
        [this, &controller, incarnation, call, result] { deliver(controller, incarnation, call, result); });
    return;
  }
  controller.process->calls.complete(call, result);
  sendCalls(controller);
}

void ElectionCluster::raiseLayout(Controller& controller) {
  if (!controller.process || sim_.now() < controller.suspendedUntilS) return;
  const auto raising = controller.process->leadership->layoutRaisingWrite();
  if (!raising) return;
  controller.process->client->transact(sim_.steady(), state::Urgency::acceptance,
                                       {{raising->condition}, {raising->write}},
                                       [](const wire::CallResult&) {});
  sendCalls(controller);
}

void ElectionCluster::schedule(const Fault& fault) {
  Controller& controller = *controllers_[fault.controller];
  sim_.at(fault.startS, [this, &controller, fault] {
    const double endS = sim_.now() + fault.durationS;
    switch (fault.kind) {
      case FaultKind::refused:
        return store_.startOutageFor(controller.settings.label, fault.durationS);
      case FaultKind::suspended:
        controller.suspendedUntilS = endS;
        return;
      case FaultKind::slowAnswers:
        controller.slowUntilS = endS;
        return;
      case FaultKind::lostAnswers:
        controller.answersLostUntilS = endS;
        return;
      case FaultKind::restart:
        return restartAfter(controller, fault.durationS);
      case FaultKind::layoutRaise:
        return raiseLayout(controller);
    }
  });
}

std::vector<std::string> ElectionCluster::leaders() const {
  std::vector<std::string> labels;
  for (const auto& controller : controllers_)
    if (controller->process && controller->process->leadership->isLeading())
      labels.push_back(controller->settings.label);
  return labels;
}

bool ElectionCluster::allKnow(const std::string& leader) const {
  const std::uint64_t storedTerm = store_.value(cluster::kTermKey).value("term", 0U);
  return std::all_of(controllers_.begin(), controllers_.end(), [&](const auto& controller) {
    const cluster::Leadership& leadership = *controller->process->leadership;
    return leadership.leader() == leader && leadership.term() == storedTerm;
  });
}

}  // namespace election_cluster
