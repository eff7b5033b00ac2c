// Jobs and their records, partition hashing, messages between controllers and scale-outs for gangs.
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

Job makeJob(std::uint32_t taskCount) {
  Job created;
  created.spec.ref.text = "job-1";
  created.spec.jobClass = created.spec.team = created.spec.image = "x";
  created.spec.taskCount = taskCount;
  return created;
}

TEST(Job, PhaseChangesUpdateTheTaskCounts) {
  Job job = makeJob(3);
  job.beginTracking({});
  EXPECT_EQ(job.waitingCount, 3U);
  job.setTaskPhase(0, TaskPhase::placed, {});
  job.setTaskPhase(1, TaskPhase::completed, {});
  EXPECT_EQ(job.waitingCount, 1U);
  EXPECT_EQ(job.firstWaitingIndex, 2U);
  job.setTaskPhase(0, TaskPhase::waiting, {});
  EXPECT_EQ(job.firstWaitingIndex, 0U);
  EXPECT_EQ(job.placedCount, 0U);
}

TEST(Job, DoneChunksRoundTripAndMalformedOnesAreRefused) {
  constexpr std::uint32_t kTaskCount = 100'000;
  Job original = makeJob(kTaskCount);
  original.beginTracking({});
  for (std::uint32_t i = 0; i < kTaskCount; i += 3) original.setTaskPhase(i, TaskPhase::completed, {});
  Job reloaded = makeJob(kTaskCount);
  reloaded.beginTracking({});
  for (std::uint32_t chunk = 0; chunk * constants::kTasksPerDoneChunk < kTaskCount; ++chunk) {
    const std::string hex = original.encodeDoneChunk(chunk);
    EXPECT_LE(hex.size(), 1024U);
    ASSERT_TRUE(reloaded.loadDoneChunk(chunk, hex, 7, {}));
  }
  EXPECT_EQ(reloaded.completedCount, original.completedCount);
  EXPECT_EQ(reloaded.tasks, original.tasks);
  EXPECT_FALSE(reloaded.loadDoneChunk(0, "zz", 8, {}));
  EXPECT_FALSE(reloaded.loadDoneChunk(99, "00", 8, {}));
  EXPECT_FALSE(reloaded.loadDoneChunk(0, std::string(5000, '0'), 8, {}));
}

TEST(JobTable, StaleAndMalformedRecordsChangeNothing) {
  JobTable table;
  const Job job = makeJob(2);
  EXPECT_EQ(table.apply("job-1", jobs::encodeOpen(job), 5), JobTable::Change::accepted);
  EXPECT_EQ(table.apply("job-1", jobs::encodeFinal(job, JobPhase::cancelled), 4), JobTable::Change::none);
  EXPECT_EQ(table.apply("job-1", jobs::encodeFinal(job, JobPhase::done), 6), JobTable::Change::ended);
  EXPECT_EQ(table.apply("job-1", jobs::encodeOpen(job), 7), JobTable::Change::malformed);
  EXPECT_EQ(table.apply("job-1", jobs::encodeFinal(job, JobPhase::cancelled), 8),
            JobTable::Change::malformed);
  EXPECT_EQ(table.find("job-1")->phase, JobPhase::done);
  // The team is kept, because tasks of the ended job can still count toward its quota.
  EXPECT_EQ(table.find("job-1")->spec.team, "x");
  EXPECT_EQ(table.apply("job-2", wire::Json{{"phase", "odd"}}, 9), JobTable::Change::malformed);
  EXPECT_EQ(table.apply("job-3", wire::Json::array(), 9), JobTable::Change::malformed);
  EXPECT_EQ(table.find("job-2"), nullptr);
}

