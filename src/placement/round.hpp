// One placement round. Internal to the package; other packages use `planner.hpp`.
#pragma once

#include <cstdint>
#include <vector>

#include "placement/gang_placer.hpp"
#include "placement/job_order.hpp"
#include "placement/rank_preemptor.hpp"
#include "placement/round_state.hpp"
#include "placement/share_preemptor.hpp"
#include "placement/task_placer.hpp"

namespace reachhoist::placement {

// Places the waiting jobs in their order, and preempts attempts for jobs that find no capacity.
class Round {
 public:
  // `input` must outlive the round.
  explicit Round(const SchedulingInput& input);
  Round(const Round&) = delete;
  Round& operator=(const Round&) = delete;

  // Plans all waiting jobs. Must be called only once.
  PlacementPlan run();

 private:
  // A job whose group has reached its fair share. It is placed after all others.
  struct DeferredJob {
    QueuedJob queued;
    PlacementProgress progress;
  };
  void placeJob(const QueuedJob& queued);
  // Places tasks of a job that is not a gang. Adds the rest to the unplaced demand and preempts attempts for
  // these tasks.
  void placeTasks(const QueuedJob& queued, PlacementProgress progress, ShareUse use);
  // Places a few tasks of a job that is at fault, where there is capacity. The round preempts no attempt and
  // adds no unplaced demand for such a job, so that no instance is requested for it.
  void retryJobAtFault(Job& job);
  // Places the deferred jobs on the capacity that no job below its entitlement waits for.
  void placeDeferredJobs();
  void placeDeferredJob(const QueuedJob& queued, PlacementProgress progress);
  // Whether a job below its entitlement waits for capacity on the bin.
  bool isAwaited(const Bin& bin) const;
  // Places up to `taskLimit` tasks, if the transaction has a condition left for the job.
  void placeUpTo(Job& job, std::uint32_t taskLimit, ShareUse use, PlacementProgress& progress);
  // Adds those of the given tasks that the team's quota allows to start to the unplaced demand, and returns
  // their number.
  std::uint32_t addUnplaced(const Job& job, std::uint32_t taskCount);

  RoundState state_;
  TaskPlacer taskPlacer_;
  GangPlacer gangPlacer_;
  RankPreemptor rankPreemptor_;
  SharePreemptor sharePreemptor_;
  std::vector<DeferredJob> deferredJobs_;
};

}  // namespace reachhoist::placement
