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

  // Answers every instance request that the client has sent so far, and returns their number.
  std::size_t answerInstanceRequests(int status, const Json& body) {
    std::size_t answered = 0;
    for (const wire::Call& call : calls.drain()) {
      if (call.path != "/hosts") continue;
      ++answered;
      requestNames.insert(call.body["hire"].get<std::string>());
      calls.complete(call.number, wire::CallResult{status, true, body});
    }
    return answered;
  }

  // Advances the time until an instance request has been sent and answered, for at most 10 s. Returns the
  // number of requests answered.
  std::size_t answerNextInstanceRequests(int status, const Json& body) {
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
  std::set<std::string> requestNames;
  std::size_t provisionedCount = 0;
  std::size_t refusedCount = 0;
  cloud::Client client{calls, settings, "hoist-0-1",
                       cloud::Client::Handlers{[this](const auto&, const auto& hosts, std::size_t missing) {
                                                 provisionedCount += hosts.size();
                                                 refusedCount += missing;
                                               },
                                               [](const auto&) {}, [](const auto&) {}, [](auto) {}}};
  const cloud::PoolKey pool{"small", "a", false};
};

// A large scale-out is split into several instance requests. Once the pool has refused one of them, the
// remaining ones would only use up the request rate that other pools and releases need.
TEST_F(CloudClientTest, RefusalEndsTheRemainingRequestsOfAScaleOut) {
  const Json noCapacity{{"error", "no capacity"}};
  client.requestInstances(now, pool, 500);
  EXPECT_EQ(client.pendingInstances(pool), 500U);
  answerInstanceRequests(503, noCapacity);
  EXPECT_EQ(refusedCount, 0U);  // the client can repeat the same request once
  while (answerNextInstanceRequests(503, noCapacity) > 0) continue;
  EXPECT_EQ(refusedCount, 500U);
  EXPECT_EQ(provisionedCount, 0U);
  EXPECT_EQ(client.pendingInstances(pool), 0U);
  EXPECT_LT(requestNames.size(), 8U);  // 500 machines take ten requests
}

}  // namespace
