// Properties of fair-share preemption, over random fleets, weights and jobs.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "property/share_fleet.hpp"

namespace {

using share_fleet::JobShape;
using share_fleet::ShareFleet;
using Weights = std::vector<double>;

constexpr double kSlack = 1e-6;
constexpr std::size_t kGroups = 4;

// RapidCheck narrows ranges in its first cases; here every case is a full one.
template <class T>
rc::Gen<T> fullRange(rc::Gen<T> gen) {
  return rc::gen::resize(rc::kNominalSize, std::move(gen));
}

rc::Gen<Weights> anyWeights() {
  return rc::gen::map(
      fullRange(rc::gen::container<std::vector<int>>(kGroups, rc::gen::inRange(0, 6))),
      [](const std::vector<int>& weights) { return Weights(weights.begin(), weights.end()); });
}

rc::Gen<std::vector<JobShape>> anyJobs(bool alike) {
  const auto job = rc::gen::apply(
      [alike](std::size_t group, std::uint32_t tasks, int cpus, bool gang) {
        JobShape shape;
        shape.group = group;
        shape.tasks = gang ? 1 + tasks % 6 : tasks;
        shape.gang = gang && !alike;
        if (!alike) shape.each = {static_cast<double>(cpus), 0, 4.0 * cpus};
        return shape;
      },
      rc::gen::inRange<std::size_t>(0, kGroups),
      rc::gen::oneOf(rc::gen::inRange<std::uint32_t>(1, 4), rc::gen::inRange<std::uint32_t>(1, 60)),
      rc::gen::element(1, 2, 4, 8), rc::gen::element(false, false, false, true));
  return fullRange(rc::gen::mapcat(rc::gen::inRange<std::size_t>(1, 15), [job](std::size_t count) {
    return rc::gen::container<std::vector<JobShape>>(count, job);
  }));
}

rc::Gen<std::size_t> anyMachines() { return fullRange(rc::gen::inRange<std::size_t>(2, 24)); }

void submitAll(ShareFleet& fleet, const std::vector<JobShape>& jobs) {
  for (const JobShape& job : jobs) fleet.submit(job);
}

// All tasks have the same size, so that fragmented capacity explains no difference.
RC_GTEST_PROP(Reclaiming, LeavesNobodyBelowWhileAnotherIsAbove, ()) {
  ShareFleet fleet(*anyMachines(), *anyWeights());
  submitAll(fleet, *anyJobs(true));
  RC_ASSERT(fleet.runUntilStable() >= 0);
  fleet.setWeights(*anyWeights());
  RC_ASSERT(fleet.runUntilStable() >= 0);
  const double unit = fleet.dominantShareOf({2, 0, 8});
  const auto groups = fleet.fairShares();
  for (const auto& below : groups) {
    for (const auto& above : groups) {
      const bool lacks = below.running < below.entitled - unit - kSlack;
      const bool exceeds = above.running > above.entitled + unit + kSlack;
      RC_ASSERT(!(lacks && exceeds));
    }
  }
}

RC_GTEST_PROP(Reclaiming, StopsAtMostOneTaskForEachClaim, ()) {
  ShareFleet fleet(*anyMachines(), *anyWeights());
  submitAll(fleet, *anyJobs(true));
  fleet.runUntilStable();
  fleet.setWeights(*anyWeights());
  const std::size_t before = fleet.assigned();
  const int stops = fleet.runUntilStable();
  RC_ASSERT(stops >= 0);
  RC_ASSERT(static_cast<std::size_t>(stops) <= fleet.assigned() - before);
}

// While preempted tasks have not ended yet, the next round preempts no others.
RC_GTEST_PROP(Reclaiming, IsUnchangedWhenAppliedAgain, ()) {
  ShareFleet fleet(*anyMachines(), *anyWeights());
  submitAll(fleet, *anyJobs(true));
  fleet.runUntilStable();
  fleet.setWeights(*anyWeights());
  fleet.runRound();
  const auto again = fleet.runRound();
  RC_ASSERT(again.preemptions.empty());
}

RC_GTEST_PROP(Reclaiming, NeverOverfillsAMachineAndComesToRest, ()) {
  ShareFleet fleet(*anyMachines(), *anyWeights(), *rc::gen::element(0.05, 0.2, 1.0));
  submitAll(fleet, *anyJobs(false));
  for (int change = 0; change < 3; ++change) {
    RC_ASSERT(fleet.runUntilStable() >= 0);
    RC_ASSERT(!fleet.hasOverfullMachine());
    fleet.setWeights(*anyWeights());
  }
}

RC_GTEST_PROP(Reclaiming, KeepsEveryArrayRunning, ()) {
  ShareFleet fleet(*anyMachines(), *anyWeights());
  const auto jobs = *anyJobs(true);
  submitAll(fleet, jobs);
  fleet.runUntilStable();
  std::vector<bool> ran;
  for (std::size_t i = 0; i < jobs.size(); ++i) ran.push_back(fleet.placedOf(i) > 0 && jobs[i].tasks > 1);
  fleet.setWeights(*anyWeights());
  fleet.runUntilStable();
  for (std::size_t i = 0; i < jobs.size(); ++i) RC_ASSERT(!ran[i] || fleet.placedOf(i) > 0);
}

// No preemption takes a group below its entitlement.
RC_GTEST_PROP(Reclaiming, TakesNobodyBelowItsEntitlement, ()) {
  ShareFleet fleet(*anyMachines(), *anyWeights());
  submitAll(fleet, *anyJobs(false));
  fleet.runUntilStable();
  fleet.setWeights(*anyWeights());
  const auto before = fleet.fairShares();
  fleet.runRound();
  const auto after = fleet.fairShares();
  for (std::size_t i = 0; i < after.size(); ++i)
    RC_ASSERT(after[i].running >= std::min(before[i].running, before[i].entitled) - kSlack);
}

}  // namespace
