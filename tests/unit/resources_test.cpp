// How many tasks fit into the capacity of a machine.
#include <gtest/gtest.h>

#include <limits>

#include "wire/types.hpp"

namespace {

using reachhoist::wire::Resources;

constexpr std::uint32_t kMaxCount = 100'000;

TEST(Resources, TheScarcestResourceLimitsTheCount) {
  const Resources machine{16, 4, 64};
  EXPECT_EQ((Resources{2, 0, 1}).countFittingIn(machine, kMaxCount), 8U);
  EXPECT_EQ((Resources{2, 1, 1}).countFittingIn(machine, kMaxCount), 4U);
  EXPECT_EQ((Resources{2, 1, 30}).countFittingIn(machine, kMaxCount), 2U);
  EXPECT_EQ((Resources{2, 0, 1}).countFittingIn(machine, 3), 3U);
  EXPECT_EQ((Resources{2, 0, 1}).countFittingIn(machine, 0), 0U);
  EXPECT_EQ((Resources{17, 0, 1}).countFittingIn(machine, kMaxCount), 0U);
}

// Guards against two answers to whether a task fits: a task slightly larger than a machine type seemed to fit
// to the scale-out and not to the packing.
TEST(Resources, CountIsZeroExactlyIfOneTaskDoesNotFit) {
  for (const double capacityGb : {0.001, 1.0, 32.0, 128.0, 4096.0}) {
    for (const double excessGb : {-1e-5, 0.0, 5e-7, 2e-6, 2e-5, 1e-4}) {
      const Resources task{0, 0, capacityGb + excessGb};
      const Resources machine{8, 0, capacityGb};
      EXPECT_EQ(task.countFittingIn(machine, kMaxCount) > 0, task.fitsIn(machine))
          << capacityGb << " GB, " << excessGb << " GB more";
    }
  }
}

TEST(Resources, CountedTasksLeaveNoCapacityForAnother) {
  for (const double cpus : {0.1, 0.3, 1.0 / 3, 0.7, 2.9, 1e-6, 1e-7}) {
    const Resources task{cpus, 0, 0};
    Resources free{8, 0, 0};
    const std::uint32_t count = task.countFittingIn(free, std::numeric_limits<std::uint32_t>::max());
    free -= task * count;
    EXPECT_EQ(task.countFittingIn(free, kMaxCount), 0U) << cpus;
  }
}

// Guards against a count without end for tasks whose subtraction changes no capacity.
TEST(Resources, TasksWithoutSizeAreCountedUpToTheLimit) {
  const Resources machine{8, 0, 32};
  EXPECT_EQ((Resources{0, 0, 0}).countFittingIn(machine, kMaxCount), kMaxCount);
  EXPECT_EQ((Resources{1e-300, 0, 0}).countFittingIn(machine, kMaxCount), kMaxCount);
  EXPECT_EQ((Resources{0, 0, 0}).countFittingIn({0, 0, 0}, kMaxCount), kMaxCount);
  EXPECT_EQ((Resources{0, 0, 0}).countFittingIn({-1, 0, 0}, kMaxCount), 0U);
  const double infinity = std::numeric_limits<double>::infinity();
  EXPECT_EQ((Resources{infinity, 0, 0}).countFittingIn(machine, kMaxCount), 0U);
  EXPECT_EQ((Resources{1, 0, 0}).countFittingIn({infinity, 0, 0}, kMaxCount), kMaxCount);
}

}  // namespace
