// Sizing: units, payoff, Pareto frontier, episode buffer, step choice and rounds.
#include "fleet/sizing.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace {

using namespace reachhoist;

TEST(Units, OneEighthOfThePoolButAtLeastOne) {
  EXPECT_EQ(fleet::machinesPerUnit(1, 8), 1);
  EXPECT_EQ(fleet::machinesPerUnit(15, 8), 1);
  EXPECT_EQ(fleet::machinesPerUnit(16, 8), 2);
  EXPECT_EQ(fleet::machinesPerUnit(80, 8), 10);
}

using fleet::Episode;
using fleet::ParetoFrontier;
using fleet::PoolContext;
using fleet::StepOutcome;

StepOutcome outcome() {
  StepOutcome out;
  out.waitBeforeS = 20;
  out.waitAfterS = 10;
  out.waitBaselineS = out.maxWaitS = 40;
  out.targetS = 10;
  out.costBeforePerHour = 2;
  out.costAfterPerHour = 3;
  out.costBudgetPerHour = out.maxCostPerHour = 10;
  out.units = 1;
  return out;
}

TEST(Payoff, MatchesTermsComputedByHand) {
  // 0.7 * 10/40 - 0.3 * 1/10 + 0 (at the target) + (20/10 - 1) * 1.5 * 0.3 + 1 + (1 - 0.25) * (1 - 0.3)
  // = 0.175 - 0.03 + 0.45 + 1.525 = 2.12, clipped to 2.
  EXPECT_DOUBLE_EQ(fleet::payoff(outcome(), ParetoFrontier{}), 2);
  ParetoFrontier frontier;
  frontier.update({0.05, 0.1});
  // Dominated now: 0.8 / (1 + hypot(0.2, 0.2)) instead of the bonus.
  EXPECT_NEAR(fleet::payoff(outcome(), frontier), 0.175 - 0.03 + 0.45 + 0.8 / (1 + std::hypot(0.2, 0.2)),
              1e-12);
  StepOutcome late = outcome();
  late.waitAfterS = 15;  // one and a half times the target: 1 - 2.25
  EXPECT_NEAR(fleet::payoff(late, frontier), 0.0875 - 0.03 - 1.25 + 0.45 + 0.8 / (1 + std::hypot(0.325, 0.2)),
              1e-9);
  late.waitAfterS = 100;
  EXPECT_DOUBLE_EQ(fleet::payoff(late, frontier), -2);
  StepOutcome hold = outcome();
  hold.units = 0;
  hold.waitBeforeS = hold.waitAfterS = 0;
  hold.costAfterPerHour = 2;
  EXPECT_NEAR(fleet::payoff(hold, ParetoFrontier{}), 1 + 0.8, 1e-12);
}

TEST(ParetoFrontier, DominanceAreaAndDistance) {
  ParetoFrontier frontier;
  EXPECT_TRUE(frontier.isNonDominated({0.9, 0.9}));
  EXPECT_NEAR(frontier.contribution({0.5, 0.5}), 0.25, 1e-12);
  frontier.update({0.2, 0.8});
  frontier.update({0.8, 0.2});
  EXPECT_FALSE(frontier.isNonDominated({0.9, 0.3}));
  EXPECT_TRUE(frontier.isNonDominated({0.5, 0.5}));
  // Between the two: from 0.5 to 0.8 below 0.8; beyond 0.8 the second point dominates what is above 0.2.
  EXPECT_NEAR(frontier.contribution({0.5, 0.5}), 0.3 * 0.3, 1e-12);
  EXPECT_NEAR(frontier.distance({0.8, 0.5}), 0.3, 1e-12);
  frontier.update({0.1, 0.1});
  EXPECT_EQ(frontier.points().size(), 1U);
}

