// The headroom and the reserve of on-demand capacity, scale-out for gangs, and the views of pools.
#include "fleet/pools.hpp"

#include <gtest/gtest.h>

#include "fleet/headroom.hpp"
#include "fleet/pending_instances.hpp"
#include "fleet/scaling.hpp"

namespace {

using namespace reachhoist;
using machines::Attempt;
using machines::AttemptPhase;
using machines::Machine;
using machines::MachinePhase;

class PoolsTest : public testing::Test {
 protected:
  PoolsTest() {
    wire::MachineType machineType;
    machineType.name = "small";
    machineType.capacity = {16, 0, 64};
    machineType.onDemandPricePerHour = 1;
    machineType.nominalBootTimeS = 25;
    machineType.zones = {"a", "b"};
    catalog.push_back(machineType);
    settings.operators.headroomShare = 0.12;
    settings.operators.reserveShare = 0.1;
  }

  Machine& add(const std::string& zone, double usedCpus, wire::Priority priority = wire::Priority::prod,
               bool gang = false) {
    Machine& machine = table.add("vm-" + std::to_string(table.all().size()));
    machine.machineType = "small";
    machine.zone = zone;
    machine.capacity = catalog[0].capacity;
    machine.phase = MachinePhase::up;
    machine.contact.tokenAcknowledged = true;
    machine.provisionedAt = now;
    if (usedCpus > 0) {
      Attempt attempt;
      attempt.task = wire::TaskId{{"job-1"}, static_cast<std::uint32_t>(table.all().size())};
      attempt.phase = AttemptPhase::running;
      attempt.resources = {usedCpus, 0, 1};
      attempt.priority = priority;
      attempt.isGangMember = gang;
      machine.attempts.push_back(attempt);
    }
    return machine;
  }

  fleet::FleetSnapshot makeSnapshot() {
    std::vector<Machine*> machines;
    for (auto& [host, machine] : table.all()) machines.push_back(&machine);
    return fleet::FleetSnapshot{settings, catalog, now, 0, machines, {}, {}, {}, {}, {}};
  }

  int reserveScaleOutCount() {
    int count = 0;
    for (const fleet::ScaleOutRequest& request : fleet::scaleOutForReserve(makeSnapshot()))
      count += request.count;
    return count;
  }

  config::Settings settings;
  std::vector<wire::MachineType> catalog;
  machines::MachineTable table;
  wire::Time now = wire::Time{} + std::chrono::hours(1);
};

// Regression: growing services took the last on-demand capacity, and gangs waited for slow boots.
TEST_F(PoolsTest, ReserveIsProvisionedBeforeDemandIsQueued) {
  for (int i = 0; i < 20; ++i) add("a", 16);
  EXPECT_EQ(reserveScaleOutCount(), 2);  // a tenth of 320 CPUs
  add("b", 0);
  EXPECT_EQ(reserveScaleOutCount(), 1);
  add("b", 0);
  EXPECT_EQ(reserveScaleOutCount(), 0);
}

TEST_F(PoolsTest, ReserveCountsPendingInstancesAndUsesTheEmptierZone) {
  for (int i = 0; i < 20; ++i) add("a", 16);
  add("a", 0).phase = MachinePhase::booting;
  const auto requests = fleet::scaleOutForReserve(makeSnapshot());
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests[0].count, 1);
  EXPECT_EQ(requests[0].pool.zone, "b");
  EXPECT_FALSE(requests[0].pool.spot);
  auto withPendingRequest = makeSnapshot();
  withPendingRequest.pendingRequests[requests[0].pool] = 1;
  EXPECT_TRUE(fleet::scaleOutForReserve(withPendingRequest).empty());
}

TEST_F(PoolsTest, PreemptibleWorkNeitherNeedsNorUsesTheReserve) {
  for (int i = 0; i < 20; ++i) add("a", 16, wire::Priority::standard);
  EXPECT_EQ(reserveScaleOutCount(), 0);
  for (int i = 0; i < 10; ++i) add("a", 16, wire::Priority::standard, true);
  for (int i = 0; i < 10; ++i) add("a", 16);
  EXPECT_EQ(reserveScaleOutCount(), 0);  // the arrays' 320 CPUs can be preempted
}

TEST_F(PoolsTest, FewServicesNeedNoReserve) {
  for (int i = 0; i < 9; ++i) add("a", 16);
  EXPECT_EQ(reserveScaleOutCount(), 0);  // 14.4 CPUs are less than one machine
}

TEST_F(PoolsTest, NoReserveInRefusingPoolsOrPartitionedZones) {
  for (int i = 0; i < 20; ++i) add("a", 16);
  auto snapshot = makeSnapshot();
  snapshot.refusedPools.insert(cloud::PoolKey{"small", "a", false});
  snapshot.partitionedZones.insert("b");
  EXPECT_TRUE(fleet::scaleOutForReserve(snapshot).empty());
}

