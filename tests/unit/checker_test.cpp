// Each rule of the checker reports a trace that deliberately breaks it.
#include "standin/checker.hpp"

#include <gtest/gtest.h>

namespace {

using standin::Checker;
using standin::MachineInfo;
namespace wire = reachhoist::wire;

wire::JobSpec spec(const std::string& ref, std::uint32_t taskCount = 4) {
  wire::JobSpec out;
  out.ref.text = ref;
  out.team = std::string("t");
  out.taskCount = taskCount;
  out.taskResources.vcpus = 2;
  out.allowsSpot = false;
  return out;
}

wire::TaskId task(const std::string& ref, std::uint32_t index) {
  return wire::TaskId{wire::JobRef{ref}, index};
}

MachineInfo place(const std::string& host, const std::string& zone = "a") {
  return MachineInfo{host, "small", zone, false};
}

// A checker that knows one accepted job, job-1.
class CheckerTest : public testing::Test {
 protected:
  CheckerTest() : checker(42) { submitAccepted(spec("job-1")); }
  void submitAccepted(const wire::JobSpec& job) {
    checker.onSubmitted(0, job);
    checker.onSubmissionAnswered(1, job.ref.text, 201, "pending");
  }
  // A user asks to cancel job-1 and is told at that time that it is cancelled.
  void confirmCancellation(double atS) {
    checker.onCancellationRequested("job-1");
    checker.onCancellationAnswered(atS, "job-1", 200, "cancelled");
  }
  // The rule holds at the first time and is broken at the second.
  void expectBrokenBetween(double goodS, double brokenS, const std::string& rule) {
    checker.tick(goodS);
    EXPECT_TRUE(checker.violations().empty());
    checker.tick(brokenS);
    expectBroken(rule);
  }
  void expectBroken(const std::string& rule) {
    ASSERT_FALSE(checker.violations().empty());
    EXPECT_TRUE(checker.violations().front().starts_with(rule)) << checker.violations().front();
  }
  Checker checker;
};

TEST_F(CheckerTest, ValidTraceBreaksNoRule) {
  for (std::uint32_t i = 0; i < 4; ++i) {
    checker.onTaskStarted(2, task("job-1", i), place("vm-1"));
    checker.onTaskEnded(5, task("job-1", i), "vm-1", true);
  }
  checker.onPollAnswered(6, "job-1", 200, "done");
  checker.finish();
  EXPECT_TRUE(checker.violations().empty());
}

TEST_F(CheckerTest, RanTwice) {
  checker.onTaskStarted(2, task("job-1", 0), place("vm-1"));
  checker.onTaskStarted(3, task("job-1", 0), place("vm-2"));
  expectBroken("ran_twice");
}

TEST_F(CheckerTest, Quota) {
  checker.setTeamQuota("t", 4);
  for (std::uint32_t i = 0; i < 3; ++i) checker.onTaskStarted(2, task("job-1", i), place("vm-1"));
  expectBroken("quota");
}

TEST_F(CheckerTest, WrongPlaceByKindTypeAndZone) {
  MachineInfo spot = place("vm-1");
  spot.spot = true;
  checker.onTaskStarted(2, task("job-1", 0), spot);
  expectBroken("wrong_place");
}

TEST_F(CheckerTest, WrongPlaceByOneZone) {
  wire::JobSpec job = spec("job-2");
  job.singleZone = true;
  checker.onSubmitted(0, job);
  checker.onTaskStarted(2, task("job-2", 0), place("vm-1", "a"));
  checker.onTaskStarted(2, task("job-2", 1), place("vm-2", "b"));
  expectBroken("wrong_place");
}

TEST_F(CheckerTest, WrongPlaceByApart) {
  wire::JobSpec job = spec("job-2", 5);
  job.spreadZones = true;
  checker.onSubmitted(0, job);
  for (std::uint32_t i = 0; i < 3; ++i) checker.onTaskStarted(2, task("job-2", i), place("vm-1"));
  EXPECT_TRUE(checker.violations().empty());
  checker.onTaskStarted(2, task("job-2", 3), place("vm-1"));
  expectBroken("wrong_place");
}

TEST_F(CheckerTest, RanCancelled) {
  checker.onTaskStarted(2, task("job-1", 0), place("vm-1"));
  confirmCancellation(3);
  expectBrokenBetween(44, 45.5, "ran_cancelled");
}

TEST_F(CheckerTest, ForgottenBy404) {
  checker.onPollAnswered(3, "job-1", 404, "");
  expectBroken("forgotten");
}

TEST_F(CheckerTest, ForgottenByRefusedRetry) {
  checker.onSubmissionAnswered(3, "job-1", 422, "");
  expectBroken("forgotten");
}

TEST_F(CheckerTest, ForgottenByFailingPolls) {
  submitAccepted(spec("job-2"));
  checker.onPollAnswered(95, "job-2", 200, "pending");
  checker.onPollAnswered(96, "job-1", 503, "");
  expectBroken("forgotten");
}

TEST_F(CheckerTest, Invented) {
  checker.onPollAnswered(3, "job-7", 200, "pending");
  expectBroken("invented");
}

TEST_F(CheckerTest, NotDone) {
  checker.onPollAnswered(3, "job-1", 200, "done");
  expectBroken("not_done");
}

TEST_F(CheckerTest, WentBack) {
  confirmCancellation(3);
  checker.onPollAnswered(4, "job-1", 200, "running");
  expectBroken("went_back");
}

TEST_F(CheckerTest, CancelledWithoutARequest) {
  checker.onPollAnswered(4, "job-1", 200, "cancelled");
  expectBroken("went_back");
}

TEST_F(CheckerTest, NothingRan) {
  checker.finish();
  expectBroken("nothing_ran");
}

TEST_F(CheckerTest, JobWithoutAnyAnswerAfterFaultsEndIsForgotten) {
  checker.onFaultsEnded(100);
  checker.onPollAnswered(120, "job-1", 200, "pending");
  // whatever happens to other jobs: no other poll was answered either
  expectBrokenBetween(194, 196, "forgotten");
}

TEST_F(CheckerTest, UnservedJobsAreListedByClassTeamAndLargest) {
  auto large = spec("job-2", 100);
  large.jobClass = "arrays";
  submitAccepted(large);
  checker.onTaskStarted(5, task("job-1", 0), place("m"));
  EXPECT_EQ(checker.starvedGroups(), (std::vector<std::string>{"class arrays served too little",
                                                               "largest of arrays served too little"}));
  checker.onTaskStarted(241, task("job-2", 0), place("m"));
  EXPECT_EQ(checker.starvedGroups(), std::vector<std::string>{"largest of arrays served too little"});
}

TEST_F(CheckerTest, StartsAfterConfirmedCancellationAreCounted) {
  checker.onTaskStarted(2, task("job-1", 0), place("vm-1"));
  confirmCancellation(3);
  EXPECT_EQ(checker.startsAfterCancel(), 0U);
  checker.onTaskStarted(4, task("job-1", 1), place("vm-1"));
  EXPECT_EQ(checker.startsAfterCancel(), 1U);
}

TEST_F(CheckerTest, CancelledTaskStillRunsAfterItsMachineHung) {
  checker.onTaskStarted(2, task("job-1", 0), place("vm-1"));
  confirmCancellation(10);
  // The machine hangs and resumes: no status of the task arrives, and it still runs.
  expectBrokenBetween(51, 53, "ran_cancelled");
}

TEST_F(CheckerTest, InvalidSubmissionIsAccepted) {
  checker.expectInvalid("job-9");
  checker.onInvalidSubmissionAnswered(2, "job-9", 422);
  checker.onInvalidSubmissionAnswered(3, "job-9", 503);
  EXPECT_TRUE(checker.violations().empty());
  checker.onInvalidSubmissionAnswered(4, "job-9", 201);
  expectBroken("accepted_unfit");
}

TEST_F(CheckerTest, NoAnswerAboutAJobAfterFaultsEnd) {
  checker.onFaultsEnded(10);
  expectBrokenBetween(84, 86, "forgotten");
}

TEST_F(CheckerTest, LeftWaitingDespiteFreeCapacity) {
  checker.reportRunnable(5, "job-1", true);  // nothing counts before all faults have ended
  checker.onFaultsEnded(10);
  checker.reportRunnable(10, "job-1", true);
  checker.reportRunnable(60, "job-1", false);
  checker.reportRunnable(61, "job-1", true);
  checker.reportRunnable(150, "job-1", true);
  EXPECT_TRUE(checker.violations().empty());
  checker.reportRunnable(152, "job-1", true);
  expectBroken("left_waiting");
}

}  // namespace