TEST(JobTable, RecognizesProgressKeysOfEndedJobs) {
  // Regression: the leader resigned when the store refused a write of progress for a job that had ended and
  // whose progress had been deleted meanwhile.
  JobTable table;
  table.apply("job-1", jobs::encodeOpen(makeJob(2)), 5);
  EXPECT_FALSE(jobs::isProgressKeyOfEndedJob(table, "done/job-1/0"));
  table.apply("job-1", jobs::encodeFinal(makeJob(2), JobPhase::done), 6);
  EXPECT_TRUE(jobs::isProgressKeyOfEndedJob(table, "done/job-1/0"));
  EXPECT_FALSE(jobs::isProgressKeyOfEndedJob(table, "done/job-2/0"));
  EXPECT_FALSE(jobs::isProgressKeyOfEndedJob(table, "parts/0"));
}

TEST(Partitions, HashIsStableAndTokensIncreaseWithTheTerm) {
  // Stored keys depend on the hash, 64-bit FNV-1a, so it must never change.
  EXPECT_EQ(cluster::partitionOf("vm-000000", 3), 0U);
  EXPECT_EQ(cluster::partitionOf("vm-000231", 3), 1U);
  EXPECT_EQ(cluster::partitionOf("vm-123456", 7), 6U);
  unsigned counts[3] = {};
  for (int i = 0; i < 300; ++i) ++counts[cluster::partitionOf("vm-" + std::to_string(100000 + i), 3)];
  for (const unsigned count : counts) EXPECT_GT(count, 60U);
  EXPECT_LT(cluster::fencingToken(3, 1000), cluster::fencingToken(4, 0));
}

TEST(PeerCodec, MessagesRoundTripAndMalformedFramesAreRefused) {
  const peer::Message message{"hoist-1", peer::RelayRequest{7, std::string("\x00\x01report", 8)}};
  const std::string frame = peer::encode(message);
  const auto decodedRelay = peer::decode(frame);
  ASSERT_TRUE(decodedRelay);
  EXPECT_EQ(std::get<peer::RelayRequest>(decodedRelay->payload).heartbeat,
            std::get<peer::RelayRequest>(message.payload).heartbeat);
  const auto decodedHeartbeat =
      peer::decode(peer::encode(peer::Message{"hoist-0", peer::Heartbeat{9, true, false}}));
  ASSERT_TRUE(decodedHeartbeat);
  EXPECT_EQ(std::get<peer::Heartbeat>(decodedHeartbeat->payload).term, 9U);
  EXPECT_TRUE(std::get<peer::Heartbeat>(decodedHeartbeat->payload).leading);
  EXPECT_FALSE(std::get<peer::Heartbeat>(decodedHeartbeat->payload).storeConfirmed);
  peer::Progress progress{4, {{"job-1", 2, 3}}};
  const auto decodedProgress = peer::decode(peer::encode(peer::Message{"hoist-2", progress}));
  ASSERT_TRUE(decodedProgress);
  EXPECT_EQ(std::get<peer::Progress>(decodedProgress->payload).jobs.at(0).running, 3U);
  EXPECT_FALSE(peer::decode(""));
  EXPECT_FALSE(peer::decode("1234567"));
  EXPECT_FALSE(peer::decode(std::string(64, '\xff')));
  EXPECT_FALSE(peer::decode(frame.substr(0, 8)));
}

TEST(Gang, PartialScaleOutsAreRetriedWithBackoff) {
  jobs::Gang gang;
  const wire::Time now = wire::Time{} + std::chrono::hours(1);
  gang.recordPartialScaleOut(now);
  EXPECT_LE(gang.nextScaleOutAt, now);  // another pool can still have capacity
  gang.recordPartialScaleOut(now);
  EXPECT_EQ(gang.nextScaleOutAt, now + constants::kRefusedPoolBackoff);
  gang.recordPartialScaleOut(now);
  EXPECT_EQ(gang.nextScaleOutAt, now + 2 * constants::kRefusedPoolBackoff);
  for (int i = 0; i < 40; ++i) gang.recordPartialScaleOut(now);
  EXPECT_EQ(gang.nextScaleOutAt, now + constants::kMaxGangScaleOutBackoff);
}

}  // namespace
