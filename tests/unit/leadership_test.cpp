// Elections: the record layouts that a leader accepts, and the claim of partitions that do not fit into one
// transaction.
#include "cluster/leadership.hpp"

#include <gtest/gtest.h>

namespace {

using namespace reachhoist;
using wire::Json;

wire::Time at(double s) { return wire::Time{} + std::chrono::hours(1) + wire::seconds(s); }

// A controller in an election. The test answers its calls to the key-value store.
struct Candidate {
  config::Settings settings;
  wire::Calls calls;
  state::Client client{calls, settings};
  std::optional<std::uint64_t> unsupportedLayout;
  std::vector<std::uint64_t> partitionRevisions;
  std::unique_ptr<cluster::Leadership> leadership;

  Candidate(unsigned partitions, unsigned opsPerTransaction) {
    settings.label = "hoist-0";
    settings.initialPartitions = partitions;
    settings.stateLimits.opsPerTransaction = opsPerTransaction;
    leadership = std::make_unique<cluster::Leadership>(
        client, settings, 1,
        cluster::Leadership::Handlers{
            [this](std::uint64_t, const auto& revisions) { partitionRevisions = revisions; },
            [](const char*) {}, [this](std::uint64_t layout) { unsupportedLayout = layout; }});
  }
  // Answers listings and lease requests until a call to `path` is sent, and returns that call unanswered.
  std::optional<wire::Call> answerUntil(const std::string& path, const Json& listing) {
    for (int step = 0; step < 60; ++step) {
      nowS += 0.1;
      leadership->tick(at(nowS));
      client.pump(at(nowS));
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
  double nowS = 0;
};

Json electionListing(std::uint64_t layout) {
  return Json{{"pairs", Json::array({Json{{"key", "leader-term"},
                                          {"value", {{"term", 4}, {"parts", 5}, {"layout", layout}}},
                                          {"stamp", 9}}})},
              {"more", false},
              {"ledger", 9}};
}

TEST(Leadership, AcceptsBothRecordLayoutsAndKeepsTheStoredOne) {
  for (const std::uint64_t layout : {constants::kRecordLayout, constants::kRecordLayoutWithGangs}) {
    Candidate candidate(3, 12);
    candidate.leadership->start(at(0));
    const auto campaign = candidate.answerUntil("/multi", electionListing(layout));
    ASSERT_TRUE(campaign);
    const Json& writes = campaign->body["apply"];
    ASSERT_EQ(writes.size(), 7U);  // the stored number of partitions overrides the one in the settings
    EXPECT_EQ(writes[1]["value"], (Json{{"term", 5}, {"parts", 5}, {"layout", layout}}));
    EXPECT_EQ(candidate.leadership->layoutRaised(), layout == constants::kRecordLayoutWithGangs);
  }
}

TEST(Leadership, RefusesLeadershipOverALaterRecordLayout) {
  Candidate candidate(3, 12);
  candidate.leadership->start(at(0));
  EXPECT_FALSE(candidate.answerUntil("/multi", electionListing(constants::kRecordLayoutWithGangs + 1)));
  EXPECT_EQ(candidate.unsupportedLayout, constants::kRecordLayoutWithGangs + 1);
}

// Regression: an election wrote seven keys in one transaction, which a store that allows four always refused.
TEST(Leadership, ClaimsPartitionsInSeveralTransactionsOfOneTerm) {
  Candidate candidate(5, 4);
  candidate.leadership->start(at(0));
  const auto campaign = candidate.answerUntil("/multi", electionListing(constants::kRecordLayout));
  ASSERT_TRUE(campaign);
  EXPECT_EQ(campaign->body["apply"].size(), 2U);
  candidate.calls.complete(campaign->number, wire::CallResult{200, true, Json{{"ledger", 20}}});
  EXPECT_FALSE(candidate.leadership->isLeading());
  auto claim = candidate.answerUntil("/multi", {});
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->body["apply"].size(), 4U);
  EXPECT_EQ(claim->body["if"], Json::array({Json{{"key", "leader-term"}, {"stamp", 20}}}));
  // The store refuses the transaction by its rate limit, so the leader sends the same one again.
  candidate.calls.complete(claim->number, wire::CallResult{429, true, Json::object()});
  claim = candidate.answerUntil("/multi", {});
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->body["apply"].size(), 4U);
  candidate.calls.complete(claim->number, wire::CallResult{200, true, Json{{"ledger", 21}}});
  EXPECT_FALSE(candidate.leadership->isLeading());
  claim = candidate.answerUntil("/multi", {});
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->body["apply"].size(), 1U);
  candidate.calls.complete(claim->number, wire::CallResult{200, true, Json{{"ledger", 22}}});
  EXPECT_TRUE(candidate.leadership->isLeading());
  EXPECT_EQ(candidate.partitionRevisions, (std::vector<std::uint64_t>{21, 21, 21, 21, 22}));
}

// A transaction whose answer was lost can still be applied later. It would change the revisions that the
// leader's writes depend on.
TEST(Leadership, LostAnswerToAPartitionClaimStartsTheNextTerm) {
  Candidate candidate(5, 4);
  candidate.leadership->start(at(0));
  const auto campaign = candidate.answerUntil("/multi", electionListing(constants::kRecordLayout));
  ASSERT_TRUE(campaign);
  candidate.calls.complete(campaign->number, wire::CallResult{200, true, Json{{"ledger", 20}}});
  const auto claim = candidate.answerUntil("/multi", {});
  ASSERT_TRUE(claim);
  candidate.calls.complete(claim->number, wire::CallResult{0, true, {}});
  const auto nextCampaign = candidate.answerUntil("/multi", {});
  ASSERT_TRUE(nextCampaign);
  EXPECT_EQ(nextCampaign->body["apply"][1]["value"]["term"], 6);
  EXPECT_EQ(nextCampaign->body["if"][1], (Json{{"key", "leader-term"}, {"stamp", 20}}));
}

}  // namespace