// Regression: a scale-in released machines that services and gangs needed while boots were slow.
TEST_F(PoolsTest, ScaleInKeepsTheHeadroom) {
  for (int i = 0; i < 20; ++i) add("a", 16);
  for (int i = 0; i < 5; ++i) add("a", 0);
  int idleMachines = 0;
  int releasableMachines = 0;
  for (const fleet::PoolView& view : fleet::viewPools(makeSnapshot())) {
    idleMachines += view.idleMachines;
    releasableMachines += view.releasableMachines;
  }
  EXPECT_EQ(idleMachines, 5);
  EXPECT_EQ(releasableMachines, 2);  // 80 free CPUs less 0.12 of 320, in whole machines
  fleet::Headroom headroom(makeSnapshot());
  Machine& machine = table.all().rbegin()->second;
  EXPECT_TRUE(headroom.allowsRelease(machine));
  headroom.release(machine);
  headroom.release(machine);
  EXPECT_FALSE(headroom.allowsRelease(machine));
  machine.spot = true;
  EXPECT_TRUE(headroom.allowsRelease(machine));
}

// Regression: instances for only a part of a gang were requested, released unused and requested again.
TEST_F(PoolsTest, InstancesAreRequestedForAWholeGangOrNotAtAll) {
  jobs::Job gang;
  gang.spec.ref.text = "job-1";
  gang.spec.kind = wire::JobKind::gang;
  gang.spec.taskCount = 3;
  gang.spec.taskResources = {16, 0, 16};
  gang.spec.singleZone = true;
  auto snapshot = makeSnapshot();
  snapshot.unplaced.push_back(placement::UnplacedDemand{&gang, 3});
  auto requests = fleet::scaleOutForUnplacedDemand(snapshot);
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests[0].count, 3);
  ASSERT_EQ(requests[0].gangs.size(), 1U);
  EXPECT_EQ(requests[0].gangs[0], &gang);
  // One instance is pending in a zone whose cloud capacity is exhausted.
  add(requests[0].pool.zone, 0).phase = MachinePhase::booting;
  auto refusingSnapshot = makeSnapshot();
  refusingSnapshot.unplaced.push_back(placement::UnplacedDemand{&gang, 3});
  refusingSnapshot.refusedPools.insert(requests[0].pool);
  EXPECT_TRUE(fleet::scaleOutForUnplacedDemand(refusingSnapshot).empty());
  refusingSnapshot.refusedPools.clear();
  EXPECT_FALSE(fleet::scaleOutForUnplacedDemand(refusingSnapshot).empty());
  gang.gang.nextScaleOutAt = now + std::chrono::seconds(1);
  EXPECT_TRUE(fleet::scaleOutForUnplacedDemand(refusingSnapshot).empty());
}

// Guards against instances on which the task doesn't fit: they were requested without end, since the
// scale-out tolerated a larger excess than the packing.
TEST_F(PoolsTest, NoInstanceIsRequestedForATaskSlightlyLargerThanTheType) {
  jobs::Job job;
  job.spec.ref.text = "job-1";
  job.spec.priority = wire::Priority::high;
  job.spec.taskCount = 2;
  job.spec.taskResources = {2, 0, 64.00002};
  auto snapshot = makeSnapshot();
  snapshot.unplaced.push_back(placement::UnplacedDemand{&job, 2});
  EXPECT_TRUE(fleet::scaleOutForUnplacedDemand(snapshot).empty());
  wire::MachineType larger = catalog[0];
  larger.name = "larger";
  larger.capacity.memoryGb = 128;
  larger.onDemandPricePerHour = 1.5;
  larger.zones = {"a"};
  catalog.push_back(larger);
  const auto requests = fleet::scaleOutForUnplacedDemand(snapshot);
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests[0].pool.machineType, "larger");
  EXPECT_EQ(requests[0].count, 2);
}

TEST_F(PoolsTest, OverdueBootIsNoPendingCapacityUnlessAllBootsAreOverdue) {
  const auto addBooting = [&](double ageS) {
    Machine& machine = add("a", 0);
    machine.phase = MachinePhase::booting;
    machine.provisionedAt = now - wire::seconds(ageS);
  };
  addBooting(25);
  EXPECT_EQ(fleet::pendingInstances(makeSnapshot()).size(), 1U);
  table.clear();
  addBooting(60);
  EXPECT_TRUE(fleet::pendingInstances(makeSnapshot()).empty());
  const auto views = fleet::viewPools(makeSnapshot());
  EXPECT_EQ(
      std::count_if(views.begin(), views.end(), [](const auto& view) { return view.overdueBoots == 1; }), 1);
  for (int i = 0; i < 4; ++i) addBooting(60);
  EXPECT_EQ(fleet::pendingInstances(makeSnapshot()).size(), 5U);
}

}  // namespace
