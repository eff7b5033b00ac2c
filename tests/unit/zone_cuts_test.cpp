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
      machine.lastHeard = now - wire::seconds(silentS);
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

}  // namespace
