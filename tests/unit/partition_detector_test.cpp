// Inference of partitioned zones, and of a partition of this controller, from heartbeats.
#include "service/partition_detector.hpp"

#include <gtest/gtest.h>

namespace {

using namespace reachhoist;
using machines::MachinePhase;
using service::PartitionDetector;

class PartitionDetectorTest : public testing::Test {
 protected:
  PartitionDetectorTest() { settings.workers.heartbeatIntervalS = 2; }

  void add(const std::string& zone, int count, double heartbeatAgeS, std::uint64_t sequence = 5) {
    for (int i = 0; i < count; ++i) {
      machines::Machine& machine = table.add("vm-" + std::to_string(table.all().size()));
      machine.zone = zone;
      machine.phase = MachinePhase::up;
      machine.lastHeartbeatSequence = sequence;
      machine.contact.lastHeartbeatAt = machine.contact.lastDirectContactAt =
          now - wire::seconds(heartbeatAgeS);
    }
  }

  wire::Time now = wire::Time{} + std::chrono::hours(1);
  config::Settings settings;
  machines::MachineTable table;
  PartitionDetector detector{settings};
};

TEST_F(PartitionDetectorTest, OverdueHeartbeatsOfMostOfAZoneMeanAPartitionForAWhile) {
  add("a", 4, 10);
  add("a", 2, 1);
  add("b", 8, 1);
  detector.observe(table, now);
  EXPECT_EQ(detector.partitionedZones(), (std::set<std::string>{"a"}));
  EXPECT_FALSE(detector.isSelfPartitioned());
  for (auto& [host, machine] : table.all()) machine.contact.lastHeartbeatAt = now + wire::seconds(1);
  detector.observe(table, now + wire::seconds(1));
  EXPECT_TRUE(detector.isPartitioned("a"));  // heartbeats through siblings resume one machine at a time
  detector.observe(table, now + wire::seconds(4.1));
  EXPECT_FALSE(detector.isPartitioned("a"));
}

TEST_F(PartitionDetectorTest, HalfOfAZoneOrASingleMachineIsNoPartition) {
  add("a", 3, 10);
  add("a", 3, 1);
  add("b", 1, 10);
  detector.observe(table, now);
  EXPECT_TRUE(detector.partitionedZones().empty());
}

TEST_F(PartitionDetectorTest, OverdueHeartbeatsOfMostOfTheFleetMeanSelfPartition) {
  add("a", 7, 10);
  add("b", 2, 10);
  add("b", 1, 1);
  detector.observe(table, now);
  EXPECT_TRUE(detector.isSelfPartitioned());
  EXPECT_EQ(detector.selfPartitionedFor(now + wire::seconds(3)), wire::seconds(3));
  for (auto& [host, machine] : table.all()) machine.lastHeartbeatSequence = 0;  // no heartbeat in this term
  detector.observe(table, now + wire::seconds(1));
  EXPECT_TRUE(detector.isSelfPartitioned());
  EXPECT_EQ(detector.selfPartitionedFor(now + wire::seconds(3)), wire::Duration{0});
}

TEST_F(PartitionDetectorTest, RelayedHeartbeatsAreNotOverdueButMakeAZoneSuspected) {
  add("a", 9, 1);
  add("a", 1, 10);
  for (auto& [host, machine] : table.all()) machine.contact.lastDirectContactAt = now - wire::seconds(10);
  detector.observe(table, now);
  EXPECT_FALSE(detector.isSelfPartitioned());
  EXPECT_FALSE(detector.isPartitioned("a"));
  EXPECT_TRUE(detector.isSuspected("a"));
  EXPECT_TRUE(detector.isMostlyIndirect());
  EXPECT_EQ(detector.withoutDirectContactFor(now + wire::seconds(3)), wire::seconds(3));
  // Direct contact with one machine shows that this controller is not partitioned.
  table.all().begin()->second.contact.lastDirectContactAt = now;
  detector.observe(table, now);
  EXPECT_EQ(detector.withoutDirectContactFor(now + wire::seconds(3)), wire::Duration{0});
}

TEST_F(PartitionDetectorTest, ResetClearsTheTimeWithoutHeartbeats) {
  add("a", 20, 1, 0);
  add("a", 1, 1);
  detector.observe(table, now);
  EXPECT_EQ(detector.withoutHeartbeatsFor(now + wire::seconds(5)), wire::seconds(5));
  detector.reset();
  EXPECT_EQ(detector.withoutHeartbeatsFor(now + wire::seconds(5)), wire::Duration{0});
  add("a", 2, 1);
  detector.observe(table, now);
  EXPECT_EQ(detector.withoutHeartbeatsFor(now + wire::seconds(5)), wire::Duration{0});
}

}  // namespace
