// One placement round; see round.hpp.
#include "placement/round.hpp"

#include <algorithm>
#include <utility>

namespace reachhoist::placement {

namespace {

// Tasks of the job that one round may start: of a starved job only a part, so that all starved jobs get some.
std::uint32_t tasksPerRound(const QueuedJob& queued) {
  const std::uint32_t waiting = queued.job->waitingCount;
  return queued.tier == JobTier::starved ? std::max(1U, waiting / constants::kStarvedJobDivisor) : waiting;
}

}  // namespace

Round::Round(const SchedulingInput& input)
    : state_(input), tasks_(state_), gangs_(state_), rankPreemptor_(state_), sharePreemptor_(state_) {}

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
  // A starved job of which nothing runs gets a start even if its group has reached its fair share.
  const bool mustStart = queued.tier == JobTier::starved && job.placedCount == 0;
  if (!mustStart && !state_.isWithinShare(job)) {
    deferredJobs_.push_back(DeferredJob{queued, progress});
    return;
  }
  if (job.isGang()) return gangs_.place(job);
  if (job.failures.isJobAtFault()) return retryJobAtFault(job);
  placeTasks(queued, progress, mustStart ? ShareUse::oneBeyond : ShareUse::withinShare);
}

void Round::placeTasks(const QueuedJob& queued, PlacementProgress progress, ShareUse use) {
  Job& job = *queued.job;
  const std::uint32_t most = tasksPerRound(queued);
  placeUpTo(job, most, use, progress);
  const std::uint32_t left = job.waitingCount - progress.placed;
  if (left == 0 || progress.limit == PlacementLimit::teamQuota) return;
  if (progress.limit == PlacementLimit::fairShare) {
    deferredJobs_.push_back(DeferredJob{queued, progress});
    return;
  }
  const std::uint32_t unplaced = addUnplaced(job, left);
  if (unplaced == 0 || state_.plan.assignments.size() >= state_.input.maxTasks) return;
  const std::uint32_t wanted = std::min(unplaced, most);
  const std::uint32_t covered = queued.mayPreemptByRank() ? rankPreemptor_.preemptFor(job, wanted) : 0;
  if (state_.shareAccount) sharePreemptor_.preemptFor(job, wanted, covered);
}

void Round::retryJobAtFault(Job& job) {
  if (job.placedCount >= constants::kFaultyJobTrialTasks) return;
  PlacementProgress progress{job.firstWaitingIndex, 0, PlacementLimit::none};
  placeUpTo(job, constants::kFaultyJobTrialTasks - job.placedCount, ShareUse::withinShare, progress);
}

void Round::placeUpTo(Job& job, std::uint32_t most, ShareUse use, PlacementProgress& progress) {
  if (!state_.mayPlaceAnotherJob()) return;
  const std::uint32_t before = progress.placed;
  tasks_.place(job, most, use, progress);
  if (progress.placed > before) ++state_.placedJobs;
}

std::uint32_t Round::addUnplaced(const Job& job, std::uint32_t tasks) {
  const std::uint32_t unplaced = state_.quotas.tasksWithinLimit(job, tasks);
  if (unplaced > 0) state_.plan.unplaced.push_back(UnplacedDemand{&job, unplaced});
  return unplaced;
}

void Round::placeDeferredJobs() {
  // Computed once: no job takes capacity on awaited bins, and on the others capacity only shrinks.
  for (Bin& bin : state_.bins) bin.awaited = isAwaited(bin);
  for (const DeferredJob& deferred : std::exchange(deferredJobs_, {}))
    placeDeferredJob(deferred.queued, deferred.progress);
}

void Round::placeDeferredJob(const QueuedJob& queued, PlacementProgress progress) {
  Job& job = *queued.job;
  if (job.isGang()) {
    if (state_.entitledJobs.empty()) return gangs_.place(job);
    state_.plan.unplaced.push_back(UnplacedDemand{&job, job.spec.taskCount});
    return;
  }
  if (job.failures.isJobAtFault()) return;
  progress.limit = PlacementLimit::none;
  const std::uint32_t most = tasksPerRound(queued);
  placeUpTo(job, most - std::min(progress.placed, most), ShareUse::leftoverCapacity, progress);
  if (progress.limit == PlacementLimit::teamQuota) return;
  // The rest counts as unplaced as usual: the fleet scales out for all waiting work, while fair shares divide
  // the present capacity.
  addUnplaced(job, job.waitingCount - progress.placed);
}

bool Round::isAwaited(const Bin& bin) const {
  const wire::Resources capacity = bin.capacityAfterStops();
  return std::any_of(state_.entitledJobs.begin(), state_.entitledJobs.end(), [&](const Job* job) {
    return job->spec.taskResources.fitsIn(capacity) && isUsable(bin, *job);
  });
}

}  // namespace reachhoist::placement
