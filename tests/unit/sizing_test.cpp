// Sizing: units, payoff, Pareto frontier, episode buffer, step choice and rounds.
#include "fleet/sizing.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace {

using namespace reachhoist;

TEST(Units, UnitIsAnEighthOfThePoolButAtLeastOneMachine) {
  EXPECT_EQ(fleet::machinesPerUnit(1, 8), 1);
  EXPECT_EQ(fleet::machinesPerUnit(15, 8), 1);
  EXPECT_EQ(fleet::machinesPerUnit(16, 8), 2);
  EXPECT_EQ(fleet::machinesPerUnit(80, 8), 10);
}

using fleet::Episode;
using fleet::ParetoFrontier;
using fleet::PoolContext;
using fleet::StepOutcome;

StepOutcome makeOutcome() {
  StepOutcome outcome;
  outcome.waitBeforeS = 20;
  outcome.waitAfterS = 10;
  outcome.waitBaselineS = outcome.maxWaitS = 40;
  outcome.targetS = 10;
  outcome.costBeforePerHour = 2;
  outcome.costAfterPerHour = 3;
  outcome.costBudgetPerHour = outcome.maxCostPerHour = 10;
  outcome.units = 1;
  return outcome;
}

TEST(Payoff, MatchesTermsComputedByHand) {
  // 0.7 * 10/40 - 0.3 * 1/10 + 0 (at the target) + (20/10 - 1) * 1.5 * 0.3 + 1 + (1 - 0.25) * (1 - 0.3)
  // = 0.175 - 0.03 + 0.45 + 1.525 = 2.12, clipped to 2.
  EXPECT_DOUBLE_EQ(fleet::payoff(makeOutcome(), ParetoFrontier{}), 2);
  ParetoFrontier frontier;
  frontier.update({0.05, 0.1});
  // The outcome is dominated now, so 0.8 / (1 + hypot(0.2, 0.2)) replaces the bonus.
  EXPECT_NEAR(fleet::payoff(makeOutcome(), frontier), 0.175 - 0.03 + 0.45 + 0.8 / (1 + std::hypot(0.2, 0.2)),
              1e-12);
  StepOutcome overTarget = makeOutcome();
  overTarget.waitAfterS = 15;  // one and a half times the target, which adds 1 - 2.25
  EXPECT_NEAR(fleet::payoff(overTarget, frontier),
              0.0875 - 0.03 - 1.25 + 0.45 + 0.8 / (1 + std::hypot(0.325, 0.2)), 1e-9);
  overTarget.waitAfterS = 100;
  EXPECT_DOUBLE_EQ(fleet::payoff(overTarget, frontier), -2);
  StepOutcome hold = makeOutcome();
  hold.units = 0;
  hold.waitBeforeS = hold.waitAfterS = 0;
  hold.costAfterPerHour = 2;
  EXPECT_NEAR(fleet::payoff(hold, ParetoFrontier{}), 1 + 0.8, 1e-12);
}

TEST(ParetoFrontier, ComputesDominanceContributionAndDistance) {
  ParetoFrontier frontier;
  EXPECT_TRUE(frontier.isNonDominated({0.9, 0.9}));
  EXPECT_NEAR(frontier.contribution({0.5, 0.5}), 0.25, 1e-12);
  frontier.update({0.2, 0.8});
  frontier.update({0.8, 0.2});
  EXPECT_FALSE(frontier.isNonDominated({0.9, 0.3}));
  EXPECT_TRUE(frontier.isNonDominated({0.5, 0.5}));
  // The contribution lies between the two points, from 0.5 to 0.8 on both axes. Beyond 0.8 the second point
  // dominates what is above 0.2.
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
  // The leave-one-out means are 1.5, 1.5 and 1, and the surprises are 0.5, 0.5 and 1. The distant episode has
  // almost no similarity. The second of the two equal contexts gets the diversity penalty of 0.1 and still
  // scores higher, with 0.5 - 0.1.
  const auto retrieved = buffer.retrieve(PoolContext{}, 2);
  ASSERT_EQ(retrieved.size(), 2U);
  EXPECT_EQ(retrieved[0].units, 1);
  EXPECT_EQ(retrieved[1].units, 0);
  EXPECT_EQ(buffer.retrieve(PoolContext{}, 15).size(), 3U);
}

