// The numbers that a leader gives to attempts.
#include <gtest/gtest.h>

#include "leader_state_fixture.hpp"

namespace {

using namespace reachhoist;

class LeaderStateTest : public testing::Test, protected LeaderStateFixture {};

// Guards against attempts of two terms with the same number.
TEST_F(LeaderStateTest, AttemptNumbersOfATermNeverReachTheNextTerm) {
  const std::uint64_t nextTerm = cluster::fencingToken(kTerm + 1, 0);
  std::uint64_t last = cluster::fencingToken(kTerm, 0);
  while (const auto number = state.takeAttemptNumber()) {
    ASSERT_GT(*number, last);
    ASSERT_LT(*number, nextTerm);
    last = *number;
  }
  EXPECT_EQ(last + 1, nextTerm);
  EXPECT_TRUE(state.hasResigned());
}

}  // namespace
