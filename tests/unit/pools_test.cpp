// What is kept free on ordinary machines, and what it takes to rent or return one.
#include "fleet/pools.hpp"

#include <gtest/gtest.h>

#include "fleet/coming.hpp"

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
    machineType.label = "small";
    machineType.room = {16, 0, 64};
    machineType.rate = 1;
    machineType.bootS = 25;
    machineType.zones = {"a", "b"};
    catalog.push_back(machineType);
    settings.operators.spareShare = 0.12;
    settings.operators.reserveShare = 0.1;
  }

  Machine& add(const std::string& zone, double usedCpus, wire::Priority priority = wire::Priority::prod,
               bool gang = false) {
    Machine& machine = table.add("vm-" + std::to_string(table.all().size()));
    machine.machineType = "small";
    machine.zone = zone;
    machine.total = catalog[0].room;
    machine.phase = MachinePhase::up;
    machine.echoed = true;
    machine.rentedAt = now;
    if (usedCpus > 0) {
      Attempt attempt;
      attempt.task = wire::TaskId{{"job-1"}, static_cast<std::uint32_t>(table.all().size())};
      attempt.phase = AttemptPhase::running;
      attempt.each = {usedCpus, 0, 1};
      attempt.priority = priority;
      attempt.gang = gang;
      machine.attempts.push_back(attempt);
    }
    return machine;
  }

  fleet::FleetWorld world() {
    std::vector<Machine*> all;
    for (auto& [host, machine] : table.all()) all.push_back(&machine);
    return fleet::FleetWorld{settings, catalog, now, 0, all, {}, {}, {}, {}, {}};
  }

  int reserved() {
    int count = 0;
    for (const fleet::Rental& rental : fleet::reserve(world())) count += rental.count;
    return count;
  }

  config::Settings settings;
  std::vector<wire::MachineType> catalog;
  machines::MachineTable table;
  wire::Time now = wire::Time{} + std::chrono::hours(1);
};

// Without it gangs waited for slow boots while services that had grown took the last ordinary room.
TEST_F(PoolsTest, TheReserveIsRentedBeforeAnythingWaits) {
  for (int i = 0; i < 20; ++i) add("a", 16);
  EXPECT_EQ(reserved(), 2);  // a tenth of 320 CPUs
  add("b", 0);
  EXPECT_EQ(reserved(), 1);
  add("b", 0);
  EXPECT_EQ(reserved(), 0);
}

TEST_F(PoolsTest, TheReserveCountsWhatIsComingAndGoesToTheEmptierZone) {
  for (int i = 0; i < 20; ++i) add("a", 16);
  add("a", 0).phase = MachinePhase::booting;
  const auto rentals = fleet::reserve(world());
  ASSERT_EQ(rentals.size(), 1U);
  EXPECT_EQ(rentals[0].count, 1);
  EXPECT_EQ(rentals[0].pool.zone, "b");
  EXPECT_FALSE(rentals[0].pool.spot);
  auto asked = world();
  asked.pending[rentals[0].pool] = 1;
  EXPECT_TRUE(fleet::reserve(asked).empty());
}

TEST_F(PoolsTest, WorkThatMayBeStoppedIsNoReasonForAReserveAndHoldsNoneOfIt) {
  for (int i = 0; i < 20; ++i) add("a", 16, wire::Priority::standard);
  EXPECT_EQ(reserved(), 0);
  for (int i = 0; i < 10; ++i) add("a", 16, wire::Priority::standard, true);
  for (int i = 0; i < 10; ++i) add("a", 16);
  EXPECT_EQ(reserved(), 0);  // arrays' 320 CPUs can be had
}

TEST_F(PoolsTest, AFewServicesAreNotWorthAMachineOfReserve) {
  for (int i = 0; i < 9; ++i) add("a", 16);
  EXPECT_EQ(reserved(), 0);  // 14.4 CPUs
}

TEST_F(PoolsTest, NoReserveWhereRentalsAreRefusedOrTheZoneIsCut) {
  for (int i = 0; i < 20; ++i) add("a", 16);
  auto where = world();
  where.refused.insert(cloud::PoolKey{"small", "a", false});
  where.cut.insert("b");
  EXPECT_TRUE(fleet::reserve(where).empty());
}

// A step down once returned the machines that services and gangs needed while boots were slow.
TEST_F(PoolsTest, AStepDownLeavesTheSpareRoom) {
  for (int i = 0; i < 20; ++i) add("a", 16);
  for (int i = 0; i < 5; ++i) add("a", 0);
  int idle = 0;
  int returnable = 0;
  for (const fleet::PoolView& view : fleet::viewPools(world())) {
    idle += view.idle;
    returnable += view.returnable;
  }
  EXPECT_EQ(idle, 5);
  EXPECT_EQ(returnable, 2);  // 80 free less 0.12 of 320, by whole machines
  fleet::SpareRoom spare(world());
  Machine& machine = table.all().rbegin()->second;
  EXPECT_TRUE(spare.staysWithout(machine));
  spare.take(machine);
  spare.take(machine);
  EXPECT_FALSE(spare.staysWithout(machine));
  machine.spot = true;
  EXPECT_TRUE(spare.staysWithout(machine));
}

// Machines for a part of a gang were rented, waited, went back and were rented again.
TEST_F(PoolsTest, MachinesAreRentedForAWholeGangOrNotAtAll) {
  jobs::Job gang;
  gang.spec.ref.text = "job-1";
  gang.spec.kind = wire::JobKind::gang;
  gang.spec.taskCount = 3;
  gang.spec.each = {16, 0, 16};
  gang.spec.oneZone = true;
  auto where = world();
  where.unmet.push_back(placement::Unmet{&gang, 3});
  auto rentals = fleet::shortfall(where);
  ASSERT_EQ(rentals.size(), 1U);
  EXPECT_EQ(rentals[0].count, 3);
  ASSERT_EQ(rentals[0].gangs.size(), 1U);
  EXPECT_EQ(rentals[0].gangs[0], &gang);
  // One machine is coming in a zone that gives no more.
  add(rentals[0].pool.zone, 0).phase = MachinePhase::booting;
  auto scarce = world();
  scarce.unmet.push_back(placement::Unmet{&gang, 3});
  scarce.refused.insert(rentals[0].pool);
  EXPECT_TRUE(fleet::shortfall(scarce).empty());
  scarce.refused.clear();
  EXPECT_FALSE(fleet::shortfall(scarce).empty());
  gang.gang.nextRental = now + std::chrono::seconds(1);
  EXPECT_TRUE(fleet::shortfall(scarce).empty());
}

TEST_F(PoolsTest, AMachineThatIsLateIsNoRoomUnlessAllAreSlow) {
  const auto booting = [&](double ageS) {
    Machine& machine = add("a", 0);
    machine.phase = MachinePhase::booting;
    machine.rentedAt = now - wire::seconds(ageS);
  };
  booting(25);
  EXPECT_EQ(fleet::comingMachines(world()).size(), 1U);
  table.clear();
  booting(60);
  EXPECT_TRUE(fleet::comingMachines(world()).empty());
  const auto views = fleet::viewPools(world());
  EXPECT_EQ(std::count_if(views.begin(), views.end(), [](const auto& view) { return view.late == 1; }), 1);
  for (int i = 0; i < 4; ++i) booting(60);
  EXPECT_EQ(fleet::comingMachines(world()).size(), 5U);
}

}  // namespace
