// Shares with real processes: three controllers, the admin daemon and its commands; stand-ins on loopback.
#include <gtest/gtest.h>

#include "loopback/loopback_world.hpp"
#include "shares/convergence.hpp"
#include "standin/share_setup.hpp"

namespace {

using loopback::LoopbackWorld;
using namespace reachhoist;

constexpr double kMachines = 8;
constexpr double kCpusEach = 8;
constexpr double kAll = kMachines * kCpusEach;
constexpr double kTaskCpus = 2;
constexpr double kLongS = 600;  // longer than the test, so that demand lasts
constexpr double kShortS = 8;
constexpr const char* kOperators = R"(shares {
  reclaim_step = 0.3
  group "class:survey" { weight = 3 }
  group "class:recon" { weight = 1 }
}
)";

config::Settings platform() {
  config::Settings settings = standin::twoClassSettings({"a"}, 3, "", 30);
  settings.workers.heartbeatIntervalS = 1;
  settings.workers.leaseS = 12;
  settings.workers.cancelS = 42;
  settings.cloudLimits.listLagS = 2;
  settings.operators.shares.reclaimStep = 0.3;
  return settings;
}

standin::MachineTypeSpec machineType() {
  wire::MachineType type;
  type.name = "small";
  type.capacity = {kCpusEach, 0, 64};
  type.imagePullGbPerS = 2;
  type.spotPricePerHour = 1;
  type.nominalBootTimeS = 1;
  type.zones = {"a"};
  return standin::onDemandOnly(type, static_cast<int>(kMachines));
}

standin::JobPlan array(const std::string& ref, const std::string& jobClass, std::uint32_t tasks,
                       double runS) {
  return standin::arrayPlan({ref, jobClass, tasks, {kTaskCpus, 0, 2}, "img", 1, runS, 5, 2});
}

// Heartbeats of every worker within the convergence bound.
std::size_t boundHeartbeats(const config::Settings& settings) {
  shares::CapacityShift move;
  move.share = 0.5;
  move.gracePeriodS = 3;
  move.imagePullS = 1;
  return static_cast<std::size_t>(shares::convergenceBoundHeartbeats(settings, move));
}

// Additional heartbeats for a change of leader: the old leader's key expires, the next one is elected,
// workers find it, and it gets the status of their tasks.
std::size_t takeoverHeartbeats(const config::Settings& settings) {
  const double takeoverS =
      wire::toSeconds(constants::kLeaderLeaseTtl) + 2 * settings.workers.heartbeatIntervalS + 10;
  return static_cast<std::size_t>(takeoverS / settings.workers.heartbeatIntervalS);
}

void awaitHeartbeats(LoopbackWorld& world, std::size_t heartbeats) {
  const std::size_t until = world.fewestHeartbeats() + heartbeats;
  ASSERT_TRUE(world.runUntil([&] { return world.fewestHeartbeats() >= until; }, 300))
      << "workers aren't answered";
}

void expectDivided(const LoopbackWorld& world, double survey, double recon) {
  EXPECT_NEAR(world.cpusOfClass("survey"), kAll * survey, 2 * kTaskCpus);
  EXPECT_NEAR(world.cpusOfClass("recon"), kAll * recon, 2 * kTaskCpus);
}

TEST(SharesOnLoopback, ConvergeWithinTheBoundAndAfterALeaderCrash) {
  // Never destroyed: coroutines of open connections still refer to it. Its processes are ended below.
  static auto* const kWorld = new LoopbackWorld(platform(), {machineType()}, kOperators);
  LoopbackWorld& world = *kWorld;
  world.users.submit(array("job-3", "survey", 6, kShortS));
  world.users.submit(array("job-4", "recon", 6, kShortS));
  world.users.submit(array("job-1", "survey", 60, kLongS));
  world.users.submit(array("job-2", "recon", 60, kLongS));
  ASSERT_TRUE(
      world.runUntil([&] { return world.cpusOfClass("survey") + world.cpusOfClass("recon") >= kAll; }, 120));
  expectDivided(world, 0.75, 0.25);

  const auto changed = world.admin({"set", "class:survey=1", "class:recon=3", "--request-id", "ops-1"});
  EXPECT_EQ(changed.status, 0) << changed.text;
  EXPECT_NE(changed.text.find("generation=2"), std::string::npos) << changed.text;
  awaitHeartbeats(world, boundHeartbeats(platform()));
  expectDivided(world, 0.25, 0.75);
  const std::size_t stops = world.counters.taskStops;
  EXPECT_LE(stops, kAll * 0.5 / kTaskCpus);

  // Refused requests change nothing and give the reason.
  const auto repeated = world.admin({"set", "class:survey=1", "class:recon=3", "--request-id", "ops-1"});
  EXPECT_EQ(repeated.status, 0);
  EXPECT_NE(repeated.text.find("generation=2 repeated"), std::string::npos) << repeated.text;
  const auto stale = world.admin({"set", "class:survey=9", "--if-generation", "1"});
  EXPECT_EQ(stale.status, 1);
  EXPECT_NE(stale.text.find("aborted: generation is 2"), std::string::npos) << stale.text;
  const auto unknown = world.admin({"set", "class:nobody=9"});
  EXPECT_EQ(unknown.status, 1);
  EXPECT_NE(unknown.text.find("invalid: group class:nobody"), std::string::npos) << unknown.text;
  const auto negative = world.admin({"set", "class:survey=-1"});
  EXPECT_EQ(negative.status, 1);
  EXPECT_NE(negative.text.find("class:survey weight"), std::string::npos) << negative.text;
  const auto got = world.admin({"get"});
  EXPECT_EQ(got.status, 0);
  EXPECT_NE(got.text.find("class:recon=3"), std::string::npos) << got.text;

  // The leader crashes just after the next change.
  const auto back = world.admin({"set", "class:survey=1", "class:recon=1"});
  EXPECT_EQ(back.status, 0) << back.text;
  const std::string leader = world.leaderLabel();
  ASSERT_FALSE(leader.empty());
  world.kill(leader);
  ASSERT_TRUE(
      world.runUntil([&] { return !world.leaderLabel().empty() && world.leaderLabel() != leader; }, 60));
  world.restart(leader);
  awaitHeartbeats(world, boundHeartbeats(platform()) + takeoverHeartbeats(platform()));
  expectDivided(world, 0.5, 0.5);
  ASSERT_TRUE(world.runUntil(
      [&] { return world.admin({"status"}).text.find("generation=3 reported=3") != std::string::npos; }, 60));

  // Every job has one final state: two are cancelled, two are done.
  world.users.cancel("job-1");
  world.users.cancel("job-2");
  EXPECT_TRUE(world.runUntil(
      [&] {
        return world.users.lastStage("job-1") == "cancelled" &&
               world.users.lastStage("job-2") == "cancelled" && world.users.lastStage("job-3") == "done" &&
               world.users.lastStage("job-4") == "done";
      },
      120));
  world.checker.finish();
  for (const std::string& broken : world.checker.violations()) ADD_FAILURE() << "broken rule: " << broken;
  world.endProcesses();
}

}  // namespace
