// Relaying of heartbeats to the leader: which answers reach which worker.
#include "service/heartbeat_relay.hpp"

#include <gtest/gtest.h>

#include <set>

namespace {

using namespace reachhoist;
using wire::Json;

constexpr std::uint64_t kTerm = 7;

// One process of a controller that relays all heartbeats to the leader hoist-0.
class RelayingProcess {
 public:
  explicit RelayingProcess(std::uint64_t seed) : relay_(context_, leadership_, siblings_, seed) {
    context_.now = wire::Time{} + std::chrono::hours(1);
    siblings_.onHeartbeat("hoist-0", peer::Heartbeat{kTerm, true, true});
  }

  // Relays a heartbeat of the worker and returns the number of the relay.
  std::uint64_t relay(std::uint64_t request, const std::string& host) {
    wire::WorkerHeartbeat heartbeat;
    heartbeat.host.text = host;
    heartbeat.fencingToken = cluster::fencingToken(kTerm, 0);
    relay_.redirectOrRelay(request, heartbeat, "body");
    const auto sent = std::exchange(context_.peerMessages, {});
    return std::get<peer::RelayRequest>(sent.at(0).message.payload).number;
  }
  // Delivers an answer and returns the requests that are answered with 200 because of it.
  std::vector<std::uint64_t> deliver(const std::string& from, std::uint64_t number) {
    relay_.onResponse(from, peer::RelayResponse{number, 200, wire::encodeBody(Json{{"baton", 1}})});
    return takeAnswered();
  }
  void expire() {
    context_.now += constants::kRelayTimeout;
    relay_.tick();
  }

 private:
  static config::Settings makeSettings() {
    config::Settings settings;
    settings.label = "hoist-2";
    for (const char* label : {"hoist-0", "hoist-1"}) {
      config::Sibling sibling;
      sibling.label = label;
      settings.siblings.push_back(sibling);
    }
    return settings;
  }
  std::vector<std::uint64_t> takeAnswered() {
    std::vector<std::uint64_t> answered;
    for (const service::Response& response : std::exchange(context_.responses, {}))
      if (response.status == 200) answered.push_back(response.request);
    return answered;
  }

  const config::Settings settings_ = makeSettings();
  service::Context context_{settings_, service::LogLevel::error, [](auto, const auto&) {}};
  cluster::Leadership leadership_{context_.state, settings_, 1, {}};
  service::SiblingMonitor siblings_{context_, leadership_};
  service::HeartbeatRelay relay_;
};

// Guards against an answer to a crashed process that is passed on to another worker by the next process.
TEST(HeartbeatRelay, AnswerToAnEarlierProcessIsDropped) {
  RelayingProcess crashed(1);
  RelayingProcess restarted(2);
  const std::uint64_t late = crashed.relay(10, "vm-1");
  const std::uint64_t current = restarted.relay(20, "vm-2");
  EXPECT_TRUE(restarted.deliver("hoist-0", late).empty());
  EXPECT_EQ(restarted.deliver("hoist-0", current), std::vector<std::uint64_t>{20});
}

TEST(HeartbeatRelay, ProcessesOfOneControllerUseDifferentNumbers) {
  constexpr std::uint64_t kProcesses = 200;
  constexpr std::uint64_t kRelays = 50;
  std::set<std::uint64_t> numbers;
  for (std::uint64_t seed = 0; seed < kProcesses; ++seed) {
    RelayingProcess process(seed);
    for (std::uint64_t request = 0; request < kRelays; ++request)
      numbers.insert(process.relay(request, "vm-1"));
  }
  EXPECT_EQ(numbers.size(), kProcesses * kRelays);
}

// Guards against commands of a controller that the heartbeat was not relayed to.
TEST(HeartbeatRelay, AnswerOfAnotherSiblingIsDropped) {
  RelayingProcess process(1);
  const std::uint64_t number = process.relay(10, "vm-1");
  EXPECT_TRUE(process.deliver("hoist-1", number).empty());
  EXPECT_EQ(process.deliver("hoist-0", number), std::vector<std::uint64_t>{10});
  EXPECT_TRUE(process.deliver("hoist-0", number).empty());  // repeated
}

TEST(HeartbeatRelay, AnswerAfterTheTimeLimitIsDropped) {
  RelayingProcess process(1);
  const std::uint64_t number = process.relay(10, "vm-1");
  process.expire();
  EXPECT_TRUE(process.deliver("hoist-0", number).empty());
}

}  // namespace
