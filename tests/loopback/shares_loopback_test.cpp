// Fair shares with real processes: three controllers, the admin daemon and its commands. The stand-ins of
// key-value store, cloud, workers and users communicate with them over loopback sockets.
#include <gtest/gtest.h>

#include "loopback/loopback_world.hpp"
#include "shares/convergence.hpp"
#include "standin/share_setup.hpp"

namespace {

using loopback::LoopbackWorld;
using namespace reachhoist;

constexpr double kMachineCount = 8;
constexpr double kCpusPerMachine = 8;
constexpr double kTotalCpus = kMachineCount * kCpusPerMachine;
constexpr double kTaskCpus = 2;
constexpr double kLongRunS = 600;  // longer than the test, so that the demand lasts
constexpr double kShortRunS = 8;
constexpr const char* kOperatorsFile = R"(shares {
  reclaim_step = 0.3
  group "class:survey" { weight = 3 }
  group "class:recon" { weight = 1 }
}
)";

config::Settings platformSettings() {
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
  type.capacity = {kCpusPerMachine, 0, 64};
  type.imagePullGbPerS = 2;
  type.spotPricePerHour = 1;
  type.nominalBootTimeS = 1;
  type.zones = {"a"};
  return standin::onDemandOnly(type, static_cast<int>(kMachineCount));
}

standin::JobPlan arrayJob(const std::string& ref, const std::string& jobClass, std::uint32_t taskCount,
                          double runS) {
  return standin::arrayPlan({ref, jobClass, taskCount, {kTaskCpus, 0, 2}, "img", 1, runS, 5, 2});
}

// The convergence bound as a number of heartbeats of each worker.
std::size_t heartbeatsWithinBound(const config::Settings& settings) {
  shares::CapacityShift shift;
  shift.share = 0.5;
  shift.gracePeriodS = 3;
  shift.imagePullS = 1;
  return static_cast<std::size_t>(shares::convergenceBoundHeartbeats(settings, shift));
}

// The additional number of heartbeats that a failover takes: the lease of the old leader expires, the
// controllers elect the next leader, the workers find it, and their heartbeats report the state of their
// tasks to it.
std::size_t failoverHeartbeats(const config::Settings& settings) {
  const double failoverS =
      wire::toSeconds(constants::kLeaderLeaseTtl) + 2 * settings.workers.heartbeatIntervalS + 10;
  return static_cast<std::size_t>(failoverS / settings.workers.heartbeatIntervalS);
}

// Waits until each worker that is up has had this many further answers to its heartbeats.
void awaitHeartbeats(LoopbackWorld& world, std::size_t heartbeats) {
  const std::size_t target = world.minAnsweredHeartbeats() + heartbeats;
  ASSERT_TRUE(world.runUntil([&] { return world.minAnsweredHeartbeats() >= target; }, 300))
      << "the controllers did not answer enough heartbeats of each worker";
}

void expectShares(const LoopbackWorld& world, double surveyShare, double reconShare) {
  EXPECT_NEAR(world.cpusOfClass("survey"), kTotalCpus * surveyShare, 2 * kTaskCpus);
  EXPECT_NEAR(world.cpusOfClass("recon"), kTotalCpus * reconShare, 2 * kTaskCpus);
}

TEST(SharesOnLoopback, ConvergeWithinTheBoundAndAfterALeaderCrash) {
  // The world is never destroyed, because coroutines of open connections still refer to it. The end of the
  // test kills its processes.
  static auto* const kWorld = new LoopbackWorld(platformSettings(), {machineType()}, kOperatorsFile);
  LoopbackWorld& world = *kWorld;
  world.users.submit(arrayJob("job-3", "survey", 6, kShortRunS));
  world.users.submit(arrayJob("job-4", "recon", 6, kShortRunS));
  world.users.submit(arrayJob("job-1", "survey", 60, kLongRunS));
  world.users.submit(arrayJob("job-2", "recon", 60, kLongRunS));
  ASSERT_TRUE(world.runUntil(
      [&] { return world.cpusOfClass("survey") + world.cpusOfClass("recon") >= kTotalCpus; }, 120));
  expectShares(world, 0.75, 0.25);

  const auto changed =
      world.runSharesCommand({"set", "class:survey=1", "class:recon=3", "--request-id", "ops-1"});
  EXPECT_EQ(changed.exitStatus, 0) << changed.output;
  EXPECT_NE(changed.output.find("generation=2"), std::string::npos) << changed.output;
  awaitHeartbeats(world, heartbeatsWithinBound(platformSettings()));
  expectShares(world, 0.25, 0.75);
  const std::size_t taskStops = world.counters.taskStops;
  EXPECT_LE(taskStops, kTotalCpus * 0.5 / kTaskCpus);

  // A repeated request gets the earlier answer. Stale and invalid requests are refused with a reason. None of
  // them changes the table.
  const auto repeated =
      world.runSharesCommand({"set", "class:survey=1", "class:recon=3", "--request-id", "ops-1"});
  EXPECT_EQ(repeated.exitStatus, 0);
  EXPECT_NE(repeated.output.find("generation=2 repeated"), std::string::npos) << repeated.output;
  const auto stale = world.runSharesCommand({"set", "class:survey=9", "--if-generation", "1"});
  EXPECT_EQ(stale.exitStatus, 1);
  EXPECT_NE(stale.output.find("aborted: generation is 2"), std::string::npos) << stale.output;
  const auto unknown = world.runSharesCommand({"set", "class:nobody=9"});
  EXPECT_EQ(unknown.exitStatus, 1);
  EXPECT_NE(unknown.output.find("invalid: group class:nobody"), std::string::npos) << unknown.output;
  const auto negative = world.runSharesCommand({"set", "class:survey=-1"});
  EXPECT_EQ(negative.exitStatus, 1);
  EXPECT_NE(negative.output.find("class:survey weight"), std::string::npos) << negative.output;
  const auto table = world.runSharesCommand({"get"});
  EXPECT_EQ(table.exitStatus, 0);
  EXPECT_NE(table.output.find("class:recon=3"), std::string::npos) << table.output;

  // The leader crashes just after the next change.
  const auto equalWeights = world.runSharesCommand({"set", "class:survey=1", "class:recon=1"});
  EXPECT_EQ(equalWeights.exitStatus, 0) << equalWeights.output;
  const std::string leader = world.leaderLabel();
  ASSERT_FALSE(leader.empty());
  world.killController(leader);
  ASSERT_TRUE(
      world.runUntil([&] { return !world.leaderLabel().empty() && world.leaderLabel() != leader; }, 60));
  world.restartController(leader);
  awaitHeartbeats(world, heartbeatsWithinBound(platformSettings()) + failoverHeartbeats(platformSettings()));
  expectShares(world, 0.5, 0.5);
  ASSERT_TRUE(world.runUntil(
      [&] {
        return world.runSharesCommand({"status"}).output.find("generation=3 reported=3") != std::string::npos;
      },
      60));

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
  for (const std::string& violation : world.checker.violations()) ADD_FAILURE() << "violation: " << violation;
  world.killProcesses();
}

}  // namespace
