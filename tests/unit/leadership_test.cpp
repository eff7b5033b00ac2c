// Elections: the record layouts that a leader accepts, the claim of partitions that do not fit into one
// transaction, and the term of the next election.
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
      std::optional<wire::Call> found;
      for (wire::Call& call : calls.drain()) {
        if (!found && call.path == path) {
          found = std::move(call);
        } else if (call.path.starts_with("/keys?")) {
          calls.complete(call.number, wire::CallResult{200, true, listing});
        } else if (call.path == "/leases") {
          calls.complete(call.number, wire::CallResult{200, true, Json{{"permit", 7}}});
        } else if (call.path.ends_with("&blockMs=" + std::to_string(constants::kWatchPollTimeout.count()))) {
          openWatch = call.number;
        }
      }
      if (found) return found;
    }
    return std::nullopt;
  }
  // Answers the open watch of the leader keys.
  void deliverChanges(const Json& events, std::uint64_t revision) {
    for (int step = 0; step < 10 && openWatch == 0; ++step) answerUntil("/none", {});
    ASSERT_NE(openWatch, 0U);
    calls.complete(std::exchange(openWatch, 0),
                   wire::CallResult{200, true, Json{{"ledger", revision}, {"news", events}}});
  }
  // Another controller is elected and later loses its lease, and the watch delivers both changes.
  void deliverElectionAndEndOfAnother(std::uint64_t term, std::uint64_t revision) {
    deliverChanges(electionOf("hoist-1", term, revision), revision);
    deliverChanges(Json::array({Json{{"delete", "leader"}, {"stamp", revision + 5}}}), revision + 5);
  }
  static Json electionOf(const std::string& label, std::uint64_t term, std::uint64_t revision) {
    const Json leader{{"label", label}, {"term", term}};
    const Json record{{"term", term}, {"parts", 5}, {"layout", constants::kRecordLayout}};
    return Json::array({Json{{"write", "leader"}, {"value", leader}, {"stamp", revision}},
                        Json{{"write", "leader-term"}, {"value", record}, {"stamp", revision}}});
  }
  double nowS = 0;
  std::uint64_t openWatch = 0;  // number of the open watch's call; 0 if there is none
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

// Regression: a controller that the watch deposed was elected again under its successor's term, so the late
// commands of one leader were valid beside those of the other. `opsPerTransaction` decides whether it leads
// or still acquires partitions when the successor's record arrives.
class DeposedByTheWatch : public testing::TestWithParam<unsigned> {
 protected:
  void elect() {
    candidate.leadership->start(at(0));
    const auto campaign = candidate.answerUntil("/multi", electionListing(constants::kRecordLayout));
    ASSERT_TRUE(campaign);
    EXPECT_EQ(campaign->body["apply"][1]["value"]["term"], 5);
    candidate.calls.complete(campaign->number, wire::CallResult{200, true, Json{{"ledger", 20}}});
    EXPECT_EQ(candidate.leadership->term(), 5U);
  }
  void expectNextCampaign(std::uint64_t term, std::uint64_t termRevision) {
    const auto campaign = candidate.answerUntil("/multi", {});
    ASSERT_TRUE(campaign);
    EXPECT_EQ(campaign->body["apply"][0]["value"], (Json{{"label", "hoist-0"}, {"term", term}}));
    EXPECT_EQ(campaign->body["apply"][1]["value"]["term"], term);
    EXPECT_EQ(campaign->body["if"][1], (Json{{"key", "leader-term"}, {"stamp", termRevision}}));
  }
  Candidate candidate{5, GetParam()};
};

TEST_P(DeposedByTheWatch, CampaignsAboveTheTermOfItsSuccessor) {
  ASSERT_NO_FATAL_FAILURE(elect());
  candidate.deliverElectionAndEndOfAnother(6, 26);
  EXPECT_FALSE(candidate.leadership->isLeading());
  EXPECT_EQ(candidate.leadership->term(), 6U);
  expectNextCampaign(7, 26);
}

// Here the term would even have gone down.
TEST_P(DeposedByTheWatch, CampaignsAboveTheTermsOfSeveralSuccessors) {
  ASSERT_NO_FATAL_FAILURE(elect());
  Json events = Candidate::electionOf("hoist-1", 6, 26);
  for (const Json& event : Candidate::electionOf("hoist-2", 8, 30)) events.push_back(event);
  candidate.deliverChanges(events, 30);
  candidate.deliverChanges(Json::array({Json{{"delete", "leader"}, {"stamp", 35}}}), 35);
  expectNextCampaign(9, 30);
}

// Every controller that accepts a gang raises the layout, which is in the same record as the term.
TEST_P(DeposedByTheWatch, RaisesTheLayoutWithoutLoweringTheStoredTerm) {
  ASSERT_NO_FATAL_FAILURE(elect());
  candidate.deliverElectionAndEndOfAnother(6, 26);
  const auto raising = candidate.leadership->layoutRaisingWrite();
  ASSERT_TRUE(raising);
  EXPECT_EQ(raising->condition.revision, 26U);
  EXPECT_EQ((*raising->write.value)["term"], 6);
  EXPECT_EQ((*raising->write.value)["layout"], constants::kRecordLayoutWithGangs);
}

