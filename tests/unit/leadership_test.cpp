// Elections: which record layouts a leader accepts, and how it claims partitions that don't fit one
// transaction.
#include "cluster/leadership.hpp"

#include <gtest/gtest.h>

namespace {

using namespace reachhoist;
using wire::Json;

wire::Time at(double s) { return wire::Time{} + std::chrono::hours(1) + wire::seconds(s); }

// A controller in an election; the test answers its calls to the key-value store by hand.
struct Candidate {
  config::Settings settings;
  wire::Calls calls;
  state::Client client{calls, settings};
  std::optional<std::uint64_t> refused;
  std::vector<std::uint64_t> revisions;
  std::unique_ptr<cluster::Leadership> leadership;

  Candidate(unsigned partitions, unsigned ops) {
    settings.label = "hoist-0";
    settings.initialPartitions = partitions;
    settings.stateLimits.opsPerTransaction = ops;
    leadership = std::make_unique<cluster::Leadership>(
        client, settings, 1,
        cluster::Leadership::Handlers{[this](std::uint64_t, const auto& given) { revisions = given; },
                                      [](const char*) {},
                                      [this](std::uint64_t layout) { refused = layout; }});
  }
  // Answers all calls except watches until one goes to the given path; returns that call unanswered.
  std::optional<wire::Call> answerUntil(const std::string& path, const Json& listing) {
    for (int step = 0; step < 60; ++step) {
      now += 0.1;
      leadership->tick(at(now));
      client.pump(at(now));
      for (wire::Call& call : calls.drain()) {
        if (call.path == path) return call;
        if (call.path.starts_with("/keys?")) {
          calls.complete(call.number, wire::CallResult{200, true, listing});
        } else if (call.path == "/leases") {
          calls.complete(call.number, wire::CallResult{200, true, Json{{"permit", 7}}});
        }
      }
    }
    return std::nullopt;
  }
  double now = 0;
};

Json listing(std::uint64_t layout) {
  return Json{{"pairs", Json::array({Json{{"key", "leader-term"},
                                          {"value", {{"term", 4}, {"parts", 5}, {"layout", layout}}},
                                          {"stamp", 9}}})},
              {"more", false},
              {"ledger", 9}};
}

TEST(Leadership, LeadsOverBothLayoutsAndKeepsTheHigher) {
  for (const std::uint64_t layout : {constants::kRecordLayout, constants::kRecordLayoutWithGangs}) {
    Candidate candidate(3, 12);
    candidate.leadership->start(at(0));
    const auto campaign = candidate.answerUntil("/multi", listing(layout));
    ASSERT_TRUE(campaign);
    const Json& writes = campaign->body["apply"];
    ASSERT_EQ(writes.size(), 7U);  // the stored number of partitions, whatever the settings say now
    EXPECT_EQ(writes[1]["value"], (Json{{"term", 5}, {"parts", 5}, {"layout", layout}}));
    EXPECT_EQ(candidate.leadership->layoutRaised(), layout == constants::kRecordLayoutWithGangs);
  }
}

TEST(Leadership, RefusesToLeadOverALaterLayout) {
  Candidate candidate(3, 12);
  candidate.leadership->start(at(0));
  EXPECT_FALSE(candidate.answerUntil("/multi", listing(constants::kRecordLayoutWithGangs + 1)));
  EXPECT_EQ(candidate.refused, constants::kRecordLayoutWithGangs + 1);
}

// Regression: seven writes in one transaction were always refused where four are allowed.
TEST(Leadership, ClaimsPartitionsInFurtherTransactionsOfTheSameTerm) {
  Candidate candidate(5, 4);
  candidate.leadership->start(at(0));
  const auto campaign = candidate.answerUntil("/multi", listing(constants::kRecordLayout));
  ASSERT_TRUE(campaign);
  EXPECT_EQ(campaign->body["apply"].size(), 2U);
  candidate.calls.complete(campaign->number, wire::CallResult{200, true, Json{{"ledger", 20}}});
  EXPECT_FALSE(candidate.leadership->isLeading());
  auto part = candidate.answerUntil("/multi", {});
  ASSERT_TRUE(part);
  EXPECT_EQ(part->body["apply"].size(), 4U);
  EXPECT_EQ(part->body["if"], Json::array({Json{{"key", "leader-term"}, {"stamp", 20}}}));
  // Refused by the rate limit: the same transaction is sent again.
  candidate.calls.complete(part->number, wire::CallResult{429, true, Json::object()});
  part = candidate.answerUntil("/multi", {});
  ASSERT_TRUE(part);
  EXPECT_EQ(part->body["apply"].size(), 4U);
  candidate.calls.complete(part->number, wire::CallResult{200, true, Json{{"ledger", 21}}});
  EXPECT_FALSE(candidate.leadership->isLeading());
  part = candidate.answerUntil("/multi", {});
  ASSERT_TRUE(part);
  EXPECT_EQ(part->body["apply"].size(), 1U);
  candidate.calls.complete(part->number, wire::CallResult{200, true, Json{{"ledger", 22}}});
  EXPECT_TRUE(candidate.leadership->isLeading());
  EXPECT_EQ(candidate.revisions, (std::vector<std::uint64_t>{21, 21, 21, 21, 22}));
}

// The transaction may be carried out later and change the revisions that the leader's writes depend on.
TEST(Leadership, LostAnswerWhileClaimingPartitionsBeginsTheNextTerm) {
  Candidate candidate(5, 4);
  candidate.leadership->start(at(0));
  const auto campaign = candidate.answerUntil("/multi", listing(constants::kRecordLayout));
  ASSERT_TRUE(campaign);
  candidate.calls.complete(campaign->number, wire::CallResult{200, true, Json{{"ledger", 20}}});
  const auto part = candidate.answerUntil("/multi", {});
  ASSERT_TRUE(part);
  candidate.calls.complete(part->number, wire::CallResult{0, true, {}});
  const auto again = candidate.answerUntil("/multi", {});
  ASSERT_TRUE(again);
  EXPECT_EQ(again->body["apply"][1]["value"]["term"], 6);
  EXPECT_EQ(again->body["if"][1], (Json{{"key", "leader-term"}, {"stamp", 20}}));
}

}  // namespace
