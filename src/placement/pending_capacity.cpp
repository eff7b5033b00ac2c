// Capacity that attempts which are being stopped will free; see pending_capacity.hpp.
#include "placement/pending_capacity.hpp"

namespace reachhoist::placement {

namespace {

std::uint32_t promiseOn(Bin& bin, const Job& job, std::uint32_t taskCount) {
  if (taskCount == 0 || !bin.hasStoppingAttempts || !isUsable(bin, job)) return 0;
  const std::uint32_t pendingTasks =
      job.spec.taskResources.countFittingIn(bin.unpromisedCapacity(), taskCount);
  bin.promisedCapacity += job.spec.taskResources * pendingTasks;
  return pendingTasks;
}

}  // namespace

std::uint32_t countPendingCapacity(const RoundState& state, const Job& job) {
  std::uint32_t pendingTasks = 0;
  for (const Bin& bin : state.bins) {
    if (!bin.hasStoppingAttempts || !isUsable(bin, job)) continue;
    wire::Resources capacity = bin.freeCapacity;
    for (const machines::Attempt& attempt : bin.machine->attempts)
      if (attempt.holdsCapacity() && attempt.stopRequested) capacity += attempt.resources;
    pendingTasks += job.spec.taskResources.countFittingIn(capacity, job.waitingCount - pendingTasks);
  }
  return pendingTasks;
}

std::uint32_t promisePendingCapacity(RoundState& state, const Job& job, std::uint32_t taskCount) {
  std::uint32_t pendingTasks = 0;
  for (auto* bins : {&state.bins, &state.binsInTransaction})
    for (Bin& bin : *bins) pendingTasks += promiseOn(bin, job, taskCount - pendingTasks);
  return pendingTasks;
}

}  // namespace reachhoist::placement
