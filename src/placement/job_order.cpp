// The order in which a placement round serves the waiting jobs; see job_order.hpp.
#include "placement/job_order.hpp"

#include <algorithm>

#include "placement/slo.hpp"

namespace reachhoist::placement {

namespace {

// The tier of a job of high priority. One whose tasks an overdue job can preempt goes after that job.
// Otherwise the preempted job would take the freed capacity in every round.
JobTier highPriorityTier(const RoundState& state, const Job& job, bool isAnyOverdue) {
  const bool isBeyondGuarantee =
      isAnyOverdue && !state.isWithinGuarantee(job.spec.ref.text) && state.quotas.wouldExceedGuarantee(job);
  return isBeyondGuarantee ? JobTier::highPriorityBeyondGuarantee : JobTier::highPriority;
}

QueuedJob toQueuedJob(const RoundState& state, Job& job, bool isAnyOverdue) {
  if (job.spec.priority >= wire::Priority::high)
    return QueuedJob{&job, highPriorityTier(state, job, isAnyOverdue), 0};
  const SloOutlook outlook = sloOutlook(job, state.input.settings, state.input.wallClockMs);
  if (state.isOverdueWithinGuarantee(job))
    return QueuedJob{&job, JobTier::overdueGuaranteed, outlook.latestStartMs};
  if (state.isWithinGuarantee(job.spec.ref.text))
    return QueuedJob{&job, JobTier::guaranteed, outlook.latestStartMs};
  const bool isStarved = (state.shareAccount && state.shareAccount->lacksGuaranteedTask(job)) ||
                         state.input.now - job.lastPlacedAt > constants::kStarvationTimeout;
  if (isStarved) return QueuedJob{&job, JobTier::starved, job.acceptedAtMs};
  const JobTier tier = outlook.reachable ? JobTier::sloReachable : JobTier::sloUnreachable;
  return QueuedJob{&job, tier, outlook.latestStartMs};
}

bool isServedBefore(const QueuedJob& a, const QueuedJob& b) {
  if (a.tier != b.tier) return a.tier < b.tier;
  // A job that can preempt another by rank goes before it. Otherwise the preempted job would take the freed
  // capacity in every round.
  if (a.canPreemptByRank() && a.job->spec.priority != b.job->spec.priority)
    return a.job->spec.priority > b.job->spec.priority;
  if (a.latestStartMs != b.latestStartMs) return a.latestStartMs < b.latestStartMs;
  return a.job->acceptedAtMs < b.job->acceptedAtMs;
}

}  // namespace

std::vector<QueuedJob> orderJobs(const RoundState& state) {
  std::vector<QueuedJob> order;
  order.reserve(state.input.waitingJobs.size());
  const bool isAnyOverdue = std::any_of(
      state.input.waitingJobs.begin(), state.input.waitingJobs.end(),
      [&state](const Job* job) { return job->waitingCount > 0 && state.isOverdueWithinGuarantee(*job); });
  for (Job* job : state.input.waitingJobs) order.push_back(toQueuedJob(state, *job, isAnyOverdue));
  std::stable_sort(order.begin(), order.end(), isServedBefore);
  return order;
}

}  // namespace reachhoist::placement
