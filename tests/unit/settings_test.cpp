// Parsing of the platform's settings and of the operators' file.
#include "config/settings.hpp"

#include <gtest/gtest.h>

#include "wire/codec.hpp"

namespace {

using reachhoist::config::parseOperators;
using reachhoist::config::parsePlatform;
using reachhoist::config::Settings;
using Json = nlohmann::json;

Json validPlatformFile() {
  return Json::parse(R"({
    "label": "hoist-0", "area": "a", "bind": "10.0.0.1:8080", "peer_listen": "10.0.0.1:8081",
    "siblings": [{"label": "hoist-1", "area": "b", "endpoint": "10.0.0.2:8081"}],
    "endpoints": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
    "facts": {
      "initial_size": 3, "zones": ["a", "b"],
      "teams": [{"name": "t", "cpus": 24, "cpus_max": 40, "gpus": 0, "gpus_max": 0}],
      "objectives": [{"kind": "wait", "class": "x", "within_s": 60, "share": 0.9}, {"kind": "guarantee", "within_s": 5}],
      "workers": {"report_s": 1.5, "lease_s": 12, "cancel_s": 42, "gang_wait_s": 40},
      "state": {"rps": 200, "write_rps": 40, "value_kb": 32, "txn_ops": 16},
      "cloud": {"rps": 3, "list_lag_s": 10},
      "limits": {"core_share": 0.12, "ram_mb": 72, "max_connections": 1000},
      "clock_off_ms": 5}, "some_later_field": {}})");
}

TEST(Platform, ParsesAValidFileAndDerivesTimeWindows) {
  Settings settings;
  const auto problem = parsePlatform(validPlatformFile().dump(), settings);
  ASSERT_FALSE(problem) << problem->field << " " << problem->reason;
  EXPECT_EQ(settings.team("t")->cpusMax, 40);
  EXPECT_EQ(settings.objectives.size(), 2U);
  // A lease that is renewed at the end of the window expires before cancel_s has passed, on any clock.
  EXPECT_LT(settings.answerWindow().count() + settings.workers.leaseS * 1000,
            settings.workers.cancelS * 1000);
  EXPECT_GT(settings.answerWindow().count(), settings.workers.heartbeatIntervalS * 1000);
  EXPECT_GT(settings.leaseExpiry().count(), settings.workers.leaseS * 1000 + 1000);
}

TEST(Platform, AnnouncedLimitsApplyAtOnce) {
  Json file = validPlatformFile();
  file["facts"]["state"]["next"] = {{"value_kb", 2}, {"txn_ops", 4}, {"rps", 900}};
  Settings settings;
  ASSERT_FALSE(parsePlatform(file.dump(), settings));
  EXPECT_EQ(settings.stateLimits.maxValueKib, 2);
  EXPECT_EQ(settings.stateLimits.opsPerTransaction, 4U);
  EXPECT_EQ(settings.stateLimits.requestsPerS, 200);  // the smaller of both
  EXPECT_EQ(settings.stateLimits.writesPerS, 40);
  // The announcement does not affect this number, because all versions must compute the same one.
  EXPECT_EQ(settings.initialPartitions, 3U);
  EXPECT_EQ(settings.workers.gangWaitS, 40);
  file["facts"]["state"]["next"] = nullptr;
  Settings unannounced;
  ASSERT_FALSE(parsePlatform(file.dump(), unannounced));
  EXPECT_EQ(unannounced.stateLimits.opsPerTransaction, 16U);
}

TEST(Platform, SocketsAreDividedBetweenServerAndClients) {
  for (const unsigned sockets : {240U, 1000U, 2873U, 60000U}) {
    Json file = validPlatformFile();
    file["facts"]["limits"]["max_connections"] = sockets;
    Settings settings;
    ASSERT_FALSE(parsePlatform(file.dump(), settings)) << sockets;
    // The heartbeats of each worker use one connection, so the server gets most of the sockets. The sockets
    // for the key-value store are never used for workers.
    EXPECT_GE(settings.serverSockets(), sockets / 2);
    EXPECT_LT(settings.serverSockets() + settings.clientSockets(), sockets);
    EXPECT_LT(settings.maxWorkerCalls(), settings.clientSockets());
  }
}

