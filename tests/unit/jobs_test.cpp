#include "jobs/jobs.hpp"

#include <gtest/gtest.h>

#include "cluster/partitions.hpp"
#include "peer/codec.hpp"

namespace {

using namespace reachhoist;
using jobs::Job;
using jobs::JobPhase;
using jobs::JobTable;
using jobs::TaskPhase;

Job job(std::uint32_t taskCount) {
  Job out;
  out.spec.ref.text = "job-1";
  out.spec.jobClass = out.spec.team = out.spec.image = "x";
  out.spec.taskCount = taskCount;
  return out;
}

TEST(Job, CountsFollowPhases) {
  Job one = job(3);
  one.beginTracking({});
  EXPECT_EQ(one.waitingCount, 3U);
  one.setTaskPhase(0, TaskPhase::placed, {});
  one.setTaskPhase(1, TaskPhase::completed, {});
  EXPECT_EQ(one.waitingCount, 1U);
  EXPECT_EQ(one.firstWaitingIndex, 2U);
  one.setTaskPhase(0, TaskPhase::waiting, {});
  EXPECT_EQ(one.firstWaitingIndex, 0U);
  EXPECT_EQ(one.placedCount, 0U);
}

TEST(Job, DoneChunksSurviveAReload) {
  constexpr std::uint32_t kTaskCount = 100'000;
  Job one = job(kTaskCount);
  one.beginTracking({});
  for (std::uint32_t i = 0; i < kTaskCount; i += 3) one.setTaskPhase(i, TaskPhase::completed, {});
  Job again = job(kTaskCount);
  again.beginTracking({});
  for (std::uint32_t chunk = 0; chunk * constants::kTasksPerDoneChunk < kTaskCount; ++chunk) {
    const std::string hex = one.encodeDoneChunk(chunk);
    EXPECT_LE(hex.size(), 1024U);
    ASSERT_TRUE(again.loadDoneChunk(chunk, hex, 7, {}));
  }
  EXPECT_EQ(again.completedCount, one.completedCount);
  EXPECT_EQ(again.tasks, one.tasks);
  EXPECT_FALSE(again.loadDoneChunk(0, "zz", 8, {}));
  EXPECT_FALSE(again.loadDoneChunk(99, "00", 8, {}));
  EXPECT_FALSE(again.loadDoneChunk(0, std::string(5000, '0'), 8, {}));
}

TEST(JobTable, OldAndMalformedRecordsChangeNothing) {
  JobTable table;
  const Job one = job(2);
  EXPECT_EQ(table.apply("job-1", jobs::encodeOpen(one), 5), JobTable::Change::accepted);
  EXPECT_EQ(table.apply("job-1", jobs::encodeFinal(one, JobPhase::cancelled), 4), JobTable::Change::none);
  EXPECT_EQ(table.apply("job-1", jobs::encodeFinal(one, JobPhase::done), 6), JobTable::Change::ended);
  EXPECT_EQ(table.apply("job-1", jobs::encodeOpen(one), 7), JobTable::Change::malformed);
  EXPECT_EQ(table.apply("job-1", jobs::encodeFinal(one, JobPhase::cancelled), 8),
            JobTable::Change::malformed);
  EXPECT_EQ(table.find("job-1")->phase, JobPhase::done);
  EXPECT_EQ(table.find("job-1")->spec.team, "x");  // its tasks may still count for the team
  EXPECT_EQ(table.apply("job-2", wire::Json{{"phase", "odd"}}, 9), JobTable::Change::malformed);
  EXPECT_EQ(table.apply("job-3", wire::Json::array(), 9), JobTable::Change::malformed);
  EXPECT_EQ(table.find("job-2"), nullptr);
}

TEST(JobTable, RefusedProgressOfAnEndedJobIsTold) {
  // Regression: such a refusal made the leader resign, although the job had become final and its progress had
  // been deleted meanwhile.
  JobTable table;
  table.apply("job-1", jobs::encodeOpen(job(2)), 5);
  EXPECT_FALSE(jobs::isProgressKeyOfEndedJob(table, "done/job-1/0"));
  table.apply("job-1", jobs::encodeFinal(job(2), JobPhase::done), 6);
  EXPECT_TRUE(jobs::isProgressKeyOfEndedJob(table, "done/job-1/0"));
  EXPECT_FALSE(jobs::isProgressKeyOfEndedJob(table, "done/job-2/0"));
  EXPECT_FALSE(jobs::isProgressKeyOfEndedJob(table, "parts/0"));
}

TEST(Partitions, HashNeverChanges) {
  // Stored keys depend on the result, so these values may never change.
  EXPECT_EQ(cluster::partitionOf("vm-000231", 3), cluster::partitionOf("vm-000231", 3));
  unsigned counts[3] = {};
  for (int i = 0; i < 300; ++i) ++counts[cluster::partitionOf("vm-" + std::to_string(100000 + i), 3)];
  for (const unsigned count : counts) EXPECT_GT(count, 60U);
  EXPECT_LT(cluster::fencingToken(3, 1000), cluster::fencingToken(4, 0));
}

TEST(PeerCodec, RoundTripAndMalformedFrames) {
  const peer::Message message{"hoist-1", peer::RelayRequest{7, std::string("\x00\x01report", 8)}};
  const std::string frame = peer::encode(message);
  const auto again = peer::decode(frame);
  ASSERT_TRUE(again);
  EXPECT_EQ(std::get<peer::RelayRequest>(again->payload).heartbeat,
            std::get<peer::RelayRequest>(message.payload).heartbeat);
  const auto hello = peer::decode(peer::encode(peer::Message{"hoist-0", peer::Heartbeat{9, true, false}}));
  ASSERT_TRUE(hello);
  EXPECT_EQ(std::get<peer::Heartbeat>(hello->payload).term, 9U);
  EXPECT_TRUE(std::get<peer::Heartbeat>(hello->payload).leading);
  EXPECT_FALSE(std::get<peer::Heartbeat>(hello->payload).storeConfirmed);
  peer::Progress progress{4, {{"job-1", 2, 3}}};
  const auto shown = peer::decode(peer::encode(peer::Message{"hoist-2", progress}));
  ASSERT_TRUE(shown);
  EXPECT_EQ(std::get<peer::Progress>(shown->payload).jobs.at(0).running, 3U);
  EXPECT_FALSE(peer::decode(""));
  EXPECT_FALSE(peer::decode("1234567"));
  EXPECT_FALSE(peer::decode(std::string(64, '\xff')));
  EXPECT_FALSE(peer::decode(frame.substr(0, 8)));
}

TEST(Gang, PartialScaleOutsAreRetriedWithBackoff) {
  jobs::Gang gang;
  const wire::Time now = wire::Time{} + std::chrono::hours(1);
  gang.recordPartialScaleOut(now);
  EXPECT_LE(gang.nextScaleOutAt, now);  // another pool may do
  gang.recordPartialScaleOut(now);
  EXPECT_EQ(gang.nextScaleOutAt, now + constants::kRefusedPoolBackoff);
  gang.recordPartialScaleOut(now);
  EXPECT_EQ(gang.nextScaleOutAt, now + 2 * constants::kRefusedPoolBackoff);
  for (int i = 0; i < 40; ++i) gang.recordPartialScaleOut(now);
  EXPECT_EQ(gang.nextScaleOutAt, now + constants::kMaxGangScaleOutBackoff);
}

}  // namespace
