#include <gtest/gtest.h>

#include "fleet/sizing.hpp"

namespace {

using namespace reachhoist;

TEST(Units, AnEighthOfThePoolAtLeastOne) {
  EXPECT_EQ(fleet::unitOf(1, 8), 1);
  EXPECT_EQ(fleet::unitOf(15, 8), 1);
  EXPECT_EQ(fleet::unitOf(16, 8), 2);
  EXPECT_EQ(fleet::unitOf(80, 8), 10);
}

}  // namespace
