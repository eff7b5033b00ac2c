// Failure attribution: widespread failures and the retry backoff of a job at fault.
#include <gtest/gtest.h>

#include "config/constants.hpp"
#include "jobs/failures.hpp"

namespace {

using namespace reachhoist;
using jobs::FailureAttribution;
using wire::seconds;

const wire::Time kNow = wire::Time{} + std::chrono::hours(1);

TEST(FailureAttribution, FailuresOnThreeMachinesAreWidespreadAndTheLongestRunIsRecorded) {
  FailureAttribution failures;
  failures.recordFailure("vm-1", seconds(2));
  failures.recordFailure("vm-1", seconds(5));
  failures.recordFailure("vm-2", seconds(1));
  EXPECT_FALSE(failures.isWidespread());
  EXPECT_TRUE(failures.hasFailedOn("vm-2"));
  EXPECT_FALSE(failures.hasFailedOn("vm-3"));
  failures.recordFailure("vm-3", seconds(0));
  EXPECT_TRUE(failures.isWidespread());
  EXPECT_EQ(failures.longestRun(), seconds(5));
}

TEST(FailureAttribution, BackoffGrowsToALimitAndFailuresOfOneRetryCountOnce) {
  FailureAttribution failures;
  EXPECT_FALSE(failures.isJobAtFault());
  failures.attributeToJob(kNow);
  failures.attributeToJob(kNow + seconds(1));  // another task of the same retry, not counted again
  EXPECT_TRUE(failures.isJobAtFault());
  EXPECT_EQ(failures.backoffUntil(), kNow + constants::kJobErrorBackoff);
  wire::Time now = failures.backoffUntil();
  failures.attributeToJob(now);
  EXPECT_EQ(failures.backoffUntil(), now + 2 * constants::kJobErrorBackoff);
  for (int i = 0; i < 20; ++i) {
    now = failures.backoffUntil();
    failures.attributeToJob(now);
  }
  EXPECT_EQ(failures.backoffUntil(), now + constants::kMaxJobErrorBackoff);
}

TEST(FailureAttribution, ResetClearsAllFailures) {
  FailureAttribution failures;
  for (int i = 0; i < 3; ++i) failures.recordFailure("vm-" + std::to_string(i), seconds(1));
  failures.attributeToJob(kNow);
  failures.reset();
  EXPECT_FALSE(failures.isJobAtFault());
  EXPECT_FALSE(failures.isWidespread());
  EXPECT_FALSE(failures.hasFailedOn("vm-0"));
}

TEST(FailureAttribution, RecordsABoundedNumberOfFailedMachines) {
  FailureAttribution failures;
  for (int i = 0; i < 5000; ++i) failures.recordFailure("vm-" + std::to_string(i), seconds(1));
  EXPECT_EQ(failures.failedMachineCount(), constants::kMaxFailureHosts);
}

}  // namespace
