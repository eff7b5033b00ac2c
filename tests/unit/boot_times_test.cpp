// Expected boot times, boot timeouts and launch cohorts.
#include "fleet/boot_times.hpp"

#include <gtest/gtest.h>

namespace {

using namespace reachhoist;
using fleet::BootCohorts;
using fleet::BootHistory;
using machines::Machine;
using machines::MachinePhase;
using wire::seconds;

constexpr double kNominalBootTimeS = 20;
const wire::Time kNow = wire::Time{} + std::chrono::hours(1);

TEST(BootHistory, NominalBootTimeIsExpectedWithoutHistory) {
  const BootHistory boots;
  EXPECT_EQ(boots.expectedBootTime("small", "a", kNominalBootTimeS, kNow),
            seconds(30) + constants::kFirstHeartbeatSlack);
  EXPECT_EQ(boots.bootTimeout("small", "a", kNominalBootTimeS, kNow), seconds(60));
  EXPECT_DOUBLE_EQ(boots.costFactor("small", "a", kNow), 1);
}

TEST(BootHistory, SlowBootsRaiseTheExpectedTimeOfTheirTypeAndZoneOnly) {
  BootHistory boots;
  for (int i = 0; i < 5; ++i) boots.recordBoot("small", "a", seconds(100), kNow);
  EXPECT_NEAR(wire::toSeconds(boots.expectedBootTime("small", "a", kNominalBootTimeS, kNow) -
                              constants::kFirstHeartbeatSlack),
              180, 1e-6);
  EXPECT_EQ(boots.bootTimeout("small", "a", kNominalBootTimeS, kNow), seconds(400));
  EXPECT_EQ(boots.expectedBootTime("small", "b", kNominalBootTimeS, kNow),
            seconds(30) + constants::kFirstHeartbeatSlack);
  EXPECT_EQ(boots.expectedBootTime("small", "a", kNominalBootTimeS, kNow + constants::kBootHistoryWindow),
            seconds(30) + constants::kFirstHeartbeatSlack);
}

TEST(BootHistory, FastBootsDoNotLowerTheExpectedBootTime) {
  BootHistory boots;
  for (int i = 0; i < 20; ++i) boots.recordBoot("small", "a", seconds(1), kNow);
  EXPECT_EQ(boots.expectedBootTime("small", "a", kNominalBootTimeS, kNow),
            seconds(30) + constants::kFirstHeartbeatSlack);
}

TEST(BootHistory, BootTimeoutsRaiseThePoolCostUntilTheyExpire) {
  BootHistory boots;
  for (int i = 0; i < 9; ++i) boots.recordBootTimeout("small", "a", kNow);
  EXPECT_DOUBLE_EQ(boots.costFactor("small", "a", kNow), 10);
  EXPECT_DOUBLE_EQ(boots.costFactor("small", "b", kNow), 1);
  boots.recordBoot("small", "a", seconds(20), kNow);
  EXPECT_DOUBLE_EQ(boots.costFactor("small", "a", kNow), 5.5);
  EXPECT_DOUBLE_EQ(boots.costFactor("small", "a", kNow + constants::kBootHistoryWindow), 1);
}

class BootCohortsTest : public testing::Test {
 protected:
  Machine& add(MachinePhase phase, double requestedS) {
    Machine& machine = table.add("vm-" + std::to_string(table.all().size()));
    machine.machineType = "small";
    machine.zone = "a";
    machine.phase = phase;
    machine.provisionedAt = kNow + seconds(requestedS);
    return machine;
  }
  bool lagsCohort(const Machine& machine) {
    std::vector<Machine*> all;
    for (auto& [host, other] : table.all()) all.push_back(&other);
    return BootCohorts(all).lagsCohort(machine);
  }
  machines::MachineTable table;
};

TEST_F(BootCohortsTest, BootingMachineLagsACohortThatIsMostlyUp) {
  for (int i = 0; i < 3; ++i) add(MachinePhase::up, i);
  const Machine& booting = add(MachinePhase::booting, 1);
  EXPECT_TRUE(lagsCohort(booting));
}

TEST_F(BootCohortsTest, NoMachineLagsACohortThatIsMostlyBooting) {
  add(MachinePhase::up, 0);
  for (int i = 0; i < 3; ++i) add(MachinePhase::booting, i);
  const Machine& booting = add(MachinePhase::booting, 1);
  EXPECT_FALSE(lagsCohort(booting));
  // Machines that were requested much earlier belong to another cohort.
  for (int i = 0; i < 9; ++i) add(MachinePhase::up, -100);
  EXPECT_FALSE(lagsCohort(booting));
}

TEST_F(BootCohortsTest, MachineOfASmallCohortCountsAsLagging) {
  add(MachinePhase::booting, 0);
  const Machine& booting = add(MachinePhase::booting, 1);
  EXPECT_TRUE(lagsCohort(booting));
}

}  // namespace
