#include "net/kept.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace {

using namespace std::chrono_literals;
using Kept = reachhoist::net::KeptConnections<std::unique_ptr<int>>;

Kept::Time at(std::chrono::seconds s) { return Kept::Time{} + 1h + s; }

// One idle connection to each of some 1,900 workers filled all sockets of a controller.
TEST(KeptConnections, StayWithinTheirShareLongestIdleFirstOut) {
  Kept kept(100, 4, 30s);
  for (int i = 0; i < 1900; ++i) {
    kept.keep("10.1.0." + std::to_string(i) + ":9000", std::make_unique<int>(i), 10, at(0s));
    EXPECT_LE(kept.size() + 10, 100U);
  }
  EXPECT_EQ(kept.take("10.1.0.0:9000", at(1s)), nullptr);
  const auto last = kept.take("10.1.0.1899:9000", at(1s));
  ASSERT_NE(last, nullptr);
  EXPECT_EQ(*last, 1899);
  kept.makeRoom(60);
  EXPECT_EQ(kept.size(), 40U);
  EXPECT_NE(kept.take("10.1.0.1898:9000", at(1s)), nullptr);
}

TEST(KeptConnections, FewForEachAddressAndNoneThatWasIdleForLong) {
  Kept kept(100, 2, 30s);
  for (int i = 0; i < 5; ++i) kept.keep("state", std::make_unique<int>(i), 0, at(std::chrono::seconds(i)));
  EXPECT_EQ(kept.size(), 2U);
  EXPECT_EQ(*kept.take("state", at(5s)), 4);
  EXPECT_EQ(kept.take("state", at(60s)), nullptr);
  EXPECT_EQ(kept.size(), 0U);
}

}  // namespace