TEST(EpisodeBuffer, OnlySuccessesAreStoredAndRetrievalIsDiverse) {
  fleet::EpisodeBuffer buffer;
  buffer.add({PoolContext{}, 1, 0});
  buffer.add({PoolContext{}, 1, -1});
  EXPECT_TRUE(buffer.episodes().empty());
  buffer.add({PoolContext{0, 0, 0, 0, 0}, 1, 1.0});
  buffer.add({PoolContext{0, 0, 0, 0, 0}, 0, 1.0});
  buffer.add({PoolContext{1, 1, 1, 1, 1}, 2, 2.0});
  // Leave-one-out means are 1.5, 1.5 and 1: surprises 0.5, 0.5 and 1. The far one is almost without
  // similarity, but the second twin pays the diversity penalty of 0.1 and still leads with 0.5 - 0.1.
  const auto two = buffer.retrieve(PoolContext{}, 2);
  ASSERT_EQ(two.size(), 2U);
  EXPECT_EQ(two[0].units, 1);
  EXPECT_EQ(two[1].units, 0);
  EXPECT_EQ(buffer.retrieve(PoolContext{}, 15).size(), 3U);
}

TEST(Choose, BestSimilarityWeightedPayoffOfCloseEpisodes) {
  const PoolContext here{};
  PoolContext near{};
  near[0] = 0.2;
  const double s = fleet::similarity(here, near);
  EXPECT_NEAR(s, std::exp(-0.04 / (2 * 0.35 * 0.35)), 1e-12);
  // Step 1: (1 * 0.5 + s * 1.5) / (1 + s); step 0: 0.9.
  const auto choice = fleet::chooseStep({{here, 1, 0.5}, {near, 1, 1.5}, {here, 0, 0.9}}, here);
  ASSERT_TRUE(choice);
  const double one = (0.5 + s * 1.5) / (1 + s);
  EXPECT_EQ(choice->units, one > 0.9 ? 1 : 0);
  EXPECT_NEAR(choice->value, std::max(one, 0.9), 1e-12);
  EXPECT_FALSE(fleet::chooseStep({{PoolContext{1, 1, 1, 1, 1}, 2, 2.0}}, here));
}

TEST(EpisodeBuffer, SavedEpisodesAreReadAndMalformedOnesSkipped) {
  fleet::EpisodeBuffer buffer;
  for (int i = 0; i < 300; ++i) buffer.add({PoolContext{0.123456, 1, 0, 0.5, 0.25}, i % 3, 0.5});
  EXPECT_EQ(buffer.episodes().size(), constants::kMaxEpisodes);
  const auto copy = buffer.encode(constants::kMaxStoredEpisodes);
  EXPECT_LT(copy.dump().size(), 6000U);
  fleet::EpisodeBuffer again;
  ASSERT_TRUE(again.decode(copy));
  EXPECT_EQ(again.episodes().size(), constants::kMaxStoredEpisodes);
  for (const auto& wrong :
       {wire::Json(3), wire::Json::parse("[[1]]"), wire::Json::parse("[[9,1,0,0,0,0,0]]"),
        wire::Json::parse("[[1,-1,0,0,0,0,0]]"), wire::Json::parse("[[1,\"x\",0,0,0,0,0]]")})
    EXPECT_FALSE(again.decode(wrong)) << wrong;
  EXPECT_EQ(again.episodes().size(), constants::kMaxStoredEpisodes);
}

fleet::PoolView pool(int machines, double waitS, int idle = 0) {
  fleet::PoolView view;
  view.key = {"small", "a", false};
  view.machines = machines;
  view.queueWaitS = waitS;
  view.idleMachines = view.releasableMachines = idle;
  view.busyShare = waitS > 0 ? 1 : 0.2;
  view.pricePerHour = 1;
  return view;
}

class SizingTest : public testing::Test {
 protected:
  SizingTest() { settings.operators.probeChance = settings.operators.probeFloor = 0; }
  wire::Time at(double s) { return wire::Time{} + std::chrono::hours(1) + wire::seconds(s); }
  config::Settings settings;
};

