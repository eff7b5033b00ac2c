// Properties of fair-share preemption, over random fleet sizes, weights and jobs.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "property/share_fleet.hpp"

namespace {

using share_fleet::JobShape;
using share_fleet::ShareFleet;
using Weights = std::vector<double>;

constexpr double kTolerance = 1e-6;
constexpr std::size_t kGroupCount = 4;

// RapidCheck starts with small values. A fixed size makes every case use the full ranges.
template <class T>
rc::Gen<T> fullRange(rc::Gen<T> generator) {
  return rc::gen::resize(rc::kNominalSize, std::move(generator));
}

rc::Gen<Weights> anyWeights() {
  return rc::gen::map(
      fullRange(rc::gen::container<std::vector<int>>(kGroupCount, rc::gen::inRange(0, 6))),
      [](const std::vector<int>& weights) { return Weights(weights.begin(), weights.end()); });
}

// Uniform jobs are arrays whose tasks have the same size.
rc::Gen<std::vector<JobShape>> anyJobs(bool isUniform) {
  const auto job = rc::gen::apply(
      [isUniform](std::size_t group, std::uint32_t taskCount, int cpus, bool isGang) {
        JobShape shape;
        shape.group = group;
        shape.taskCount = isGang ? 1 + taskCount % 6 : taskCount;
        shape.isGang = isGang && !isUniform;
        if (!isUniform) shape.taskResources = {static_cast<double>(cpus), 0, 4.0 * cpus};
        return shape;
      },
      rc::gen::inRange<std::size_t>(0, kGroupCount),
      rc::gen::oneOf(rc::gen::inRange<std::uint32_t>(1, 4), rc::gen::inRange<std::uint32_t>(1, 60)),
      rc::gen::element(1, 2, 4, 8), rc::gen::element(false, false, false, true));
  return fullRange(rc::gen::mapcat(rc::gen::inRange<std::size_t>(1, 15), [job](std::size_t count) {
    return rc::gen::container<std::vector<JobShape>>(count, job);
  }));
}

rc::Gen<std::size_t> anyMachineCount() { return fullRange(rc::gen::inRange<std::size_t>(2, 24)); }

void submitAll(ShareFleet& fleet, const std::vector<JobShape>& jobs) {
  for (const JobShape& job : jobs) fleet.submit(job);
}

// All tasks have the same size, so that fragmented capacity can't leave a group below its entitlement.
RC_GTEST_PROP(FairSharePreemption, LeavesNoGroupBelowEntitlementWhileAnotherIsAbove, ()) {
  ShareFleet fleet(*anyMachineCount(), *anyWeights());
  submitAll(fleet, *anyJobs(true));
  RC_ASSERT(fleet.runUntilStable() >= 0);
  fleet.setWeights(*anyWeights());
  RC_ASSERT(fleet.runUntilStable() >= 0);
  const double taskShare = fleet.dominantShareOf({2, 0, 8});
  const auto groups = fleet.fairShares();
  for (const auto& firstGroup : groups) {
    for (const auto& secondGroup : groups) {
      const bool isBelowEntitlement = firstGroup.running < firstGroup.entitled - taskShare - kTolerance;
      const bool isAboveEntitlement = secondGroup.running > secondGroup.entitled + taskShare + kTolerance;
      RC_ASSERT(!(isBelowEntitlement && isAboveEntitlement));
    }
  }
}

RC_GTEST_PROP(FairSharePreemption, PreemptsAtMostOneTaskPerAssignment, ()) {
  ShareFleet fleet(*anyMachineCount(), *anyWeights());
  submitAll(fleet, *anyJobs(true));
  fleet.runUntilStable();
  fleet.setWeights(*anyWeights());
  const std::size_t assignmentsBefore = fleet.assignmentCount();
  const int preemptionCount = fleet.runUntilStable();
  RC_ASSERT(preemptionCount >= 0);
  RC_ASSERT(static_cast<std::size_t>(preemptionCount) <= fleet.assignmentCount() - assignmentsBefore);
}

// The capacity of tasks that are still stopping counts as freed, so that the next round preempts no others.
RC_GTEST_PROP(FairSharePreemption, PreemptsNothingWhilePreemptedTasksAreStopping, ()) {
  ShareFleet fleet(*anyMachineCount(), *anyWeights());
  submitAll(fleet, *anyJobs(true));
  fleet.runUntilStable();
  fleet.setWeights(*anyWeights());
  fleet.runRound();
  const auto secondPlan = fleet.runRound();
  RC_ASSERT(secondPlan.preemptions.empty());
}

RC_GTEST_PROP(FairSharePreemption, NeverExceedsMachineCapacityAndConverges, ()) {
  ShareFleet fleet(*anyMachineCount(), *anyWeights(), *rc::gen::element(0.05, 0.2, 1.0));
  submitAll(fleet, *anyJobs(false));
  for (int change = 0; change < 3; ++change) {
    RC_ASSERT(fleet.runUntilStable() >= 0);
    RC_ASSERT(!fleet.hasOvercommittedMachine());
    fleet.setWeights(*anyWeights());
  }
}

RC_GTEST_PROP(FairSharePreemption, KeepsOneTaskOfEveryRunningArray, ()) {
  ShareFleet fleet(*anyMachineCount(), *anyWeights());
  const auto jobs = *anyJobs(true);
  submitAll(fleet, jobs);
  fleet.runUntilStable();
  std::vector<bool> isRunningArray;
  for (std::size_t i = 0; i < jobs.size(); ++i)
    isRunningArray.push_back(fleet.placedCountOf(i) > 0 && jobs[i].taskCount > 1);
  fleet.setWeights(*anyWeights());
  fleet.runUntilStable();
  for (std::size_t i = 0; i < jobs.size(); ++i) RC_ASSERT(!isRunningArray[i] || fleet.placedCountOf(i) > 0);
}

// No preemption takes a group below its entitlement.
RC_GTEST_PROP(FairSharePreemption, TakesNoGroupBelowItsEntitlement, ()) {
  ShareFleet fleet(*anyMachineCount(), *anyWeights());
  submitAll(fleet, *anyJobs(false));
  fleet.runUntilStable();
  fleet.setWeights(*anyWeights());
  const auto before = fleet.fairShares();
  fleet.runRound();
  const auto after = fleet.fairShares();
  for (std::size_t i = 0; i < after.size(); ++i)
    RC_ASSERT(after[i].running >= std::min(before[i].running, before[i].entitled) - kTolerance);
}

}  // namespace
