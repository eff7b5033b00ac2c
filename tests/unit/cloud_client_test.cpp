// Instance requests of the cloud client.
#include <gtest/gtest.h>

#include <set>

#include "cloud/client.hpp"

namespace {

using namespace reachhoist;
using wire::Json;

class CloudClientTest : public testing::Test {
 protected:
  CloudClientTest() { settings.cloudLimits.requestsPerS = 1; }

  // Answers every instance request that the client has sent so far; returns how many there were.
  std::size_t answerInstanceRequests(int status, const Json& body) {
    std::size_t answered = 0;
    for (const wire::Call& call : calls.drain()) {
      if (call.path != "/hosts") continue;
      ++answered;
      names.insert(call.body["hire"].get<std::string>());
      calls.complete(call.number, wire::CallResult{status, true, body});
    }
    return answered;
  }

  // Lets time pass until the client has sent an instance request and it is answered, or a while has gone by.
  std::size_t nextInstanceRequest(int status, const Json& body) {
    for (int i = 0; i < 100; ++i) {
      now += std::chrono::milliseconds(100);
      client.tick(now);
      if (const std::size_t answered = answerInstanceRequests(status, body); answered > 0) return answered;
    }
    return 0;
  }

  config::Settings settings;
  wire::Calls calls;
  wire::Time now = wire::Time{} + std::chrono::hours(1);
  std::set<std::string> names;  // of the requests
  std::size_t got = 0;
  std::size_t refused = 0;
  cloud::Client client{calls, settings, "hoist-0-1",
                       cloud::Client::Handlers{[this](const auto&, const auto& hosts, std::size_t missing) {
                                                 got += hosts.size();
                                                 refused += missing;
                                               },
                                               [](const auto&) {}, [](const auto&) {}, [](auto) {}}};
  const cloud::PoolKey pool{"small", "a", false};
};

// A large scale-out goes out in several instance requests. Once the pool has refused one, the others of the
// same pool would only use up the rate that other pools and releases need.
TEST_F(CloudClientTest, RefusedPoolEndsTheRestOfAScaleOut) {
  const Json none{{"error", "no capacity"}};
  client.requestInstances(now, pool, 500);
  EXPECT_EQ(client.pendingInstances(pool), 500U);
  answerInstanceRequests(503, none);
  EXPECT_EQ(refused, 0U);  // the same request may be sent once more
  while (nextInstanceRequest(503, none) > 0) continue;
  EXPECT_EQ(refused, 500U);
  EXPECT_EQ(got, 0U);
  EXPECT_EQ(client.pendingInstances(pool), 0U);
  EXPECT_LT(names.size(), 8U);  // of the ten that 500 machines take
}

}  // namespace
