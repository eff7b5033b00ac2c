// Traces that each break one rule on purpose. The checker must report the violation under that rule.
#include "standin/checker.hpp"

#include <gtest/gtest.h>

namespace {

using standin::Checker;
using standin::MachineInfo;
namespace wire = reachhoist::wire;

wire::JobSpec spec(const std::string& ref, std::uint32_t taskCount = 4) {
  wire::JobSpec job;
  job.ref.text = ref;
  job.team = std::string("t");
  job.taskCount = taskCount;
  job.taskResources.vcpus = 2;
  job.allowsSpot = false;
  return job;
}

wire::TaskId task(const std::string& ref, std::uint32_t index) {
  return wire::TaskId{wire::JobRef{ref}, index};
}

MachineInfo machineInfo(const std::string& host, const std::string& zone = "a") {
  return MachineInfo{host, "small", zone, false};
}

// A checker that has seen the submission and acceptance of one job, job-1.
class CheckerTest : public testing::Test {
 protected:
  CheckerTest() : checker(42) { submitAccepted(spec("job-1")); }
  void submitAccepted(const wire::JobSpec& job) {
    checker.onSubmitted(0, job);
    checker.onSubmissionAnswered(1, job.ref.text, 201, "pending");
  }
  // A user requests the cancellation of job-1, and an answer at `atS` confirms it.
  void confirmCancellation(double atS) {
    checker.onCancellationRequested("job-1");
    checker.onCancellationAnswered(atS, "job-1", 200, "cancelled");
  }
  // Expects no violation up to `compliantS`, and a violation of the rule by `violatedS`.
  void expectViolationBetween(double compliantS, double violatedS, const std::string& rule) {
    checker.tick(compliantS);
    EXPECT_TRUE(checker.violations().empty());
    checker.tick(violatedS);
    expectViolation(rule);
  }
  void expectViolation(const std::string& rule) {
    ASSERT_FALSE(checker.violations().empty());
    EXPECT_TRUE(checker.violations().front().starts_with(rule)) << checker.violations().front();
  }
  Checker checker;
};

TEST_F(CheckerTest, ValidTraceHasNoViolations) {
  for (std::uint32_t i = 0; i < 4; ++i) {
    checker.onTaskStarted(2, task("job-1", i), machineInfo("vm-1"));
    checker.onTaskEnded(5, task("job-1", i), "vm-1", true);
  }
  checker.onPollAnswered(6, "job-1", 200, "done");
  checker.finish();
  EXPECT_TRUE(checker.violations().empty());
}

TEST_F(CheckerTest, ReportsTaskRunningOnTwoMachines) {
  checker.onTaskStarted(2, task("job-1", 0), machineInfo("vm-1"));
  checker.onTaskStarted(3, task("job-1", 0), machineInfo("vm-2"));
  expectViolation("ran_twice");
}

TEST_F(CheckerTest, ReportsTeamOverItsQuota) {
  checker.setTeamQuota("t", 4);
  for (std::uint32_t i = 0; i < 3; ++i) checker.onTaskStarted(2, task("job-1", i), machineInfo("vm-1"));
  expectViolation("quota");
}

TEST_F(CheckerTest, ReportsTaskOnADisallowedSpotMachine) {
  MachineInfo spotMachine = machineInfo("vm-1");
  spotMachine.spot = true;
  checker.onTaskStarted(2, task("job-1", 0), spotMachine);
  expectViolation("wrong_place");
}

TEST_F(CheckerTest, ReportsTaskOnADisallowedMachineType) {
  wire::JobSpec job = spec("job-2");
  job.allowedMachineTypes = {"large"};
  checker.onSubmitted(0, job);
  checker.onTaskStarted(2, task("job-2", 0), machineInfo("vm-1"));
  expectViolation("wrong_place");
}

TEST_F(CheckerTest, ReportsTaskOutsideItsRequiredZone) {
  wire::JobSpec job = spec("job-2");
  job.requiredZone = "b";
  checker.onSubmitted(0, job);
  checker.onTaskStarted(2, task("job-2", 0), machineInfo("vm-1", "b"));
  EXPECT_TRUE(checker.violations().empty());
  checker.onTaskStarted(2, task("job-2", 1), machineInfo("vm-2", "a"));
  expectViolation("wrong_place");
}

TEST_F(CheckerTest, ReportsSingleZoneJobInTwoZones) {
  wire::JobSpec job = spec("job-2");
  job.singleZone = true;
  checker.onSubmitted(0, job);
  checker.onTaskStarted(2, task("job-2", 0), machineInfo("vm-1", "a"));
  checker.onTaskStarted(2, task("job-2", 1), machineInfo("vm-2", "b"));
  expectViolation("wrong_place");
}

TEST_F(CheckerTest, ReportsSpreadJobWithMoreThanHalfOfItsTasksInOneZone) {
  wire::JobSpec job = spec("job-2", 5);
  job.spreadZones = true;
  checker.onSubmitted(0, job);
  for (std::uint32_t i = 0; i < 3; ++i) checker.onTaskStarted(2, task("job-2", i), machineInfo("vm-1"));
  EXPECT_TRUE(checker.violations().empty());
  checker.onTaskStarted(2, task("job-2", 3), machineInfo("vm-1"));
  expectViolation("wrong_place");
}

TEST_F(CheckerTest, ReportsTaskRunningPastTheCancellationDeadline) {
  checker.onTaskStarted(2, task("job-1", 0), machineInfo("vm-1"));
  confirmCancellation(3);
  expectViolationBetween(44, 45.5, "ran_cancelled");
}

TEST_F(CheckerTest, ReportsTermThatIsUsedTwice) {
  checker.onElected(2, "hoist-0", 1);
  checker.onElected(3, "hoist-1", 2);
  EXPECT_TRUE(checker.violations().empty());
  checker.onElected(4, "hoist-0", 2);
  expectViolation("term_reused");
}

// Raising the layout writes the record of the term without a new term.
TEST_F(CheckerTest, ReportsStoredTermThatDecreases) {
  checker.onTermStored(2, 2);
  checker.onTermStored(3, 2);
  EXPECT_TRUE(checker.violations().empty());
  checker.onTermStored(4, 1);
  expectViolation("term_lowered");
}

TEST_F(CheckerTest, ReportsAcceptedJobAnsweredWithNotFound) {
  checker.onPollAnswered(3, "job-1", 404, "");
  expectViolation("forgotten");
}

TEST_F(CheckerTest, ReportsRefusedRetryOfAnAcceptedSubmission) {
  checker.onSubmissionAnswered(3, "job-1", 422, "");
  expectViolation("forgotten");
}

TEST_F(CheckerTest, ReportsAcceptedJobWhosePollsKeepFailing) {
  submitAccepted(spec("job-2"));
  checker.onPollAnswered(95, "job-2", 200, "pending");
  checker.onPollAnswered(96, "job-1", 503, "");
  expectViolation("forgotten");
}

TEST_F(CheckerTest, ReportsStageOfAJobThatWasNeverSubmitted) {
  checker.onPollAnswered(3, "job-7", 200, "pending");
  expectViolation("invented");
}

TEST_F(CheckerTest, ReportsDoneJobWithUnfinishedTasks) {
  checker.onPollAnswered(3, "job-1", 200, "done");
  expectViolation("not_done");
}

TEST_F(CheckerTest, ReportsCancelledJobThatRunsAgain) {
  confirmCancellation(3);
  checker.onPollAnswered(4, "job-1", 200, "running");
  expectViolation("went_back");
}

TEST_F(CheckerTest, ReportsCancelledJobWithoutCancellationRequest) {
  checker.onPollAnswered(4, "job-1", 200, "cancelled");
  expectViolation("went_back");
}

TEST_F(CheckerTest, ReportsRunWithoutAnyTaskStart) {
  checker.finish();
  expectViolation("nothing_ran");
}

TEST_F(CheckerTest, ReportsJobWhoseAnswersStopAfterFaultsEnd) {
  checker.onFaultsEnded(100);
  checker.onPollAnswered(120, "job-1", 200, "pending");
  // The rule also applies if the polls of all other jobs go unanswered.
  expectViolationBetween(194, 196, "forgotten");
}

TEST_F(CheckerTest, StarvedGroupsIncludeClassesAndTheirLargestJobs) {
  auto largeJob = spec("job-2", 100);
  largeJob.jobClass = "arrays";
  submitAccepted(largeJob);
  checker.onTaskStarted(5, task("job-1", 0), machineInfo("m"));
  EXPECT_EQ(checker.starvedGroups(), (std::vector<std::string>{"class arrays served too little",
                                                               "largest of arrays served too little"}));
  checker.onTaskStarted(241, task("job-2", 0), machineInfo("m"));
  EXPECT_EQ(checker.starvedGroups(), std::vector<std::string>{"largest of arrays served too little"});
}

TEST_F(CheckerTest, CountsTaskStartsAfterConfirmedCancellation) {
  checker.onTaskStarted(2, task("job-1", 0), machineInfo("vm-1"));
  confirmCancellation(3);
  EXPECT_EQ(checker.startsAfterCancel(), 0U);
  checker.onTaskStarted(4, task("job-1", 1), machineInfo("vm-1"));
  EXPECT_EQ(checker.startsAfterCancel(), 1U);
}

TEST_F(CheckerTest, ReportsCancelledTaskStillRunningAfterItsMachineHung) {
  checker.onTaskStarted(2, task("job-1", 0), machineInfo("vm-1"));
  confirmCancellation(10);
  // The machine hangs and resumes. No end of the task is reported, so it still runs.
  expectViolationBetween(51, 53, "ran_cancelled");
}

TEST_F(CheckerTest, ReportsAcceptedInvalidSubmission) {
  checker.expectInvalid("job-9");
  checker.onInvalidSubmissionAnswered(2, "job-9", 422);
  checker.onInvalidSubmissionAnswered(3, "job-9", 503);
  EXPECT_TRUE(checker.violations().empty());
  checker.onInvalidSubmissionAnswered(4, "job-9", 201);
  expectViolation("accepted_unfit");
}

TEST_F(CheckerTest, ReportsJobNeverAnsweredAfterFaultsEnd) {
  checker.onFaultsEnded(10);
  expectViolationBetween(84, 86, "forgotten");
}

TEST_F(CheckerTest, ReportsRunnableJobLeftWaitingDespiteFreeCapacity) {
  checker.reportRunnable(5, "job-1", true);  // ignored, because the faults have not ended
  checker.onFaultsEnded(10);
  checker.reportRunnable(10, "job-1", true);
  checker.reportRunnable(60, "job-1", false);
  checker.reportRunnable(61, "job-1", true);
  checker.reportRunnable(150, "job-1", true);
  EXPECT_TRUE(checker.violations().empty());
  checker.reportRunnable(152, "job-1", true);
  expectViolation("left_waiting");
}

}  // namespace
