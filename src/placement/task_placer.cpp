// Placement of single tasks; see task_placer.hpp.
#include "placement/task_placer.hpp"

#include <algorithm>
#include <functional>

namespace reachhoist::placement {

std::vector<BinChoice> TaskPlacer::findChoices(const Job& job, ShareUse use) const {
  std::vector<BinChoice> choices;
  for (std::size_t i = 0; i < state_.bins.size(); ++i) {
    const Bin& bin = state_.bins[i];
    if (!job.spec.taskResources.fitsIn(bin.freeCapacity) || !isUsable(bin, job)) continue;
    if (use == ShareUse::leftoverCapacity && bin.awaited) continue;
    choices.push_back(BinChoice{startDelayS(bin, job), i});
  }
  return choices;
}

void TaskPlacer::place(Job& job, std::uint32_t most, ShareUse use, PlacementProgress& progress) {
  // The tasks of a job are alike: its bins are ranked once, and only the bin just used is ranked again.
  std::vector<BinChoice> heap = findChoices(job, use);
  const std::greater<> soonestFirst;
  std::make_heap(heap.begin(), heap.end(), soonestFirst);
  std::uint32_t placed = 0;
  std::uint32_t& index = progress.nextIndex;
  while (!heap.empty() && placed < most && state_.plan.assignments.size() < state_.input.maxTasks) {
    while (index < job.spec.taskCount && job.tasks[index] != jobs::TaskPhase::waiting) ++index;
    if (index >= job.spec.taskCount) break;
    if (!state_.quotas.allows(job)) {
      progress.limit = PlacementLimit::teamQuota;
      break;
    }
    const bool mayExceedShare =
        use == ShareUse::leftoverCapacity || (use == ShareUse::oneBeyond && placed == 0);
    if (!mayExceedShare && !state_.isWithinShare(job)) {
      progress.limit = PlacementLimit::fairShare;
      break;
    }
    std::pop_heap(heap.begin(), heap.end(), soonestFirst);
    const std::size_t at = heap.back().bin;
    heap.pop_back();
    Bin& bin = state_.bins[at];
    // A zone that accepts no more tasks accepts none for the rest of the round.
    if (!state_.zoneAccepts(job, bin.machine->zone)) continue;
    state_.assign(bin, job, index++);
    ++placed;
    if (!job.spec.taskResources.fitsIn(bin.freeCapacity)) continue;
    heap.push_back(BinChoice{startDelayS(bin, job), at});
    std::push_heap(heap.begin(), heap.end(), soonestFirst);
  }
  progress.placed += placed;
}

}  // namespace reachhoist::placement
