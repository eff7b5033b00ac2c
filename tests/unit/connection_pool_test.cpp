// Limits of the pool of idle connections.
#include "net/connection_pool.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace {

using namespace std::chrono_literals;
using Pool = reachhoist::net::ConnectionPool<std::unique_ptr<int>>;

Pool::Time at(std::chrono::seconds s) { return Pool::Time{} + 1h + s; }

// Regression: idle connections to about 1,900 workers, one each, used up all sockets of a controller.
TEST(ConnectionPool, EvictsLongestIdleConnectionsToStayWithinTheSocketLimit) {
  Pool pool(100, 4, 30s);
  for (int i = 0; i < 1900; ++i) {
    pool.put("10.1.0." + std::to_string(i) + ":9000", std::make_unique<int>(i), 10, at(0s));
    EXPECT_LE(pool.size() + 10, 100U);
  }
  EXPECT_EQ(pool.take("10.1.0.0:9000", at(1s)), nullptr);
  const auto newest = pool.take("10.1.0.1899:9000", at(1s));
  ASSERT_NE(newest, nullptr);
  EXPECT_EQ(*newest, 1899);
  pool.evictFor(60);
  EXPECT_EQ(pool.size(), 40U);
  EXPECT_NE(pool.take("10.1.0.1898:9000", at(1s)), nullptr);
}

TEST(ConnectionPool, LimitsConnectionsPerEndpointAndIdleTime) {
  Pool pool(100, 2, 30s);
  for (int i = 0; i < 5; ++i) pool.put("state", std::make_unique<int>(i), 0, at(std::chrono::seconds(i)));
  EXPECT_EQ(pool.size(), 2U);
  EXPECT_EQ(*pool.take("state", at(5s)), 4);
  EXPECT_EQ(pool.take("state", at(60s)), nullptr);
  EXPECT_EQ(pool.size(), 0U);
}

}  // namespace
