// Batches of recorded placements, SLO outlooks and placement plans.
#include <gtest/gtest.h>

#include "machines/placement_batches.hpp"
#include "placement/planner.hpp"
#include "placement/slo.hpp"

namespace {

using namespace reachhoist;
using machines::Attempt;
using machines::AttemptPhase;
using machines::Machine;
using machines::MachineTable;
using machines::PlacementBatchTable;

Attempt makeAttempt(std::uint32_t index, std::uint64_t number) {
  Attempt attempt;
  attempt.task = wire::TaskId{wire::JobRef{"job-000412"}, index};
  attempt.number = number;
  return attempt;
}

Machine& addMachine(MachineTable& table, const std::string& host) {
  Machine& machine = table.add(host);
  machine.machineType = "shuttle";
  machine.zone = "merkato";
  return machine;
}

TEST(PlacementBatches, StayBelowTheValueLimitAndRoundTrip) {
  constexpr std::size_t kMaxValueBytes = 6900;
  MachineTable table;
  PlacementBatchTable batches(kMaxValueBytes);
  std::set<std::uint32_t> roundBatches;
  std::size_t placedCount = 0;
  for (int host = 0; host < 200; ++host) {
    Machine& machine = addMachine(table, "vm-" + std::to_string(100000 + host));
    for (std::uint32_t i = 0; i < 8; ++i) {
      Attempt attempt = makeAttempt(100'000 - i, (std::uint64_t{1} << 40) + placedCount);
      attempt.batch = batches.assignBatch(machine, attempt, roundBatches, 4);
      if (!attempt.batch) continue;
      ++placedCount;
      machine.attempts.push_back(attempt);
    }
  }
  EXPECT_EQ(roundBatches.size(), 4U);
  EXPECT_GT(placedCount, 250U);
  std::size_t decodedCount = 0;
  for (const auto& [number, value] : batches.encode(table, roundBatches)) {
    EXPECT_LE(value.dump().size(), kMaxValueBytes);
    const auto hosts = machines::decodePlacementBatch(value);
    ASSERT_TRUE(hosts);
    for (const auto& host : *hosts) {
      EXPECT_EQ(host.zone, "merkato");
      decodedCount += host.placed.size();
    }
  }
  EXPECT_EQ(decodedCount, placedCount);
}

TEST(PlacementBatches, EncodingOmitsReleasedAttempts) {
  MachineTable table;
  PlacementBatchTable batches(7000);
  Machine& machine = addMachine(table, "vm-1");
  std::set<std::uint32_t> roundBatches;
  for (std::uint32_t i = 0; i < 3; ++i) {
    Attempt attempt = makeAttempt(i, i + 1);
    attempt.batch = batches.assignBatch(machine, attempt, roundBatches, 4);
    machine.attempts.push_back(attempt);
  }
  machine.attempts[1].phase = AttemptPhase::released;
  const auto hosts = machines::decodePlacementBatch(batches.encode(table, roundBatches).at(0));
  ASSERT_TRUE(hosts);
  EXPECT_EQ(hosts->at(0).placed.size(), 2U);
  batches.setStored(0, 9, {"vm-1"});
  EXPECT_EQ(batches.batchesContaining("vm-1"), std::vector<std::uint32_t>{0});
  EXPECT_TRUE(batches.batchesContaining("vm-2").empty());
}

TEST(PlacementBatches, MalformedRecordsAreRefused) {
  using wire::Json;
  EXPECT_FALSE(machines::decodePlacementBatch(Json::array()));
  EXPECT_FALSE(machines::decodePlacementBatch(Json{{"hosts", {{"vm-1", Json::array({"a", "b", true})}}}}));
  EXPECT_FALSE(machines::decodePlacementBatch(
      Json{{"hosts", {{"vm-1", Json::array({"a", "b", true, Json::array({"job-1/0"})})}}}}));
  EXPECT_FALSE(machines::decodePlacementBatch(
      Json{{"hosts", {{"vm-1", Json::array({"a", "b", true, Json::array({"odd", 3})})}}}}));
}

TEST(SloOutlook, NextReachableObjectiveSetsTheLatestStart) {
  config::Settings settings;
  settings.teams.push_back({"t", 0, 20, 0, 0});
  settings.objectives = {{"wait", "night", 90, 0.7, 0}, {"finished", "night", 400, 0.9, 0}};
  jobs::Job job;
  job.spec.team = "t";
  job.spec.jobClass = "night";
  job.spec.taskCount = job.waitingCount = 10;
  job.spec.taskResources.vcpus = 2;
  job.spec.expectedRunTimeS = 100;
  job.acceptedAtMs = 1000;
  // All ten tasks fit into the team's quota at once.
  EXPECT_EQ(placement::sloOutlook(job, settings, 1000).latestStartMs, 91'000);
  // The start within 90 s is out of reach by more than the slack of estimates. The next objective is the end
  // within 400 s, less one run.
  EXPECT_EQ(placement::sloOutlook(job, settings, 150'000).latestStartMs, 301'000);
  EXPECT_FALSE(placement::sloOutlook(job, settings, 400'000).reachable);
  // Thirty tasks need three runs one after another. Only the end within 400 s is in reach, less 300 s.
  job.spec.taskCount = job.waitingCount = 30;
  EXPECT_EQ(placement::sloOutlook(job, settings, 1000).latestStartMs, 101'000);
}

// The machines and jobs of a placement plan.
struct PlanFixture {
  config::Settings settings;
  MachineTable table;
  std::vector<std::unique_ptr<jobs::Job>> jobs;
  wire::Time now = wire::Time{} + std::chrono::hours(1);

  PlanFixture() { settings.teams = {{"t", 16, 0, 0, 0}, {"u", 16, 0, 0, 0}}; }
  Machine& addUpMachine(const std::string& host, double cpus, const std::string& zone = "a") {
    Machine& machine = table.add(host);
    machine.machineType = "small";
    machine.zone = zone;
    machine.capacity = {cpus, 0, 64};
    machine.phase = machines::MachinePhase::up;
    machine.contact.tokenAcknowledged = true;
    machine.contact.lastHeartbeatAt = now;
    return machine;
  }
  jobs::Job& addJob(const std::string& ref, wire::JobKind kind, wire::Priority priority,
                    std::uint32_t taskCount, std::int64_t acceptedAtMs) {
    auto& job = *jobs.emplace_back(std::make_unique<jobs::Job>());
    job.spec.ref.text = ref;
    job.spec.team = "t";
    job.spec.kind = kind;
    job.spec.priority = priority;
    job.spec.taskCount = taskCount;
    job.spec.taskResources = {2, 0, 2};
    job.acceptedAtMs = acceptedAtMs;
    job.beginTracking(now);
    return job;
  }
  placement::PlacementPlan plan() {
    placement::SchedulingInput input{settings, now, 100'000, {}, {}, {}};
    for (auto& job : jobs) {
      input.openJobs.push_back(job.get());
      if (job->waitingCount > 0) input.waitingJobs.push_back(job.get());
    }
    for (auto& [host, machine] : table.all()) input.machines.push_back(&machine);
    return placement::planPlacements(input);
  }
};

// Regression: of two jobs within their guarantees, the older one of lower priority was placed first and then
// preempted for the other, in every round.
TEST(Plan, JobOfHigherPriorityIsPlacedBeforeAnOlderJobItCouldPreempt) {
  PlanFixture fixture;
  fixture.addUpMachine("vm-1", 2);
  fixture.addJob("job-1", wire::JobKind::array, wire::Priority::bestEffort, 1, 1'000);
  fixture.addJob("job-2", wire::JobKind::array, wire::Priority::standard, 1, 50'000);
  const auto plan = fixture.plan();
  ASSERT_EQ(plan.assignments.size(), 1U);
  EXPECT_EQ(plan.assignments[0].job->spec.ref.text, "job-2");
}

TEST(Plan, GangIsPlacedWholeOrNotAtAll) {
  PlanFixture fixture;
  fixture.addUpMachine("vm-1", 4, "a");
  fixture.addUpMachine("vm-2", 4, "b");
  jobs::Job& gang = fixture.addJob("job-1", wire::JobKind::gang, wire::Priority::standard, 3, 1'000);
  gang.spec.singleZone = true;
  auto plan = fixture.plan();
  EXPECT_TRUE(plan.assignments.empty());
  ASSERT_EQ(plan.unplaced.size(), 1U);
  EXPECT_EQ(plan.unplaced[0].taskCount, 3U);
  fixture.addUpMachine("vm-3", 2, "b");
  plan = fixture.plan();
  ASSERT_EQ(plan.assignments.size(), 3U);
  for (const auto& assignment : plan.assignments) EXPECT_EQ(assignment.machine->zone, "b");
}

TEST(Plan, GangWaitsUntilItsEarlierAttemptHasEnded) {
  PlanFixture fixture;
  fixture.addUpMachine("vm-1", 8);
  Machine& machine = fixture.addUpMachine("vm-2", 8);
  fixture.addJob("job-000412", wire::JobKind::gang, wire::Priority::standard, 2, 1'000);
  machine.attempts.push_back(makeAttempt(0, 7));
  machine.attempts[0].phase = AttemptPhase::running;
  machine.attempts[0].stopRequested = true;
  EXPECT_TRUE(fixture.plan().assignments.empty());
  machine.attempts[0].phase = AttemptPhase::ended;
  EXPECT_EQ(fixture.plan().assignments.size(), 2U);
}

TEST(Plan, ReservesCapacityForAGangAndPreemptsOnlyIfThatSuffices) {
  PlanFixture fixture;
  fixture.addUpMachine("vm-1", 4);
  Machine& busy = fixture.addUpMachine("vm-2", 2);
  jobs::Job& gang = fixture.addJob("job-1", wire::JobKind::gang, wire::Priority::high, 3, 1'000);
  fixture.addJob("job-2", wire::JobKind::array, wire::Priority::bestEffort, 4, 2'000);
  busy.attempts.push_back(makeAttempt(0, 7));
  busy.attempts[0].resources = {2, 0, 2};
  busy.attempts[0].team = std::string("u");
  busy.attempts[0].priority = wire::Priority::bestEffort;
  busy.attempts[0].phase = AttemptPhase::running;
  auto plan = fixture.plan();
  // Capacity for two tasks is reserved, and a preemption frees it for the third. The array gets none of it.
  EXPECT_TRUE(plan.assignments.empty());
  ASSERT_EQ(plan.preemptions.size(), 1U);
  EXPECT_EQ(plan.preemptions[0].attemptNumber, 7U);
  // Nothing is preempted if the preemption of all preemptible work would not free enough.
  gang.spec.taskCount = 4;
  gang.beginTracking(fixture.now);
  EXPECT_TRUE(fixture.plan().preemptions.empty());
  // The reservation expires.
  gang.waitingSince = fixture.now - constants::kGangReservationTimeout - std::chrono::seconds(1);
  EXPECT_EQ(fixture.plan().assignments.size(), 2U);
}

// Guards against a job within its team's guarantee that waits as long as another team's services, beyond that
// team's guarantee, hold the only machines it can use.
TEST(Plan, OverdueJobWithinItsGuaranteeStopsServicesBeyondAnothers) {
  PlanFixture fixture;
  Machine& machine = fixture.addUpMachine("vm-1", 18);
  // Team u runs 18 CPUs of 16 guaranteed: job-8 is within the guarantee, job-9 is not.
  const auto addService = [&](const std::string& ref, double cpus, std::uint64_t number) {
    jobs::Job& service = fixture.addJob(ref, wire::JobKind::service, wire::Priority::prod, 1, 1);
    service.spec.team = "u";
    service.spec.taskResources = {cpus, 0, 2};
    service.setTaskPhase(0, jobs::TaskPhase::placed, fixture.now);
    Attempt attempt;
    attempt.task = wire::TaskId{{ref}, 0};
    attempt.number = number;
    attempt.team = "u";
    attempt.phase = machines::AttemptPhase::running;
    attempt.resources = service.spec.taskResources;
    attempt.priority = wire::Priority::prod;
    attempt.isService = true;
    machine.attempts.push_back(attempt);
    return &service;
  };
  addService("job-8", 16, 1);
  jobs::Job* beyond = addService("job-9", 2, 2);
  jobs::Job& waiting = fixture.addJob("job-10", wire::JobKind::array, wire::Priority::standard, 1, 2'000);
  EXPECT_TRUE(fixture.plan().preemptions.empty());  // an instance may come up in time
  waiting.waitingSince = fixture.now - constants::kGuaranteeWaitLimit;
  auto plan = fixture.plan();
  ASSERT_EQ(plan.preemptions.size(), 1U);
  EXPECT_EQ(plan.preemptions[0].task.job.text, "job-9");
  // The freed capacity goes to the waiting job, not back to the service.
  machine.attempts.pop_back();
  beyond->setTaskPhase(0, jobs::TaskPhase::waiting, fixture.now);
  plan = fixture.plan();
  ASSERT_EQ(plan.assignments.size(), 1U);
  EXPECT_EQ(plan.assignments[0].job, &waiting);
  EXPECT_TRUE(plan.preemptions.empty());
}

// Guards against a leader that counts without end how many tasks without size fit into the capacity that a
// cancelled task will free (review, case 6).
TEST(Plan, WaitingTasksWithoutSizeAreCountedUpToTheirNumber) {
  for (const wire::JobKind kind : {wire::JobKind::service, wire::JobKind::gang}) {
    PlanFixture fixture;
    Machine& machine = fixture.addUpMachine("vm-1", 4);
    Attempt cancelled;
    cancelled.task = wire::TaskId{{"job-9"}, 0};
    cancelled.team = "u";
    cancelled.phase = machines::AttemptPhase::running;
    cancelled.resources = {2, 0, 2};
    cancelled.priority = wire::Priority::bestEffort;
    Attempt running = cancelled;
    running.task.index = 1;
    running.number = 1;
    cancelled.stopRequested = true;
    machine.attempts = {cancelled, running};
    jobs::Job& job = fixture.addJob("job-1", kind, wire::Priority::prod, 3, 1'000);
    job.spec.taskResources = {0, 0, 0};
    job.spec.spreadZones = true;  // one task finds no zone
    const auto plan = fixture.plan();
    EXPECT_EQ(plan.assignments.size(), kind == wire::JobKind::gang ? 0U : 2U);
    ASSERT_EQ(plan.unplaced.size(), 1U);
    EXPECT_EQ(plan.unplaced[0].taskCount, kind == wire::JobKind::gang ? 3U : 1U);
  }
}

// Guards against instances for tasks that the team's limit doesn't allow to start: only the limit on CPUs was
// counted, and with a larger tolerance than when the tasks were placed.
TEST(Plan, UnplacedDemandIsWithinTheLimitsThatPlacementObserves) {
  PlanFixture fixture;
  fixture.settings.teams = {{"t", 0, 96, 0, 4}};
  jobs::Job& job = fixture.addJob("job-1", wire::JobKind::array, wire::Priority::standard, 100, 1'000);
  job.spec.taskResources = {1, 1, 1};
  auto plan = fixture.plan();
  ASSERT_EQ(plan.unplaced.size(), 1U);
  EXPECT_EQ(plan.unplaced[0].taskCount, 4U);
  // Another job of the team leaves slightly less than one task needs.
  job.spec.taskResources = {48.00003, 0, 1};
  Attempt running;
  running.task = wire::TaskId{{"job-9"}, 0};
  running.team = "t";
  running.phase = machines::AttemptPhase::running;
  running.resources = {48, 0, 2};
  fixture.addUpMachine("vm-1", 48).attempts = {running};
  plan = fixture.plan();
  EXPECT_TRUE(plan.unplaced.empty());
}

// A batch that was written under larger limits moves to other batches over several rounds, each of which
// stays within the present limits.
TEST(PlacementBatches, OversizedBatchShrinksOverSeveralRounds) {
  MachineTable table;
  PlacementBatchTable batches(1740);
  for (int host = 0; host < 60; ++host) {
    Machine& machine = addMachine(table, "vm-" + std::to_string(100000 + host));
    for (std::uint32_t i = 0; i < 3; ++i) {
      Attempt attempt = makeAttempt(static_cast<std::uint32_t>(host) * 3 + i, 1'048'577);
      attempt.batch = 5;
      machine.attempts.push_back(attempt);
    }
  }
  batches.setStored(5, 3, {});
  int rounds = 0;
  for (bool isWritten = false; !isWritten && rounds < 20; ++rounds) {
    batches.recountBytes(table);
    std::set<std::uint32_t> roundBatches;
    isWritten = batches.shrinkBatch(table, 5, roundBatches, 4);
    if (isWritten) roundBatches.insert(5);
    ASSERT_LE(roundBatches.size(), 4U);
    ASSERT_FALSE(roundBatches.empty());
    for (const auto& [number, value] : batches.encode(table, roundBatches))
      EXPECT_LE(value.dump().size(), 1740U) << number;
  }
  EXPECT_GT(rounds, 1);
  EXPECT_LT(rounds, 20);
}

// A checkpoint requires that every task receives the command in time. A gang with a task on an unreachable
// machine would lose its progress.
TEST(Plan, GangWithAnUnreachableMachineIsPreemptedLast) {
  PlanFixture fixture;
  for (int gang = 0; gang < 2; ++gang) {
    for (int i = 0; i < 2; ++i) {
      Machine& machine = fixture.addUpMachine("vm-" + std::to_string(gang) + std::to_string(i), 2);
      Attempt member = makeAttempt(static_cast<std::uint32_t>(i), static_cast<std::uint64_t>(gang) + 1);
      member.isGangMember = true;
      member.team = "t";
      member.resources = {2, 0, 2};
      member.phase = AttemptPhase::running;
      // The second gang has run for a shorter time, so it would be preempted if all machines were reachable.
      member.placedAt = member.runningSince = fixture.now - std::chrono::seconds(gang == 0 ? 40 : 20);
      machine.attempts.push_back(member);
    }
  }
  fixture.addJob("job-9", wire::JobKind::service, wire::Priority::prod, 1, 1'000);
  const auto preemptedAttempt = [&] {
    const auto plan = fixture.plan();
    return plan.preemptions.size() == 1 ? plan.preemptions[0].attemptNumber : 0;
  };
  EXPECT_EQ(preemptedAttempt(), 2U);
  fixture.table.find("vm-11")->contact.unreachable = true;
  EXPECT_EQ(preemptedAttempt(), 1U);
  fixture.table.find("vm-11")->contact.unreachable = false;
  fixture.table.find("vm-11")->contact.lastHeartbeatAt = fixture.now - std::chrono::seconds(30);
  EXPECT_EQ(preemptedAttempt(), 1U);
}

}  // namespace
