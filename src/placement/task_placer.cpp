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

void TaskPlacer::place(Job& job, std::uint32_t taskLimit, ShareUse use, PlacementProgress& progress) {
  // The tasks of a job need the same resources, so the bins are ranked once. After each placement only the
  // used bin is ranked again.
  std::vector<BinChoice> heap = findChoices(job, use);
  const std::greater<> soonestFirst;
  std::make_heap(heap.begin(), heap.end(), soonestFirst);
  std::uint32_t placedCount = 0;
  std::uint32_t& taskIndex = progress.nextTaskIndex;
  while (!heap.empty() && placedCount < taskLimit && state_.plan.assignments.size() < state_.input.maxTasks) {
    while (taskIndex < job.spec.taskCount && job.tasks[taskIndex] != jobs::TaskPhase::waiting) ++taskIndex;
    if (taskIndex >= job.spec.taskCount) break;
    if (!state_.quotas.allows(job)) {
      progress.limit = PlacementLimit::teamQuota;
      break;
    }
    const bool canExceedShare =
        use == ShareUse::leftoverCapacity || (use == ShareUse::oneTaskBeyondShare && placedCount == 0);
    if (!canExceedShare && !state_.isWithinShare(job)) {
      progress.limit = PlacementLimit::fairShare;
      break;
    }
    std::pop_heap(heap.begin(), heap.end(), soonestFirst);
    const std::size_t binIndex = heap.back().binIndex;
    heap.pop_back();
    Bin& bin = state_.bins[binIndex];
    // The bin is dropped, because a zone that accepts no task of the job now accepts none in this round.
    if (!state_.zoneAccepts(job, bin.machine->zone)) continue;
    state_.assign(bin, job, taskIndex++);
    ++placedCount;
    if (!job.spec.taskResources.fitsIn(bin.freeCapacity)) continue;
    heap.push_back(BinChoice{startDelayS(bin, job), binIndex});
    std::push_heap(heap.begin(), heap.end(), soonestFirst);
  }
  progress.placedCount += placedCount;
}

}  // namespace reachhoist::placement
