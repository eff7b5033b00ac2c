// Properties of the packing of queued work into pending instances, and of the scale-out for the rest.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "fleet/pending_instances.hpp"
#include "fleet/scaling.hpp"

namespace {

using namespace reachhoist;
using fleet::PendingGroup;

constexpr const char* kZones[] = {"a", "b", "c"};

// An amount that a task needs: often a round one, often one near a machine's size, at times zero or tiny.
rc::Gen<double> taskAmount(double machineAmount) {
  return rc::gen::oneOf(
      rc::gen::map(rc::gen::inRange(1, 40), [](int tenths) { return tenths / 10.0; }),
      rc::gen::map(rc::gen::inRange(1, 9), [machineAmount](int parts) { return machineAmount / parts; }),
      rc::gen::map(rc::gen::inRange(-300, 300),
                   [machineAmount](int millionths) { return machineAmount + millionths * 1e-6; }),
      rc::gen::element(0.0, 1e-300, 1e-9, 1e-7, 1e-6, 1e9));
}

std::unique_ptr<jobs::Job> drawJob(int index, int maxTasks) {
  auto job = std::make_unique<jobs::Job>();
  job->spec.ref.text = "job-" + std::to_string(index);
  job->spec.kind = *rc::gen::element(wire::JobKind::array, wire::JobKind::service, wire::JobKind::gang);
  job->spec.priority = *rc::gen::element(wire::Priority::standard, wire::Priority::prod);
  job->spec.taskCount = static_cast<std::uint32_t>(*rc::gen::inRange(1, maxTasks));
  job->spec.taskResources = {*taskAmount(8), 0, *taskAmount(32)};
  job->spec.allowsSpot = *rc::gen::arbitrary<bool>();
  job->spec.singleZone = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
  job->spec.spreadZones = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
  return job;
}

fleet::QueuedWork queuedWork(const jobs::Job& job) {
  return fleet::QueuedWork{placement::UnplacedDemand{&job, job.spec.taskCount}, {}};
}

std::vector<wire::MachineType> catalog() {
  wire::MachineType machineType;
  machineType.name = "small";
  machineType.capacity = {8, 0, 32};
  machineType.onDemandPricePerHour = 1;
  machineType.spotPricePerHour = 0.3;
  machineType.nominalBootTimeS = 25;
  machineType.zones = {kZones[0], kZones[1], kZones[2]};
  return {machineType};
}

fleet::FleetSnapshot emptySnapshot(const config::Settings& settings,
                                   const std::vector<wire::MachineType>& machineTypes) {
  const wire::Time now = wire::Time{} + std::chrono::hours(1);
  return fleet::FleetSnapshot{settings, machineTypes, now, 0, {}, {}, {}, {}, {}, {}};
}

// A group of instances takes the same tasks as the instances would one by one.
RC_GTEST_PROP(Packing, GroupsTakeTheSameTasksAsSingleInstances, ()) {
  std::vector<PendingGroup> groups;
  std::vector<PendingGroup> singles;
  for (int i = *rc::gen::inRange(1, 5); i > 0; --i) {
    PendingGroup group{{"small", *rc::gen::elementOf(std::vector<std::string>(kZones, kZones + 3)), false},
                       {8, 0, 32},
                       static_cast<std::size_t>(*rc::gen::inRange(1, 12))};
    groups.push_back(group);
    for (std::size_t k = 0; k < group.count; ++k) singles.push_back(PendingGroup{group.pool, group.free, 1});
  }
  for (int i = *rc::gen::inRange(1, 6); i > 0; --i) {
    const auto job = drawJob(i, 60);
    fleet::QueuedWork inGroups = queuedWork(*job);
    fleet::QueuedWork inSingles = queuedWork(*job);
    const bool fitsGroups = fleet::packIntoAny(inGroups, groups);
    RC_ASSERT(fleet::packIntoAny(inSingles, singles) == fitsGroups);
    RC_ASSERT(inGroups.demand.taskCount == inSingles.demand.taskCount);
    RC_ASSERT(inGroups.tasksByZone == inSingles.tasksByZone);
  }
  std::vector<PendingGroup> expanded;
  for (const PendingGroup& group : groups)
    expanded.insert(expanded.end(), group.count, PendingGroup{group.pool, group.free, 1});
  RC_ASSERT(expanded.size() == singles.size());
  for (std::size_t i = 0; i < expanded.size(); ++i) {
    RC_ASSERT(expanded[i].pool == singles[i].pool);
    RC_ASSERT(expanded[i].free == singles[i].free);
  }
}

// The scale-out ends for tasks of any size and requests no more instances than there are tasks that fit. Some
// are requested if any task fits; a gang gets none if its zone rules don't allow all of its tasks to run.
RC_GTEST_PROP(ScaleOut, RequestsInstancesOnlyForTasksThatFit, ()) {
  const config::Settings settings;
  const std::vector<wire::MachineType> machineTypes = catalog();
  std::vector<std::unique_ptr<jobs::Job>> jobs;
  fleet::FleetSnapshot snapshot = emptySnapshot(settings, machineTypes);
  std::size_t fittingTasks = 0;
  bool fitsTaskOfAnyArray = false;
  for (int i = *rc::gen::inRange(1, 6); i > 0; --i) {
    const jobs::Job& job = *jobs.emplace_back(drawJob(i, *rc::gen::element(30, 3000, 100'001)));
    snapshot.unplaced.push_back(placement::UnplacedDemand{&job, job.spec.taskCount});
    if (!job.spec.taskResources.fitsIn(machineTypes[0].capacity)) continue;
    fittingTasks += job.spec.taskCount;
    fitsTaskOfAnyArray = fitsTaskOfAnyArray || !job.isGang();
  }
  std::size_t instances = 0;
  for (const fleet::ScaleOutRequest& request : fleet::scaleOutForUnplacedDemand(snapshot)) {
    RC_ASSERT(request.count > 0);
    instances += static_cast<std::size_t>(request.count);
  }
  RC_ASSERT(instances <= fittingTasks);
  RC_ASSERT(instances > 0 || !fitsTaskOfAnyArray);
}

// Once the requested instances are pending, the job needs no others.
RC_GTEST_PROP(ScaleOut, PendingInstancesCoverTheJobTheyWereRequestedFor, ()) {
  const config::Settings settings;
  const std::vector<wire::MachineType> machineTypes = catalog();
  const auto job = drawJob(1, *rc::gen::element(30, 3000, 100'001));
  job->spec.singleZone = job->spec.spreadZones = false;
  fleet::FleetSnapshot snapshot = emptySnapshot(settings, machineTypes);
  snapshot.unplaced.push_back(placement::UnplacedDemand{job.get(), job->spec.taskCount});
  for (const fleet::ScaleOutRequest& request : fleet::scaleOutForUnplacedDemand(snapshot))
    snapshot.pendingRequests[request.pool] = static_cast<std::size_t>(request.count);
  RC_ASSERT(snapshot.pendingRequests.empty() != job->spec.taskResources.fitsIn(machineTypes[0].capacity));
  RC_ASSERT(fleet::scaleOutForUnplacedDemand(snapshot).empty());
}

}  // namespace
