// Capacity that will be freed; see pending_capacity.hpp.
#include "placement/pending_capacity.hpp"

namespace reachhoist::placement {

namespace {

std::uint32_t promiseOn(Bin& bin, const Job& job, std::uint32_t tasks) {
  if (tasks == 0 || !bin.hasStoppingAttempts || !isUsable(bin, job)) return 0;
  wire::Resources capacity = bin.unpromisedCapacity();
  std::uint32_t pending = 0;
  for (; pending < tasks && job.spec.taskResources.fitsIn(capacity); ++pending) {
    capacity -= job.spec.taskResources;
    bin.promised += job.spec.taskResources;
  }
  return pending;
}

}  // namespace

std::uint32_t countPendingCapacity(const RoundState& state, const Job& job) {
  std::uint32_t pending = 0;
  for (const Bin& bin : state.bins) {
    if (!bin.hasStoppingAttempts || !isUsable(bin, job)) continue;
    wire::Resources capacity = bin.freeCapacity;
    for (const machines::Attempt& attempt : bin.machine->attempts)
      if (attempt.holdsCapacity() && attempt.stopRequested) capacity += attempt.resources;
    while (job.spec.taskResources.fitsIn(capacity)) {
      capacity -= job.spec.taskResources;
      ++pending;
    }
  }
  return pending;
}

std::uint32_t promisePendingCapacity(RoundState& state, const Job& job, std::uint32_t tasks) {
  std::uint32_t pending = 0;
  for (auto* bins : {&state.bins, &state.busyBins})
    for (Bin& bin : *bins) pending += promiseOn(bin, job, tasks - pending);
  return pending;
}

}  // namespace reachhoist::placement
