// Rate limits, transactions and watches of the key-value store client.
#include <gtest/gtest.h>

#include "state/committer.hpp"
#include "state/feed.hpp"

namespace {

using namespace reachhoist;
using state::TokenBucket;
using wire::Json;

wire::Time at(double s) { return wire::Time{} + std::chrono::hours(1) + wire::seconds(s); }

TEST(TokenBucket, AllowsBurstsRefillsAndRepaysOverdrafts) {
  TokenBucket bucket(10, 10);
  EXPECT_TRUE(bucket.affords(at(0), 10));
  bucket.take(at(0), 10);
  EXPECT_FALSE(bucket.affords(at(0.05), 1));
  EXPECT_TRUE(bucket.affords(at(0.11), 1));
  // A cost above the burst size is affordable once the bucket is full. Later costs wait until the overdraft
  // is repaid.
  EXPECT_TRUE(bucket.affords(at(2), 25));
  bucket.take(at(2), 25);
  EXPECT_FALSE(bucket.affords(at(3), 1));
  EXPECT_TRUE(bucket.affords(at(3.7), 1));
}

// A client of the key-value store whose calls the test answers.
struct ClientHarness {
  config::Settings settings;
  wire::Calls calls;
  state::Client client{calls, settings};
  ClientHarness() { settings.endpoints.state = "state"; }
};

state::Transaction conditionalWrite() {
  return state::Transaction{{{"a", 3}}, {{"a", Json{{"x", 1}}, std::nullopt}}};
}

TEST(Committer, LostAnswerIsResolvedByReadBack) {
  ClientHarness harness;
  state::Committer committer(harness.client, "me-");
  std::optional<state::Outcome> outcome;
  committer.commit(at(0), state::Urgency::placement, conditionalWrite(),
                   [&](const auto& result) { outcome = result; });
  auto calls = harness.calls.drain();
  ASSERT_EQ(calls.size(), 1U);
  const Json written = calls[0].body["apply"][0]["value"];
  harness.calls.complete(calls[0].number, wire::CallResult{0, true, {}});
  EXPECT_FALSE(outcome);
  committer.tick(at(1));
  calls = harness.calls.drain();
  ASSERT_EQ(calls.size(), 1U);
  EXPECT_EQ(calls[0].path, "/multi");
  // The first attempt was applied, so its own write makes the precondition of the retry fail.
  harness.calls.complete(calls[0].number, wire::CallResult{409, true, Json{{"failed", Json::array({"a"})}}});
  EXPECT_FALSE(outcome);
  calls = harness.calls.drain();
  ASSERT_EQ(calls.size(), 1U);
  EXPECT_EQ(calls[0].path, "/keys/a");
  harness.calls.complete(calls[0].number,
                         wire::CallResult{200, true, Json{{"value", written}, {"stamp", 9}}});
  ASSERT_TRUE(outcome);
  EXPECT_EQ(outcome->verdict, state::Verdict::applied);
  EXPECT_EQ(outcome->revision, 9U);
}

TEST(Committer, ConflictWithoutALostAnswerIsRefusedAtOnce) {
  ClientHarness harness;
  state::Committer committer(harness.client, "me-");
  std::optional<state::Outcome> outcome;
  committer.commit(at(0), state::Urgency::placement, conditionalWrite(),
                   [&](const auto& result) { outcome = result; });
  harness.calls.complete(harness.calls.drain()[0].number,
                         wire::CallResult{409, true, Json{{"failed", Json::array({"a"})}}});
  ASSERT_TRUE(outcome);
  EXPECT_EQ(outcome->verdict, state::Verdict::refused);
  EXPECT_EQ(outcome->failedKeys, std::vector<std::string>{"a"});
}

TEST(Committer, ReadBackOfAnotherWritersValueMeansRefused) {
  ClientHarness harness;
  state::Committer committer(harness.client, "me-");
  std::optional<state::Outcome> outcome;
  committer.commit(at(0), state::Urgency::placement, conditionalWrite(),
                   [&](const auto& result) { outcome = result; });
  harness.calls.complete(harness.calls.drain()[0].number, wire::CallResult{0, true, {}});
  committer.tick(at(1));
  harness.calls.complete(harness.calls.drain()[0].number,
                         wire::CallResult{409, true, Json{{"failed", Json::array({"a"})}}});
  harness.calls.complete(harness.calls.drain()[0].number,
                         wire::CallResult{200, true, Json{{"value", {{"mark", "other-1"}}}, {"stamp", 9}}});
  ASSERT_TRUE(outcome);
  EXPECT_EQ(outcome->verdict, state::Verdict::refused);
}

TEST(Client, UrgentCallsOverdrawTheRateLimitAndOthersWait) {
  ClientHarness harness;
  harness.settings.siblings.push_back({"b", "z", "10.0.0.1:1"});
  harness.settings.stateLimits.writesPerS = 10;
  harness.client.setLeading(false);
  int sent = 0;
  for (int i = 0; i < 20; ++i)
    harness.client.transact(at(0), state::Urgency::completion, conditionalWrite(), [](const auto&) {});
  sent = static_cast<int>(harness.calls.drain().size());
  EXPECT_LE(sent, 2);
  harness.client.transact(at(0), state::Urgency::acceptance, conditionalWrite(), [](const auto&) {});
  EXPECT_EQ(harness.calls.drain().size(), 1U);
  bool expiredUnsent = false;
  harness.client.transact(at(0), state::Urgency::background, conditionalWrite(),
                          [&](const auto& result) { expiredUnsent = !result.sent; });
  harness.client.pump(at(10));
  EXPECT_TRUE(expiredUnsent);
}

// Regression: an answer over the size limit failed, and the next read requested the same changes, endlessly.
TEST(Feed, ListsItsKeysAgainWhenAWatchAnswerIsTooLarge) {
  ClientHarness harness;
  int entries = 0;
  state::Feed feed(harness.client, "jobs/", state::Urgency::placement, wire::Duration{},
                   {[&](const auto&, const Json*, std::uint64_t) { ++entries; }, nullptr, nullptr});
  const Json page{{"pairs", Json::array({Json{{"key", "jobs/a"}, {"value", Json::object()}, {"stamp", 2}}})},
                  {"more", false},
                  {"ledger", 5}};
  feed.start(at(0));
  auto calls = harness.calls.drain();
  ASSERT_EQ(calls.size(), 1U);
  harness.calls.complete(calls[0].number, wire::CallResult{200, true, page});
  EXPECT_EQ(entries, 1);
  harness.client.pump(at(1));
  calls = harness.calls.drain();
  ASSERT_EQ(calls.size(), 1U);
  ASSERT_TRUE(calls[0].path.starts_with("/changes"));
  wire::CallResult large;
  large.sent = large.responseTooLarge = true;
  harness.calls.complete(calls[0].number, large);
  harness.client.pump(at(2));
  calls = harness.calls.drain();
  ASSERT_EQ(calls.size(), 1U);
  EXPECT_TRUE(calls[0].path.starts_with("/keys?under=jobs/"));
  harness.calls.complete(calls[0].number, wire::CallResult{200, true, page});
  EXPECT_EQ(entries, 2);
  EXPECT_TRUE(feed.isReady());
}

Json page(const std::string& key, bool more) {
  return Json{{"pairs", Json::array({Json{{"key", key}, {"value", Json::object()}, {"stamp", 2}}})},
              {"more", more},
              {"ledger", 5}};
}

// Regression: leases were renewed after the first page of a listing although a later page held cancellations.
TEST(Feed, ListingConfirmsOnlyAfterItsLastPage) {
  ClientHarness harness;
  state::Feed feed(harness.client, "jobs/", state::Urgency::placement, wire::Duration{},
                   {[](const auto&, const Json*, std::uint64_t) {}, nullptr, nullptr});
  feed.start(at(3));
  auto calls = harness.calls.drain();
  ASSERT_EQ(calls.size(), 1U);
  feed.tick(at(4));
  harness.calls.complete(calls[0].number, wire::CallResult{200, true, page("jobs/a", true)});
  EXPECT_EQ(feed.confirmedAt(), wire::Time{});
  harness.client.pump(at(5));
  calls = harness.calls.drain();
  ASSERT_EQ(calls.size(), 1U);
  harness.calls.complete(calls[0].number, wire::CallResult{200, true, page("jobs/b", false)});
  // The listing can lack changes that were made after its first page was requested.
  EXPECT_EQ(feed.confirmedAt(), at(3));
}

// A read that was in flight when a new listing began is older than that listing. Its changes are ignored, so
// it must not confirm the view.
TEST(Feed, ReadSentBeforeANewListingConfirmsNothing) {
  ClientHarness harness;
  state::Feed feed(harness.client, "jobs/", state::Urgency::placement, wire::Duration{},
                   {[](const auto&, const Json*, std::uint64_t) {}, nullptr, nullptr});
  feed.start(at(0));
  harness.calls.complete(harness.calls.drain()[0].number, wire::CallResult{200, true, page("jobs/a", false)});
  harness.client.pump(at(1));
  auto watch = harness.calls.drain();
  ASSERT_EQ(watch.size(), 1U);
  std::optional<bool> confirmed;
  feed.confirm(at(1), [&](bool ok) { confirmed = ok; });
  auto confirmingRead = harness.calls.drain();
  ASSERT_EQ(confirmingRead.size(), 1U);
  harness.calls.complete(watch[0].number, wire::CallResult{410, true, Json::object()});
  harness.client.pump(at(2));
  harness.calls.complete(confirmingRead[0].number,
                         wire::CallResult{200, true, Json{{"ledger", 4}, {"news", Json::array()}}});
  ASSERT_TRUE(confirmed);
  EXPECT_FALSE(*confirmed);
  EXPECT_EQ(feed.confirmedAt(), at(0));
}

}  // namespace