TEST(ChooseStep, PicksTheBestSimilarityWeightedPayoffOfCloseEpisodes) {
  const PoolContext here{};
  PoolContext near{};
  near[0] = 0.2;
  const double similarity = fleet::similarity(here, near);
  EXPECT_NEAR(similarity, std::exp(-0.04 / (2 * 0.35 * 0.35)), 1e-12);
  // The payoff of step 1 is (1 * 0.5 + s * 1.5) / (1 + s) for a similarity s, and that of step 0 is 0.9.
  const auto choice = fleet::chooseStep({{here, 1, 0.5}, {near, 1, 1.5}, {here, 0, 0.9}}, here);
  ASSERT_TRUE(choice);
  const double payoffOfStepOne = (0.5 + similarity * 1.5) / (1 + similarity);
  EXPECT_EQ(choice->units, payoffOfStepOne > 0.9 ? 1 : 0);
  EXPECT_NEAR(choice->value, std::max(payoffOfStepOne, 0.9), 1e-12);
  EXPECT_FALSE(fleet::chooseStep({{PoolContext{1, 1, 1, 1, 1}, 2, 2.0}}, here));
}

TEST(EpisodeBuffer, SavedEpisodesAreDecodedAndMalformedOnesRefused) {
  fleet::EpisodeBuffer buffer;
  for (int i = 0; i < 300; ++i) buffer.add({PoolContext{0.123456, 1, 0, 0.5, 0.25}, i % 3, 0.5});
  EXPECT_EQ(buffer.episodes().size(), constants::kMaxEpisodes);
  const auto stored = buffer.encode(constants::kMaxStoredEpisodes);
  EXPECT_LT(stored.dump().size(), 6000U);
  fleet::EpisodeBuffer decoded;
  ASSERT_TRUE(decoded.decode(stored));
  EXPECT_EQ(decoded.episodes().size(), constants::kMaxStoredEpisodes);
  for (const auto& malformed :
       {wire::Json(3), wire::Json::parse("[[1]]"), wire::Json::parse("[[9,1,0,0,0,0,0]]"),
        wire::Json::parse("[[1,-1,0,0,0,0,0]]"), wire::Json::parse("[[1,\"x\",0,0,0,0,0]]")})
    EXPECT_FALSE(decoded.decode(malformed)) << malformed;
  EXPECT_EQ(decoded.episodes().size(), constants::kMaxStoredEpisodes);
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

TEST_F(SizingTest, StepsFollowTheQueueInUnitsAndKeepCooldowns) {
  fleet::Sizing sizing(settings, 1);
  auto steps = sizing.runRound(at(0), {pool(16, 30)});
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_EQ(steps[0].units, 2);
  EXPECT_EQ(steps[0].machines, 4);  // two units of an eighth of 16 machines
  EXPECT_FALSE(sizing.isRoundDue(at(29)));
  EXPECT_TRUE(sizing.isRoundDue(at(30)));
  EXPECT_TRUE(sizing.runRound(at(30), {pool(20, 30)}).empty());  // the cooldown between scale-outs is 60 s
  fleet::Sizing scaleIn(settings, 1);
  ASSERT_EQ(scaleIn.runRound(at(0), {pool(16, 0, 5)}).at(0).machines, -2);
  EXPECT_TRUE(scaleIn.runRound(at(90), {pool(14, 0, 5)}).empty());  // the cooldown between scale-ins is 120 s
  EXPECT_TRUE(scaleIn.runRound(at(95), {pool(0, 30)}).empty());     // an empty pool has no eighth
}

// Regression: all pools of hundreds of machines had the same size feature, and each step cost as much as the
// whole budget.
TEST_F(SizingTest, LargePoolsDifferInSizeFeatureAndCost) {
  EXPECT_DOUBLE_EQ(fleet::sizeFeature(4), 0.25);
  EXPECT_DOUBLE_EQ(fleet::sizeFeature(16), 1);
  EXPECT_DOUBLE_EQ(fleet::sizeFeature(256), 2);
  EXPECT_LT(fleet::sizeFeature(128), fleet::sizeFeature(256));
  fleet::Sizing sizing(settings, 1);
  ASSERT_EQ(sizing.runRound(at(0), {pool(256, 12)}).at(0).machines, 64);
  sizing.runRound(at(30), {pool(320, 0)});
  // The term of the wait is 0.7 * 12/30, that of the cost is -0.3 * 64/256, and the proactive one is
  // (12/5 - 1) * 2.5 * 0.3. The first point of the frontier adds 1 and the area beyond (0, 1), which is zero.
  ASSERT_EQ(sizing.buffer().episodes().size(), 1U);
  EXPECT_NEAR(sizing.buffer().episodes()[0].payoff, std::min(2.0, 0.28 - 0.075 + 1.05 + 1), 1e-9);
  EXPECT_DOUBLE_EQ(sizing.frontier().points().at(0).cost, 1);
}

TEST_F(SizingTest, RefusedScaleOutStartsNoCooldownAndAddsNoEpisode) {
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
