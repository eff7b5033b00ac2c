// The memory that scale-out takes for large arrays. It must not grow with the number of their tasks: a leader
// is ended when it exceeds its memory limit, and as the arrays are stored, the next one too.
#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "cloud/client.hpp"
#include "fleet/pools.hpp"
#include "fleet/scaling.hpp"
#include "memory/allocation_meter.hpp"

namespace {

using namespace reachhoist;
using reachhoist::testing::AllocationMeter;

constexpr std::uint32_t kMaxTasks = 100'000;  // the most that a job may have
// A hundredth of the smallest memory limit of a deployment, 72 MB.
constexpr std::size_t kMaxPeakBytes = 720 * 1024;

class ScaleOutMemoryTest : public ::testing::Test {
 protected:
  ScaleOutMemoryTest() {
    wire::MachineType machineType;
    machineType.name = "small";
    machineType.capacity = {8, 0, 32};
    machineType.onDemandPricePerHour = 1;
    machineType.spotPricePerHour = 0.3;
    machineType.nominalBootTimeS = 25;
    machineType.zones = {"a", "b", "c"};
    catalog.push_back(machineType);
  }

  // Adds a job of which all tasks wait, each as large as a machine.
  jobs::Job& addJob(std::uint32_t taskCount, wire::JobKind kind = wire::JobKind::array) {
    jobs::Job& job = *jobs.emplace_back(std::make_unique<jobs::Job>());
    job.spec.ref.text = "job-" + std::to_string(jobs.size());
    job.spec.kind = kind;
    job.spec.taskCount = taskCount;
    job.spec.taskResources = {8, 0, 2.9};
    job.spec.allowsSpot = true;
    job.spec.deadlineS = 10;
    return job;
  }

  fleet::FleetSnapshot snapshot() const {
    fleet::FleetSnapshot snapshot{settings, catalog, now, 0, {}, {}, {}, {}, {}, {}};
    for (const auto& job : jobs)
      snapshot.unplaced.push_back(placement::UnplacedDemand{job.get(), job->spec.taskCount});
    return snapshot;
  }

  static std::size_t instanceCount(const std::vector<fleet::ScaleOutRequest>& requests) {
    std::size_t count = 0;
    for (const fleet::ScaleOutRequest& request : requests) count += static_cast<std::size_t>(request.count);
    return count;
  }

  config::Settings settings;
  std::vector<wire::MachineType> catalog;
  std::vector<std::unique_ptr<jobs::Job>> jobs;
  wire::Time now = wire::Time{} + std::chrono::hours(1);
};

// Guards against memory for each machine that waiting tasks would take.
TEST_F(ScaleOutMemoryTest, DemandOfLargeJobs) {
  for (const wire::JobKind kind : {wire::JobKind::array, wire::JobKind::gang}) {
    jobs.clear();
    for (int i = 0; i < 3; ++i) addJob(kMaxTasks, kind);
    const fleet::FleetSnapshot fleetSnapshot = snapshot();
    const AllocationMeter meter;
    const auto requests = fleet::scaleOutForUnplacedDemand(fleetSnapshot);
    EXPECT_LT(meter.peakBytes(), kMaxPeakBytes) << wire::name(kind);
    EXPECT_EQ(instanceCount(requests), 3U * kMaxTasks) << wire::name(kind);
  }
}

// Guards against memory for each machine that was requested: the requests are without an answer while the
// cloud is down.
TEST_F(ScaleOutMemoryTest, RequestsWithoutAnAnswer) {
  for (int i = 0; i < 3; ++i) addJob(kMaxTasks);
  fleet::FleetSnapshot fleetSnapshot = snapshot();
  for (const fleet::ScaleOutRequest& request : fleet::scaleOutForUnplacedDemand(fleetSnapshot))
    fleetSnapshot.pendingRequests[request.pool] = static_cast<std::size_t>(request.count);
  const AllocationMeter meter;
  EXPECT_TRUE(fleet::scaleOutForUnplacedDemand(fleetSnapshot).empty());
  EXPECT_TRUE(fleet::scaleOutForReserve(fleetSnapshot).empty());
  for (const fleet::PoolView& view : fleet::viewPools(fleetSnapshot)) EXPECT_EQ(view.queuedTasks, 0);
  EXPECT_LT(meter.peakBytes(), kMaxPeakBytes);
}

// Guards against a queue of requests in the client, one for each fifty machines.
TEST_F(ScaleOutMemoryTest, RequestsThatTheRateLimitHoldsBack) {
  settings.cloudLimits.requestsPerS = 3;
  wire::Calls calls;
  cloud::Client client{calls, settings, "hoist-0-1",
                       cloud::Client::Handlers{[](const auto&, const auto&, std::size_t) {},
                                               [](const auto&) {}, [](const auto&) {}, [](auto) {}}};
  const cloud::PoolKey pool{"small", "a", false};
  const AllocationMeter meter;
  client.requestInstances(now, pool, 100U * kMaxTasks);
  EXPECT_LT(meter.peakBytes(), kMaxPeakBytes);
  EXPECT_EQ(client.pendingInstances(pool), 100U * kMaxTasks);
}

}  // namespace