TEST(Platform, VeryLargeConnectionLimitIsAccepted) {
  Json file = validPlatformFile();
  file["facts"]["limits"]["max_connections"] = 4'000'000'000;
  Settings settings;
  EXPECT_FALSE(parsePlatform(file.dump(), settings));
  EXPECT_GE(settings.serverSockets(), 500'000U);
}

TEST(Platform, ErrorsNameTheField) {
  const std::vector<std::tuple<const char*, Json, const char*>> invalidFields = {
      {"/label", 3, "label"},
      {"/bind", "nowhere", "bind"},
      {"/siblings/0/endpoint", nullptr, "siblings[0].endpoint"},
      {"/endpoints/state", "", "endpoints.state"},
      {"/facts/workers/lease_s", "long", "facts.workers.lease_s"},
      {"/facts/workers/lease_s", 41, "facts.workers.cancel_s"},
      {"/facts/workers/gang_wait_s", "long", "facts.workers.gang_wait_s"},
      {"/facts/state/next", 3, "facts.state.next"},
      {"/facts/state/next", Json{{"txn_ops", 1.5}}, "facts.state.next.txn_ops"},
      {"/facts/state/next", Json{{"value_kb", "2"}}, "facts.state.next.value_kb"},
      {"/facts/state/next", Json{{"rps", true}}, "facts.state.next.rps"},
      {"/facts/state/txn_ops", 2, "facts.state.txn_ops"},
      {"/facts/teams/0/cpus_max", -1, "facts.teams[0].cpus_max"},
      {"/facts/limits/max_connections", 10, "facts.limits.max_connections"},
  };
  for (const auto& [path, value, field] : invalidFields) {
    Json file = validPlatformFile();
    file[Json::json_pointer(path)] = value;
    Settings settings;
    const auto problem = parsePlatform(file.dump(), settings);
    ASSERT_TRUE(problem) << path;
    EXPECT_EQ(problem->field, field);
  }
  Settings settings;
  EXPECT_TRUE(parsePlatform("{", settings));
  EXPECT_TRUE(parsePlatform("[]", settings));
}

TEST(Operators, ParsesValuesAndKeepsDefaults) {
  Settings settings;
  ASSERT_FALSE(parseOperators("# comment\nsizing {\n  round_s = 20\n  spare_share = 0.25\n}\n", settings));
  EXPECT_EQ(settings.operators.sizingRoundS, 20);
  EXPECT_EQ(settings.operators.headroomShare, 0.25);
  EXPECT_EQ(settings.operators.scaleUpCooldownS, 60);
  ASSERT_FALSE(parseOperators("", settings));
}

TEST(Operators, ErrorsNameUnknownKeysAndInvalidValues) {
  Settings settings;
  for (const char* file :
       {"sizing { rounds = 3 }", "other { }", "sizing { round_s = fast }", "sizing { round_s = 1 }",
        "sizing { step_divisor = 2.5 }", "sizing { round_s = ", "sizing = 4"}) {
    const auto problem = parseOperators(file, settings);
    ASSERT_TRUE(problem) << file;
    EXPECT_FALSE(problem->field.empty());
    EXPECT_EQ(problem->reason.find('\n'), std::string::npos);
  }
  EXPECT_EQ(parseOperators("sizing { round_s = 1 }", settings)->field, "sizing.round_s");
  EXPECT_NE(parseOperators("sizing { rounds = 3 }", settings)->reason.find("rounds"), std::string::npos);
}

TEST(Operators, SharesAreDisabledWithoutTheirBlock) {
  Settings settings;
  ASSERT_FALSE(parseOperators("sizing { round_s = 30 }", settings));
  EXPECT_FALSE(settings.operators.shares.enabled);
}

TEST(Operators, ParsesShares) {
  Settings settings;
  const auto problem = parseOperators(R"(
    shares {
      generation = 7
      others = 0.5
      reclaim_step = 0.2
      group "class:survey" { weight = 3 }
      group "team:t" { weight = 0 }
    })",
                                      settings);
  ASSERT_FALSE(problem) << problem->field << " " << problem->reason;
  const auto& shares = settings.operators.shares;
  EXPECT_TRUE(shares.enabled);
  EXPECT_EQ(shares.generation, 7U);
  EXPECT_EQ(shares.othersWeight, 0.5);
  EXPECT_EQ(shares.reclaimStep, 0.2);
  ASSERT_EQ(shares.groups.size(), 2U);
  EXPECT_EQ(shares.groups[0].group, "class:survey");
  EXPECT_EQ(shares.groups[0].weight, 3);
}

TEST(Operators, ErrorsOfSharesNameTheField) {
  const auto fieldOf = [](const std::string& block) {
    Settings settings;
    const auto problem = parseOperators("shares { " + block + " }", settings);
    return problem ? problem->field : "";
  };
  EXPECT_EQ(fieldOf("generation = 0"), "shares.generation");
  EXPECT_EQ(fieldOf("generation = 1.5"), "shares.generation");
  EXPECT_EQ(fieldOf("others = nan"), "shares.others");
  EXPECT_EQ(fieldOf("reclaim_step = 0"), "shares.reclaim_step");
  EXPECT_EQ(fieldOf("group \"class:a\" { }"), "shares.group class:a weight");
  EXPECT_EQ(fieldOf("group \"class:a\" { weight = -1 }"), "shares.group class:a weight");
  EXPECT_EQ(fieldOf("group \"class:a\" { weight = 1e99 }"), "shares.group class:a weight");
  EXPECT_EQ(fieldOf("group \"class:a\" { weight = 1 } group \"class:a\" { weight = 2 }"), "operators' file");
  EXPECT_EQ(fieldOf("group \"class:a\" { wait = 1 }"), "operators' file");
  EXPECT_EQ(fieldOf("steps = 1"), "operators' file");
}

}  // namespace
