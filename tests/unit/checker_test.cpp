// Each rule's check can fail: a deliberately wrong trace trips it.
#include "standin/checker.hpp"

#include <gtest/gtest.h>

namespace {

using standin::Checker;
using standin::Place;
namespace wire = reachhoist::wire;

wire::JobSpec spec(const std::string& ref, std::uint32_t taskCount = 4) {
  wire::JobSpec out;
  out.ref.text = ref;
  out.team = std::string("t");
  out.taskCount = taskCount;
  out.each.vcpus = 2;
  out.spot = false;
  return out;
}

wire::TaskId task(const std::string& ref, std::uint32_t index) {
  return wire::TaskId{wire::JobRef{ref}, index};
}

Place place(const std::string& host, const std::string& zone = "a") {
  return Place{host, "small", zone, false};
}

class Rules : public testing::Test {
 protected:
  Rules() : checker(42) {
    checker.submitted(0, spec("job-1"));
    checker.submitAnswered(1, "job-1", 201, "pending");
  }
  void expectBroken(const std::string& rule) {
    ASSERT_FALSE(checker.broken().empty());
    EXPECT_TRUE(checker.broken().front().starts_with(rule)) << checker.broken().front();
  }
  Checker checker;
};

TEST_F(Rules, AGoodTraceTripsNothing) {
  for (std::uint32_t i = 0; i < 4; ++i) {
    checker.started(2, task("job-1", i), place("vm-1"));
    checker.ended(5, task("job-1", i), "vm-1", true);
  }
  checker.pollAnswered(6, "job-1", 200, "done");
  checker.finish();
  EXPECT_TRUE(checker.broken().empty());
}

TEST_F(Rules, RanTwice) {
  checker.started(2, task("job-1", 0), place("vm-1"));
  checker.started(3, task("job-1", 0), place("vm-2"));
  expectBroken("ran_twice");
}

TEST_F(Rules, Quota) {
  checker.teamLimit("t", 4);
  for (std::uint32_t i = 0; i < 3; ++i) checker.started(2, task("job-1", i), place("vm-1"));
  expectBroken("quota");
}

TEST_F(Rules, WrongPlaceByKindTypeAndZone) {
  Place spot = place("vm-1");
  spot.spot = true;
  checker.started(2, task("job-1", 0), spot);
  expectBroken("wrong_place");
}

TEST_F(Rules, WrongPlaceByOneZone) {
  wire::JobSpec job = spec("job-2");
  job.oneZone = true;
  checker.submitted(0, job);
  checker.started(2, task("job-2", 0), place("vm-1", "a"));
  checker.started(2, task("job-2", 1), place("vm-2", "b"));
  expectBroken("wrong_place");
}

TEST_F(Rules, WrongPlaceByApart) {
  wire::JobSpec job = spec("job-2", 5);
  job.apart = true;
  checker.submitted(0, job);
  for (std::uint32_t i = 0; i < 3; ++i) checker.started(2, task("job-2", i), place("vm-1"));
  EXPECT_TRUE(checker.broken().empty());
  checker.started(2, task("job-2", 3), place("vm-1"));
  expectBroken("wrong_place");
}

TEST_F(Rules, RanCancelled) {
  checker.started(2, task("job-1", 0), place("vm-1"));
  checker.abortAsked("job-1");
  checker.abortAnswered(3, "job-1", 200, "cancelled");
  checker.tick(44);
  EXPECT_TRUE(checker.broken().empty());
  checker.tick(45.5);
  expectBroken("ran_cancelled");
}

TEST_F(Rules, ForgottenBy404) {
  checker.pollAnswered(3, "job-1", 404, "");
  expectBroken("forgotten");
}

TEST_F(Rules, ForgottenByRefusedRetry) {
  checker.submitAnswered(3, "job-1", 422, "");
  expectBroken("forgotten");
}

TEST_F(Rules, ForgottenByFailingPolls) {
  checker.submitted(0, spec("job-2"));
  checker.submitAnswered(1, "job-2", 201, "pending");
  checker.pollAnswered(95, "job-2", 200, "pending");
  checker.pollAnswered(96, "job-1", 503, "");
  expectBroken("forgotten");
}

TEST_F(Rules, Invented) {
  checker.pollAnswered(3, "job-7", 200, "pending");
  expectBroken("invented");
}

TEST_F(Rules, NotDone) {
  checker.pollAnswered(3, "job-1", 200, "done");
  expectBroken("not_done");
}

TEST_F(Rules, WentBack) {
  checker.abortAsked("job-1");
  checker.abortAnswered(3, "job-1", 200, "cancelled");
  checker.pollAnswered(4, "job-1", 200, "running");
  expectBroken("went_back");
}

TEST_F(Rules, CancelledByNobody) {
  checker.pollAnswered(4, "job-1", 200, "cancelled");
  expectBroken("went_back");
}

TEST_F(Rules, NothingRan) {
  checker.finish();
  expectBroken("nothing_ran");
}

TEST_F(Rules, AJobNobodyAnswersAboutAfterAllTroublesIsForgotten) {
  checker.calm(100);
  checker.pollAnswered(120, "job-1", 200, "pending");
  checker.tick(194);
  EXPECT_TRUE(checker.broken().empty());
  checker.tick(196);  // however others fare: no other poll was answered either
  expectBroken("forgotten");
}

TEST_F(Rules, ServedTooLittleIsToldByClassTeamAndLargest) {
  auto large = spec("job-2", 100);
  large.jobClass = "arrays";
  checker.submitted(0, large);
  checker.submitAnswered(1, "job-2", 201, "pending");
  checker.started(5, task("job-1", 0), place("m"));
  EXPECT_EQ(checker.unserved(), (std::vector<std::string>{"class arrays served too little",
                                                          "largest of arrays served too little"}));
  checker.started(241, task("job-2", 0), place("m"));
  EXPECT_EQ(checker.unserved(), std::vector<std::string>{"largest of arrays served too little"});
}

TEST_F(Rules, StartsAfterAConfirmedCancellationAreCounted) {
  checker.started(2, task("job-1", 0), place("vm-1"));
  checker.abortAsked("job-1");
  checker.abortAnswered(3, "job-1", 200, "cancelled");
  EXPECT_EQ(checker.startsAfterCancel(), 0U);
  checker.started(4, task("job-1", 1), place("vm-1"));
  EXPECT_EQ(checker.startsAfterCancel(), 1U);
}

TEST_F(Rules, ACancelledTaskThatGoesOnAfterAHang) {
  checker.started(2, task("job-1", 0), place("vm-1"));
  checker.abortAsked("job-1");
  checker.abortAnswered(10, "job-1", 200, "cancelled");
  // The machine hangs and goes on: nothing is heard of the task, and it is still there.
  checker.tick(51);
  EXPECT_TRUE(checker.broken().empty());
  checker.tick(53);
  expectBroken("ran_cancelled");
}

TEST_F(Rules, AnUnfitSubmissionIsAccepted) {
  checker.unfit("job-9");
  checker.unfitAnswered(2, "job-9", 422);
  checker.unfitAnswered(3, "job-9", 503);
  EXPECT_TRUE(checker.broken().empty());
  checker.unfitAnswered(4, "job-9", 201);
  expectBroken("accepted_unfit");
}

TEST_F(Rules, NoAnswerAboutAJobAfterAllTroubles) {
  checker.calm(10);
  checker.tick(84);
  EXPECT_TRUE(checker.broken().empty());
  checker.tick(86);
  expectBroken("forgotten");
}

TEST_F(Rules, LeftWaitingThoughThereIsRoom) {
  checker.couldRun(5, "job-1", true);  // before all troubles are over nothing counts
  checker.calm(10);
  checker.couldRun(10, "job-1", true);
  checker.couldRun(60, "job-1", false);
  checker.couldRun(61, "job-1", true);
  checker.couldRun(150, "job-1", true);
  EXPECT_TRUE(checker.broken().empty());
  checker.couldRun(152, "job-1", true);
  expectBroken("left_waiting");
}

}  // namespace