TEST_F(SizingTest, QueueFollowingUnitsAndCooldowns) {
  fleet::Sizing sizing(settings, 1);
  auto steps = sizing.runRound(at(0), {pool(16, 30)});
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_EQ(steps[0].units, 2);
  EXPECT_EQ(steps[0].machines, 4);  // two units of an eighth of 16
  EXPECT_FALSE(sizing.isRoundDue(at(29)));
  EXPECT_TRUE(sizing.isRoundDue(at(30)));
  EXPECT_TRUE(sizing.runRound(at(30), {pool(20, 30)}).empty());  // 60 s between scale-ups
  fleet::Sizing down(settings, 1);
  ASSERT_EQ(down.runRound(at(0), {pool(16, 0, 5)}).at(0).machines, -2);
  EXPECT_TRUE(down.runRound(at(90), {pool(14, 0, 5)}).empty());  // 120 s between scale-downs
  EXPECT_TRUE(down.runRound(at(95), {pool(0, 30)}).empty());     // a pool of zero has no eighth
}

// Regression: at hundreds of machines all pools looked the same and each step cost as much as the whole
// budget.
TEST_F(SizingTest, SizeAndCostMatterAtHundredsOfMachines) {
  EXPECT_DOUBLE_EQ(fleet::sizeFeature(4), 0.25);
  EXPECT_DOUBLE_EQ(fleet::sizeFeature(16), 1);
  EXPECT_DOUBLE_EQ(fleet::sizeFeature(256), 2);
  EXPECT_LT(fleet::sizeFeature(128), fleet::sizeFeature(256));
  fleet::Sizing sizing(settings, 1);
  ASSERT_EQ(sizing.runRound(at(0), {pool(256, 12)}).at(0).machines, 64);
  sizing.runRound(at(30), {pool(320, 0)});
  // Wait: 0.7 * 12/30. Cost: -0.3 * 64/256. Proactive: (12/5 - 1) * 2.5 * 0.3. First of its frontier: 1 and
  // the area beyond (0, 1), which is none.
  ASSERT_EQ(sizing.buffer().episodes().size(), 1U);
  EXPECT_NEAR(sizing.buffer().episodes()[0].payoff, std::min(2.0, 0.28 - 0.075 + 1.05 + 1), 1e-9);
  EXPECT_DOUBLE_EQ(sizing.frontier().points().at(0).cost, 1);
}

TEST_F(SizingTest, RefusedScaleOutIsNoStep) {
  fleet::Sizing sizing(settings, 1);
  ASSERT_EQ(sizing.runRound(at(0), {pool(8, 30)}).size(), 1U);
  sizing.onScaleOutRefused(pool(8, 30).key);
  EXPECT_EQ(sizing.runRound(at(30), {pool(8, 30)}).size(), 1U);  // no cooldown
  EXPECT_TRUE(sizing.buffer().episodes().empty());               // and no episode
}

TEST_F(SizingTest, StepsAreScoredOneRoundLaterAndProbesDecay) {
  settings.operators.probeChance = 0.15;
  settings.operators.probeFloor = 0.05;
  fleet::Sizing sizing(settings, 1);
  sizing.runRound(at(0), {pool(8, 0)});
  EXPECT_NEAR(sizing.probeChance(), 0.15 * 0.95, 1e-12);
  sizing.runRound(at(30), {pool(8, 0)});
  EXPECT_EQ(sizing.buffer().episodes().size(), 1U);
  EXPECT_EQ(sizing.frontier().points().size(), 1U);
  for (int i = 2; i < 80; ++i) sizing.runRound(at(30 * i), {});
  EXPECT_NEAR(sizing.probeChance(), 0.05, 1e-12);
  fleet::Sizing successor(settings, 2);
  ASSERT_TRUE(successor.decode(sizing.encode(7000)));
  EXPECT_EQ(successor.buffer().episodes().size(), sizing.buffer().episodes().size());
}

}  // namespace
