// One leader as a whole: its answers to heartbeats.
#include "service/leader.hpp"

#include <gtest/gtest.h>

#include "leader_state_fixture.hpp"

namespace {

using namespace reachhoist;
using service::HeartbeatSource;
using wire::Json;

// A leader that has found no records.
class LeaderTest : public testing::Test, protected LeaderStateFixture {
 protected:
  LeaderTest() {
    jobFeed.start(context.now);
    answerCalls();
    leader = std::make_unique<service::Leader>(context, leadership, jobFeed, jobTable, kTerm,
                                               std::vector<std::uint64_t>{1});
    constexpr int kStepsToLoad = 40;
    for (int step = 0; step < kStepsToLoad; ++step) {
      context.now += std::chrono::milliseconds(10);
      jobFeed.tick(context.now);
      leader->tick();
      answerCalls();
    }
  }

  // Answers the calls to the key-value store, which is empty, and leaves the others and the watches open.
  void answerCalls() {
    context.state.pump(context.now);
    for (const wire::Call& call : context.calls.drain()) {
      if (call.path.starts_with("/keys?")) {
        const Json listing{{"pairs", Json::array()}, {"more", false}, {"ledger", 5}};
        context.calls.complete(call.number, wire::CallResult{200, true, listing});
      } else if (call.path.starts_with("/changes") && call.path.ends_with("blockMs=0")) {
        context.calls.complete(call.number,
                               wire::CallResult{200, true, Json{{"ledger", 5}, {"news", Json::array()}}});
      }
    }
  }
  Json answerTo(const wire::WorkerHeartbeat& heartbeat) {
    const service::HeartbeatResponse response = leader->onHeartbeat(heartbeat, HeartbeatSource::worker);
    EXPECT_EQ(response.status, 200);
    return response.body;
  }
  static wire::WorkerHeartbeat heartbeatOf(std::uint64_t sequence, std::uint64_t token) {
    wire::WorkerHeartbeat heartbeat;
    heartbeat.host.text = "vm-1";
    heartbeat.endpoint = "10.1.0.1:9000";
    heartbeat.machineType = "small";
    heartbeat.zone = "a";
    heartbeat.incarnation = 1;
    heartbeat.sequence = sequence;
    heartbeat.fencingToken = token;
    return heartbeat;
  }
  static wire::TaskStatus endedTask() {
    wire::TaskStatus status;
    status.task = wire::TaskId{{"job-1"}, 0};
    status.attempt = 17;
    status.state = wire::TaskState::ended;
    status.cause = wire::Cause::stopped;
    return status;
  }

  std::unique_ptr<service::Leader> leader;
};

// Guards against a repeat of a direct start command of which this leader no longer knows.
TEST_F(LeaderTest, UnknownAttemptIsForgottenUnderATokenThatItsWorkerHasNotSeen) {
  const std::uint64_t token = cluster::fencingToken(kTerm, 0);
  EXPECT_EQ(answerTo(heartbeatOf(1, 0))["baton"], token);
  wire::WorkerHeartbeat heartbeat = heartbeatOf(2, token);
  heartbeat.tasks.push_back(endedTask());
  const Json answer = answerTo(heartbeat);
  ASSERT_EQ(answer["orders"].size(), 1U);
  EXPECT_EQ(answer["orders"][0]["verb"], "reap");
  EXPECT_EQ(answer["baton"], token + 1);
}

}  // namespace
