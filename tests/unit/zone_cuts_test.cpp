#include "service/zone_cuts.hpp"

#include <gtest/gtest.h>

namespace {

using namespace reachhoist;
using machines::MachinePhase;
using service::ZoneCuts;

class ZoneCutsTest : public testing::Test {
 protected:
  ZoneCutsTest() { settings.reportS = 2; }

  void add(const std::string& zone, int count, double silentS, std::uint64_t sequence = 5) {
    for (int i = 0; i < count; ++i) {
      machines::Machine& machine = table.add("vm-" + std::to_string(table.all().size()));
      machine.zone = zone;
      machine.phase = MachinePhase::up;
      machine.sequence = sequence;
      machine.lastHeard = machine.lastDirect = now - wire::seconds(silentS);
    }
  }

  wire::Time now = wire::Time{} + std::chrono::hours(1);
  config::Settings settings;
  machines::MachineTable table;
  ZoneCuts cuts{settings};
};

TEST_F(ZoneCutsTest, MoreThanHalfOfAZoneQuietIsACutAndIsBelievedForAWhile) {
  add("a", 4, 10);
  add("a", 2, 1);
  add("b", 8, 1);
  cuts.observe(table, now);
  EXPECT_EQ(cuts.zones(), (std::set<std::string>{"a"}));
  EXPECT_FALSE(cuts.selfCut());
  for (auto& [host, machine] : table.all()) machine.lastHeard = now + wire::seconds(1);
  cuts.observe(table, now + wire::seconds(1));
  EXPECT_TRUE(cuts.contains("a"));  // relay brings its machines back one by one
  cuts.observe(table, now + wire::seconds(4.1));
  EXPECT_FALSE(cuts.contains("a"));
}

TEST_F(ZoneCutsTest, HalfOfAZoneOrOneMachineHaveFailed) {
  add("a", 3, 10);
  add("a", 3, 1);
  add("b", 1, 10);
  cuts.observe(table, now);
  EXPECT_TRUE(cuts.zones().empty());
}

TEST_F(ZoneCutsTest, NearlyAllQuietIsThisControllersOwnCutIfItHadHeardThem) {
  add("a", 7, 10);
  add("b", 2, 10);
  add("b", 1, 1);
  cuts.observe(table, now);
  EXPECT_TRUE(cuts.selfCut());
  EXPECT_EQ(cuts.selfCutFor(now + wire::seconds(3)), wire::seconds(3));
  for (auto& [host, machine] : table.all()) machine.sequence = 0;  // never heard under this term
  cuts.observe(table, now + wire::seconds(1));
  EXPECT_TRUE(cuts.selfCut());
  EXPECT_EQ(cuts.selfCutFor(now + wire::seconds(3)), wire::Duration{0});
}

TEST_F(ZoneCutsTest, HeardThroughSiblingsOnlyIsNoSilenceButTheOthersAreInDoubt) {
  add("a", 9, 1);
  add("a", 1, 10);
  for (auto& [host, machine] : table.all()) machine.lastDirect = now - wire::seconds(10);
  cuts.observe(table, now);
  EXPECT_FALSE(cuts.selfCut());
  EXPECT_FALSE(cuts.contains("a"));
  EXPECT_TRUE(cuts.doubtful("a"));
  EXPECT_TRUE(cuts.mostlyIndirect());
  EXPECT_EQ(cuts.unreachedFor(now + wire::seconds(3)), wire::seconds(3));
  // One that can be reached directly shows that this controller is not cut off.
  table.all().begin()->second.lastDirect = now;
  cuts.observe(table, now);
  EXPECT_EQ(cuts.unreachedFor(now + wire::seconds(3)), wire::Duration{0});
}

TEST_F(ZoneCutsTest, HardlyAnyEverHeardAndWhatWasConcludedIsForgottenAfterStandingStill) {
  add("a", 20, 1, 0);
  add("a", 1, 1);
  cuts.observe(table, now);
  EXPECT_EQ(cuts.unheardFor(now + wire::seconds(5)), wire::seconds(5));
  cuts.reset();
  EXPECT_EQ(cuts.unheardFor(now + wire::seconds(5)), wire::Duration{0});
  add("a", 2, 1);
  cuts.observe(table, now);
  EXPECT_EQ(cuts.unheardFor(now + wire::seconds(5)), wire::Duration{0});
}

}  // namespace
