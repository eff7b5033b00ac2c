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

config::Settings platformSettings() {
  config::Settings settings;
  settings.teams.push_back({"desk", 0, 0, 0, 0});
  settings.objectives.push_back({"wait", "survey", 30, 0.9, 0});
  settings.objectives.push_back({"wait", "recon", 30, 0.9, 0});
  return settings;
}

Table validTable() {
  Table table;
  table.generation = 4;
  table.shares = {Share{*parseGroup("class:survey"), 3}, Share{*parseGroup("team:desk/class:recon"), 1}};
  return table;
}

std::string fieldOf(const Table& table) {
  const auto problem = shares::check(table, platformSettings());
  return problem ? problem->field : "";
}

Change makeChange(const std::string& id, const std::string& group, double weight) {
  Change change;
  change.requestId = id;
  change.set.push_back(Share{*parseGroup(group), weight});
  return change;
}

TEST(ShareGroups, NamesRoundTripAndMalformedOnesAreRefused) {
  for (const char* name : {"team:desk", "class:survey", "team:desk/class:survey"})
    EXPECT_EQ(parseGroup(name)->str(), name);
  for (const char* name : {"", "survey", "team:", "class:", "team:a/b", "team:a/class:", "class:a/team:b",
                           "team:a class:b", "others"})
    EXPECT_FALSE(parseGroup(name)) << name;
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

TEST(ShareTable, RoundTrip) {
  Table table = validTable();
  table.requests.push_back({"ops-1", 4});
  Table decoded;
  ASSERT_FALSE(shares::decode(shares::encode(table), decoded));
  EXPECT_EQ(shares::encode(decoded), shares::encode(table));
  EXPECT_EQ(fieldOf(decoded), "");
}

TEST(ShareTable, ValidationNamesTheField) {
  const auto fieldAfter = [](auto edit) {
    Table table = validTable();
    edit(table);
    return fieldOf(table);
  };
  EXPECT_EQ(fieldAfter([](Table& t) { t.generation = 0; }), "generation");
  EXPECT_EQ(fieldAfter([](Table& t) { t.shares.clear(); }), "groups");
  EXPECT_EQ(fieldAfter([](Table& t) { t.shares[0].weight = -1; }), "group class:survey weight");
  EXPECT_EQ(fieldAfter([](Table& t) { t.shares[0].weight = std::nan(""); }), "group class:survey weight");
  EXPECT_EQ(fieldAfter([](Table& t) { t.shares[0].weight = 1e300; }), "group class:survey weight");
  EXPECT_EQ(fieldAfter([](Table& t) { t.othersWeight = std::numeric_limits<double>::infinity(); }), "others");
  EXPECT_EQ(fieldAfter([](Table& t) { t.shares[0].group.jobClass = "nobody"; }), "group class:nobody");
  EXPECT_EQ(fieldAfter([](Table& t) { t.shares[0].group.team = "nobody"; }),
            "group team:nobody/class:survey");
  EXPECT_EQ(fieldAfter([](Table& t) { t.shares.push_back(t.shares[0]); }), "group class:survey");
  EXPECT_EQ(fieldAfter([](Table& t) { t.shares.resize(constants::kMaxShareGroups + 1, t.shares[0]); }),
            "groups");
}

TEST(ShareTable, RecordOverTheValueLimitIsRefused) {
  config::Settings limited = platformSettings();
  limited.stateLimits.maxValueKib = 0.1;
  EXPECT_EQ(shares::check(validTable(), limited)->field, "groups");
}

TEST(ShareTable, DecodingErrorsNameTheField) {
  const auto fieldOf = [](const Json& value) {
    Table table;
    const auto problem = shares::decode(value, table);
    return problem ? problem->field : "";
  };
  const Json record = shares::encode(validTable());
  const auto fieldWith = [&](const char* key, const Json& value) {
    Json changed = record;
    changed[key] = value;
    return fieldOf(changed);
  };
  EXPECT_EQ(fieldOf(Json::array()), "record");
  EXPECT_EQ(fieldWith("generation", -3), "generation");
  EXPECT_EQ(fieldWith("others", "much"), "others");
  EXPECT_EQ(fieldWith("groups", 7), "groups");
  EXPECT_EQ(fieldWith("groups", Json::array({7})), "groups[0].group");
  EXPECT_EQ(fieldWith("groups", Json::array({{{"group", "class:a"}, {"weight", "x"}}})), "groups[0].weight");
  EXPECT_EQ(fieldWith("requests", 7), "requests");
  EXPECT_EQ(fieldWith("requests", Json::array({7})), "requests");
}

TEST(ShareChanges, RepeatedRequestChangesNothing) {
  Table table = validTable();
  EXPECT_EQ(shares::apply(makeChange("ops-1", "class:recon", 2), platformSettings(), table).generation, 5U);
  EXPECT_EQ(table.shares.size(), 3U);
  const auto repeated = shares::apply(makeChange("ops-1", "class:recon", 2), platformSettings(), table);
  EXPECT_EQ(repeated.verdict, ChangeVerdict::repeated);
  EXPECT_EQ(repeated.generation, 5U);
  EXPECT_EQ(table.generation, 5U);
}

TEST(ShareChanges, KeepABoundedHistoryOfRequests) {
  Table table = validTable();
  for (int i = 0; i < 100; ++i)
    shares::apply(makeChange("ops-" + std::to_string(i), "class:recon", i), platformSettings(), table);
  EXPECT_EQ(table.requests.size(), constants::kShareRequestHistory);
  EXPECT_EQ(table.generation, 104U);
}

TEST(ShareChanges, RefusedRequestChangesNothing) {
  Table table = validTable();
  const auto fieldOfRefusal = [&](const Change& refusedChange, ChangeVerdict verdict) {
    const auto outcome = shares::apply(refusedChange, platformSettings(), table);
    EXPECT_EQ(outcome.verdict, verdict);
    EXPECT_EQ(outcome.generation, 4U);
    EXPECT_EQ(shares::encode(table), shares::encode(validTable()));
    return outcome.problem.field;
  };
  Change stale = makeChange("ops-1", "class:recon", 2);
  stale.expectedGeneration = 3;
  EXPECT_EQ(fieldOfRefusal(stale, ChangeVerdict::staleGeneration), "generation");
  EXPECT_EQ(fieldOfRefusal(makeChange("", "class:recon", 2), ChangeVerdict::invalid), "request_id");
  EXPECT_EQ(fieldOfRefusal(makeChange(std::string(99, 'x'), "class:recon", 2), ChangeVerdict::invalid),
            "request_id");
  EXPECT_EQ(fieldOfRefusal(makeChange("ops-1", "class:nobody", 2), ChangeVerdict::invalid),
            "group class:nobody");
  EXPECT_EQ(fieldOfRefusal(makeChange("ops-1", "class:recon", -2), ChangeVerdict::invalid),
            "group class:recon weight");
  Change twice = makeChange("ops-1", "class:recon", 2);
  twice.set.push_back(twice.set[0]);
  EXPECT_EQ(fieldOfRefusal(twice, ChangeVerdict::invalid), "group class:recon");
  Change missing;
  missing.requestId = "ops-1";
  missing.remove.push_back(*parseGroup("class:recon"));
  EXPECT_EQ(fieldOfRefusal(missing, ChangeVerdict::invalid), "group class:recon");
}

TEST(FairShare, UnusedShareGoesToTheOtherGroups) {
  const wire::Resources capacity{100, 0, 400};
  const auto groupLoad = [](double weight, double cpus) {
    shares::GroupLoad load;
    load.weight = weight;
    load.demand = {cpus, 0, cpus};
    return load;
  };
  const auto allocation = shares::allocateFairShares(
      capacity, {groupLoad(20, 0), groupLoad(3, 100), groupLoad(1, 100), groupLoad(0, 100)});
  EXPECT_EQ(allocation[0].entitled, 0);
  EXPECT_NEAR(allocation[1].entitled, 0.75, 1e-9);
  EXPECT_NEAR(allocation[2].entitled, 0.25, 1e-9);
  EXPECT_NEAR(allocation[3].entitled, 0, 1e-9);
  const auto allocationOfUnusedShare =
      shares::allocateFairShares(capacity, {groupLoad(5, 30), groupLoad(0, 100)});
  EXPECT_NEAR(allocationOfUnusedShare[1].entitled, 0.7, 1e-9);
}

TEST(FairShare, UsesTheDominantResource) {
  // CPUs are the dominant resource of one group and memory that of the other. Each group gets the same share
  // of its dominant resource.
  shares::GroupLoad cpus;
  cpus.weight = 1;
  cpus.demand = {100, 0, 50};
  shares::GroupLoad memory;
  memory.weight = 1;
  memory.demand = {20, 0, 400};
  const auto allocation = shares::allocateFairShares({100, 0, 400}, {cpus, memory});
  EXPECT_NEAR(allocation[0].entitled, allocation[1].entitled, 1e-9);
  EXPECT_GT(allocation[0].entitled, 0.8);
}

TEST(Convergence, BoundGrowsWithReclaimStepsAndTaskTimes) {
  config::Settings settings = platformSettings();
  settings.workers.heartbeatIntervalS = 4;
  settings.operators.shares.reclaimStep = 0.1;
  shares::CapacityShift shift;
  shift.share = 0.25;
  EXPECT_EQ(shares::reclaimSteps(settings, shift), 3U);
  const double bound = shares::convergenceBoundS(settings, shift);
  shift.gracePeriodS = 5;
  shift.imagePullS = 2;
  EXPECT_NEAR(shares::convergenceBoundS(settings, shift), bound + 7, 1e-9);
  shift.share = 0.35;
  EXPECT_NEAR(shares::convergenceBoundS(settings, shift), bound + 7 + shares::reclaimPauseS(settings), 1e-9);
}

}  // namespace
