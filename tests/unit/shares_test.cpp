// Share groups, the share table and its validation, operators' changes, fair shares and convergence bounds.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>

#include "shares/convergence.hpp"
#include "shares/fair_share.hpp"
#include "shares/table.hpp"

namespace {

using namespace reachhoist;
using shares::Change;
using shares::ChangeVerdict;
using shares::parseGroup;
using shares::Share;
using shares::Table;
using Json = nlohmann::json;

config::Settings platform() {
  config::Settings settings;
  settings.teams.push_back({"desk", 0, 0, 0, 0});
  settings.objectives.push_back({"wait", "survey", 30, 0.9, 0});
  settings.objectives.push_back({"wait", "recon", 30, 0.9, 0});
  return settings;
}

Table good() {
  Table table;
  table.generation = 4;
  table.shares = {Share{*parseGroup("class:survey"), 3}, Share{*parseGroup("team:desk/class:recon"), 1}};
  return table;
}

std::string fieldOf(const Table& table) {
  const auto problem = shares::check(table, platform());
  return problem ? problem->field : "";
}

Change change(const std::string& id, const std::string& group, double weight) {
  Change out;
  out.requestId = id;
  out.set.push_back(Share{*parseGroup(group), weight});
  return out;
}

TEST(ShareGroups, RoundTrip) {
  for (const char* text : {"team:desk", "class:survey", "team:desk/class:survey"})
    EXPECT_EQ(parseGroup(text)->str(), text);
  for (const char* text : {"", "survey", "team:", "class:", "team:a/b", "team:a/class:", "class:a/team:b",
                           "team:a class:b", "others"})
    EXPECT_FALSE(parseGroup(text)) << text;
}

TEST(ShareGroups, MostSpecificGroupOfAJobApplies) {
  Table table;
  table.shares = {Share{*parseGroup("class:survey"), 1}, Share{*parseGroup("team:desk"), 1},
                  Share{*parseGroup("team:desk/class:survey"), 1}};
  EXPECT_EQ(table.groupOf("desk", "survey"), 2U);
  EXPECT_EQ(table.groupOf("desk", "recon"), 1U);
  EXPECT_EQ(table.groupOf("guests", "survey"), 0U);
  EXPECT_EQ(table.groupOf("guests", "recon"), 3U);
  EXPECT_EQ(table.groupName(3), "others");
}

TEST(ShareTable, ReadsBackWhatItWrites) {
  Table table = good();
  table.requests.push_back({"ops-1", 4});
  Table again;
  ASSERT_FALSE(shares::decode(shares::encode(table), again));
  EXPECT_EQ(shares::encode(again), shares::encode(table));
  EXPECT_EQ(fieldOf(again), "");
}

TEST(ShareTable, ValidationNamesTheProblem) {
  const auto with = [](auto edit) {
    Table table = good();
    edit(table);
    return fieldOf(table);
  };
  EXPECT_EQ(with([](Table& t) { t.generation = 0; }), "generation");
  EXPECT_EQ(with([](Table& t) { t.shares.clear(); }), "groups");
  EXPECT_EQ(with([](Table& t) { t.shares[0].weight = -1; }), "group class:survey weight");
  EXPECT_EQ(with([](Table& t) { t.shares[0].weight = std::nan(""); }), "group class:survey weight");
  EXPECT_EQ(with([](Table& t) { t.shares[0].weight = 1e300; }), "group class:survey weight");
  EXPECT_EQ(with([](Table& t) { t.othersWeight = std::numeric_limits<double>::infinity(); }), "others");
  EXPECT_EQ(with([](Table& t) { t.shares[0].group.jobClass = "nobody"; }), "group class:nobody");
  EXPECT_EQ(with([](Table& t) { t.shares[0].group.team = "nobody"; }), "group team:nobody/class:survey");
  EXPECT_EQ(with([](Table& t) { t.shares.push_back(t.shares[0]); }), "group class:survey");
  EXPECT_EQ(with([](Table& t) { t.shares.resize(constants::kMaxShareGroups + 1, t.shares[0]); }), "groups");
}

TEST(ShareTable, ARecordBeyondTheValueLimitIsRefused) {
  config::Settings small = platform();
  small.stateLimits.maxValueKib = 0.1;
  EXPECT_EQ(shares::check(good(), small)->field, "groups");
}

TEST(ShareTable, UndecodableRecordsNameTheField) {
  const auto field = [](const Json& value) {
    Table table;
    const auto problem = shares::decode(value, table);
    return problem ? problem->field : "";
  };
  const Json record = shares::encode(good());
  const auto with = [&](const char* key, const Json& value) {
    Json changed = record;
    changed[key] = value;
    return field(changed);
  };
  EXPECT_EQ(field(Json::array()), "record");
  EXPECT_EQ(with("generation", -3), "generation");
  EXPECT_EQ(with("others", "much"), "others");
  EXPECT_EQ(with("groups", 7), "groups");
  EXPECT_EQ(with("groups", Json::array({7})), "groups[0].group");
  EXPECT_EQ(with("groups", Json::array({{{"group", "class:a"}, {"weight", "x"}}})), "groups[0].weight");
  EXPECT_EQ(with("requests", 7), "requests");
  EXPECT_EQ(with("requests", Json::array({7})), "requests");
}

TEST(ShareChanges, RepeatedRequestChangesNothing) {
  Table table = good();
  EXPECT_EQ(shares::apply(change("ops-1", "class:recon", 2), platform(), table).generation, 5U);
  EXPECT_EQ(table.shares.size(), 3U);
  const auto again = shares::apply(change("ops-1", "class:recon", 2), platform(), table);
  EXPECT_EQ(again.verdict, ChangeVerdict::repeated);
  EXPECT_EQ(again.generation, 5U);
  EXPECT_EQ(table.generation, 5U);
}

TEST(ShareChanges, RememberABoundedNumberOfRequests) {
  Table table = good();
  for (int i = 0; i < 100; ++i)
    shares::apply(change("ops-" + std::to_string(i), "class:recon", i), platform(), table);
  EXPECT_EQ(table.requests.size(), constants::kShareRequestHistory);
  EXPECT_EQ(table.generation, 104U);
}

TEST(ShareChanges, RefusedRequestChangesNothing) {
  Table table = good();
  const auto refused = [&](const Change& bad, ChangeVerdict verdict) {
    const auto outcome = shares::apply(bad, platform(), table);
    EXPECT_EQ(outcome.verdict, verdict);
    EXPECT_EQ(outcome.generation, 4U);
    EXPECT_EQ(shares::encode(table), shares::encode(good()));
    return outcome.problem.field;
  };
  Change stale = change("ops-1", "class:recon", 2);
  stale.expectedGeneration = 3;
  EXPECT_EQ(refused(stale, ChangeVerdict::staleGeneration), "generation");
  EXPECT_EQ(refused(change("", "class:recon", 2), ChangeVerdict::invalid), "request_id");
  EXPECT_EQ(refused(change(std::string(99, 'x'), "class:recon", 2), ChangeVerdict::invalid), "request_id");
  EXPECT_EQ(refused(change("ops-1", "class:nobody", 2), ChangeVerdict::invalid), "group class:nobody");
  EXPECT_EQ(refused(change("ops-1", "class:recon", -2), ChangeVerdict::invalid), "group class:recon weight");
  Change twice = change("ops-1", "class:recon", 2);
  twice.set.push_back(twice.set[0]);
  EXPECT_EQ(refused(twice, ChangeVerdict::invalid), "group class:recon");
  Change missing;
  missing.requestId = "ops-1";
  missing.remove.push_back(*parseGroup("class:recon"));
  EXPECT_EQ(refused(missing, ChangeVerdict::invalid), "group class:recon");
}

TEST(FairShare, UnusedShareGoesToTheOtherGroups) {
  const wire::Resources capacity{100, 0, 400};
  const auto load = [](double weight, double cpus) {
    shares::GroupLoad out;
    out.weight = weight;
    out.demand = {cpus, 0, cpus};
    return out;
  };
  const auto shares =
      shares::allocateFairShares(capacity, {load(20, 0), load(3, 100), load(1, 100), load(0, 100)});
  EXPECT_EQ(shares[0].entitled, 0);
  EXPECT_NEAR(shares[1].entitled, 0.75, 1e-9);
  EXPECT_NEAR(shares[2].entitled, 0.25, 1e-9);
  EXPECT_NEAR(shares[3].entitled, 0, 1e-9);
  const auto left = shares::allocateFairShares(capacity, {load(5, 30), load(0, 100)});
  EXPECT_NEAR(left[1].entitled, 0.7, 1e-9);
}

TEST(FairShare, UsesTheDominantResource) {
  // One group is bound by CPUs, the other by memory: each gets the same part of what binds it.
  shares::GroupLoad cpus;
  cpus.weight = 1;
  cpus.demand = {100, 0, 50};
  shares::GroupLoad memory;
  memory.weight = 1;
  memory.demand = {20, 0, 400};
  const auto shares = shares::allocateFairShares({100, 0, 400}, {cpus, memory});
  EXPECT_NEAR(shares[0].entitled, shares[1].entitled, 1e-9);
  EXPECT_GT(shares[0].entitled, 0.8);
}

TEST(Convergence, BoundGrowsWithStepsAndTaskTimes) {
  config::Settings settings = platform();
  settings.workers.heartbeatIntervalS = 4;
  settings.operators.shares.reclaimStep = 0.1;
  shares::CapacityShift move;
  move.share = 0.25;
  EXPECT_EQ(shares::reclaimSteps(settings, move), 3U);
  const double bound = shares::convergenceBoundS(settings, move);
  move.gracePeriodS = 5;
  move.imagePullS = 2;
  EXPECT_NEAR(shares::convergenceBoundS(settings, move), bound + 7, 1e-9);
  move.share = 0.35;
  EXPECT_NEAR(shares::convergenceBoundS(settings, move), bound + 7 + shares::reclaimPauseS(settings), 1e-9);
}

}  // namespace
