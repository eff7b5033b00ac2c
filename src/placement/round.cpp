// One placement round; see round.hpp.
#include "placement/round.hpp"

#include <algorithm>
#include <utility>

namespace reachhoist::placement {

namespace {

// The number of tasks of the job that one round can start. Of a starved job it is only a part, so that all
// starved jobs get some capacity.
std::uint32_t tasksPerRound(const QueuedJob& queued) {
  const std::uint32_t waiting = queued.job->waitingCount;
  return queued.tier == JobTier::starved ? std::max(1U, waiting / constants::kStarvedJobDivisor) : waiting;
}

}  // namespace

Round::Round(const SchedulingInput& input)
    : state_(input),
      taskPlacer_(state_),
      gangPlacer_(state_),
      rankPreemptor_(state_),
      sharePreemptor_(state_) {}

PlacementPlan Round::run() {
  for (const QueuedJob& queued : orderJobs(state_)) placeJob(queued);
  if (state_.shareAccount) placeDeferredJobs();
  return std::move(state_.plan);
}

void Round::placeJob(const QueuedJob& queued) {
  Job& job = *queued.job;
  if (job.waitingCount == 0) return;
  if (std::max(job.backoffUntil, job.failures.backoffUntil()) > state_.input.now) return;
  const PlacementProgress progress{job.firstWaitingIndex, 0, PlacementLimit::none};
  // A starved job without a placed task starts a task even if its group has reached its fair share.
  const bool needsFirstTask = queued.tier == JobTier::starved && job.placedCount == 0;
  if (!needsFirstTask && !state_.isWithinShare(job)) {
    deferredJobs_.push_back(DeferredJob{queued, progress});
    return;
  }
  if (job.isGang()) return gangPlacer_.place(job);
  if (job.failures.isJobAtFault()) return retryJobAtFault(job);
  placeTasks(queued, progress, needsFirstTask ? ShareUse::oneTaskBeyondShare : ShareUse::withinShare);
}

void Round::placeTasks(const QueuedJob& queued, PlacementProgress progress, ShareUse use) {
  Job& job = *queued.job;
  const std::uint32_t taskLimit = tasksPerRound(queued);
  placeUpTo(job, taskLimit, use, progress);
  const std::uint32_t remaining = job.waitingCount - progress.placedCount;
  if (remaining == 0 || progress.limit == PlacementLimit::teamQuota) return;
  if (progress.limit == PlacementLimit::fairShare) {
    deferredJobs_.push_back(DeferredJob{queued, progress});
    return;
  }
  const std::uint32_t unplaced = addUnplaced(job, remaining);
  if (unplaced == 0 || state_.plan.assignments.size() >= state_.input.maxTasks) return;
  const std::uint32_t requested = std::min(unplaced, taskLimit);
  const std::uint32_t coveredTasks =
      queued.canPreemptByRank() ? rankPreemptor_.preemptFor(job, requested) : 0;
  if (state_.shareAccount) sharePreemptor_.preemptFor(job, requested, coveredTasks);
}

void Round::retryJobAtFault(Job& job) {
  if (job.placedCount >= constants::kJobAtFaultTrialTasks) return;
  PlacementProgress progress{job.firstWaitingIndex, 0, PlacementLimit::none};
  placeUpTo(job, constants::kJobAtFaultTrialTasks - job.placedCount, ShareUse::withinShare, progress);
}

void Round::placeUpTo(Job& job, std::uint32_t taskLimit, ShareUse use, PlacementProgress& progress) {
  if (!state_.canPlaceAnotherJob()) return;
  const std::uint32_t placedBefore = progress.placedCount;
  taskPlacer_.place(job, taskLimit, use, progress);
  if (progress.placedCount > placedBefore) ++state_.placedJobCount;
}

std::uint32_t Round::addUnplaced(const Job& job, std::uint32_t taskCount) {
  const std::uint32_t unplaced = state_.quotas.tasksWithinLimit(job, taskCount);
  if (unplaced > 0) state_.plan.unplaced.push_back(UnplacedDemand{&job, unplaced});
  return unplaced;
}

void Round::placeDeferredJobs() {
  // It is enough to compute this once: deferred jobs take no capacity on awaited bins, and on the other bins
  // the capacity only shrinks.
  for (Bin& bin : state_.bins) bin.awaited = isAwaited(bin);
  for (const DeferredJob& deferred : std::exchange(deferredJobs_, {}))
    placeDeferredJob(deferred.queued, deferred.progress);
}

void Round::placeDeferredJob(const QueuedJob& queued, PlacementProgress progress) {
  Job& job = *queued.job;
  if (job.isGang()) {
    if (state_.entitledJobs.empty()) return gangPlacer_.place(job);
    state_.plan.unplaced.push_back(UnplacedDemand{&job, job.spec.taskCount});
    return;
  }
  if (job.failures.isJobAtFault()) return;
  progress.limit = PlacementLimit::none;
  const std::uint32_t taskLimit = tasksPerRound(queued);
  placeUpTo(job, taskLimit - std::min(progress.placedCount, taskLimit), ShareUse::leftoverCapacity, progress);
  if (progress.limit == PlacementLimit::teamQuota) return;
  // The remaining tasks count as unplaced demand like those of other jobs: the fleet scales out for all
  // waiting tasks, while fair shares divide the present capacity.
  addUnplaced(job, job.waitingCount - progress.placedCount);
}

bool Round::isAwaited(const Bin& bin) const {
  const wire::Resources capacity = bin.capacityAfterStops();
  return std::any_of(state_.entitledJobs.begin(), state_.entitledJobs.end(), [&](const Job* job) {
    return job->spec.taskResources.fitsIn(capacity) && isUsable(bin, *job);
  });
}

}  // namespace reachhoist::placement