// Regression: the answer to a campaign can arrive after the watch has shown what became of that election. It
// replaced the newer records, so that every later campaign failed on their revisions, and a controller
// without siblings never led again.
class LateCampaignAnswer : public testing::Test {
 protected:
  void SetUp() override {
    candidate.leadership->start(at(0));
    campaign = candidate.answerUntil("/multi", electionListing(constants::kRecordLayout));
    ASSERT_TRUE(campaign);
  }
  void deliverOwnElection() { candidate.deliverChanges(Candidate::electionOf("hoist-0", 5, 20), 20); }
  void answerCampaign() {
    candidate.calls.complete(campaign->number, wire::CallResult{200, true, Json{{"ledger", 20}}});
  }
  void expectNextCampaign(std::uint64_t term, std::uint64_t leaderRevision, std::uint64_t termRevision) {
    const auto next = candidate.answerUntil("/multi", {});
    ASSERT_TRUE(next);
    EXPECT_EQ(next->body["apply"][1]["value"]["term"], term);
    EXPECT_EQ(next->body["if"][0], (Json{{"key", "leader"}, {"stamp", leaderRevision}}));
    EXPECT_EQ(next->body["if"][1], (Json{{"key", "leader-term"}, {"stamp", termRevision}}));
  }
  Candidate candidate{5, 12};
  std::optional<wire::Call> campaign;
};

TEST_F(LateCampaignAnswer, DoesNotBringBackALostLeadership) {
  deliverOwnElection();
  candidate.deliverChanges(Json::array({Json{{"delete", "leader"}, {"stamp", 24}}}), 24);
  answerCampaign();
  EXPECT_FALSE(candidate.leadership->isLeading());
  expectNextCampaign(6, 0, 20);
}

TEST_F(LateCampaignAnswer, DoesNotHideASuccessor) {
  deliverOwnElection();
  candidate.deliverChanges(Candidate::electionOf("hoist-1", 6, 26), 26);
  answerCampaign();
  EXPECT_FALSE(candidate.leadership->isLeading());
  EXPECT_EQ(candidate.leadership->leader(), "hoist-1");
  EXPECT_FALSE(candidate.answerUntil("/multi", {}));
  candidate.deliverChanges(Json::array({Json{{"delete", "leader"}, {"stamp", 31}}}), 31);
  expectNextCampaign(7, 0, 26);
}

// Another controller raises the layout, which is in the record of the term.
TEST_F(LateCampaignAnswer, DoesNotHideALaterVersionOfTheTermRecord) {
  deliverOwnElection();
  const Json raised{{"term", 5}, {"parts", 5}, {"layout", constants::kRecordLayoutWithGangs}};
  candidate.deliverChanges(Json::array({Json{{"write", "leader-term"}, {"value", raised}, {"stamp", 22}}}),
                           22);
  answerCampaign();
  EXPECT_TRUE(candidate.leadership->isLeading());
  const auto renewal = candidate.answerUntil("/leases/7/touch", {});
  ASSERT_TRUE(renewal);
  candidate.calls.complete(renewal->number, wire::CallResult{404, true, Json::object()});
  EXPECT_FALSE(candidate.leadership->isLeading());
  candidate.deliverChanges(Json::array({Json{{"delete", "leader"}, {"stamp", 24}}}), 24);
  expectNextCampaign(6, 0, 22);
}

// The listing is later than the election and shows that there is no leader any more.
TEST_F(LateCampaignAnswer, DoesNotOutweighALaterListing) {
  deliverOwnElection();
  candidate.answerUntil("/none", {});
  candidate.calls.complete(std::exchange(candidate.openWatch, 0),
                           wire::CallResult{410, true, Json::object()});
  Json listing = electionListing(constants::kRecordLayout);
  listing["pairs"][0]["value"]["term"] = 5;
  listing["pairs"][0]["stamp"] = 20;
  listing["ledger"] = 30;
  candidate.answerUntil("/none", listing);
  answerCampaign();
  EXPECT_FALSE(candidate.leadership->isLeading());
  expectNextCampaign(6, 0, 20);
}

// An earlier version could write a lower term, when it raised the layout.
TEST_P(DeposedByTheWatch, CampaignsAboveTheHighestTermOfTheRecord) {
  ASSERT_NO_FATAL_FAILURE(elect());
  candidate.deliverChanges(Candidate::electionOf("hoist-1", 6, 26), 26);
  candidate.deliverElectionAndEndOfAnother(5, 30);
  expectNextCampaign(7, 30);
}

INSTANTIATE_TEST_SUITE_P(Leadership, DeposedByTheWatch, testing::Values(4U, 12U));

}  // namespace
