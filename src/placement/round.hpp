// One placement round. Internal to the package; `planner.hpp` is what others use.
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

// Places the waiting jobs in their order, and preempts for those that find no capacity.
class Round {
 public:
  // `input` must outlive the round.
  explicit Round(const SchedulingInput& input);
  Round(const Round&) = delete;
  Round& operator=(const Round&) = delete;

  // Decides on all waiting jobs. To be called once.
  PlacementPlan run();

 private:
  // A job whose group has reached its fair share; it is placed last.
  struct DeferredJob {
    QueuedJob queued;
    PlacementProgress progress;
  };
  void placeJob(const QueuedJob& queued);
  // Places tasks of a job that is not a gang; adds the rest to the unplaced demand and preempts for it.
  void placeTasks(const QueuedJob& queued, PlacementProgress progress, ShareUse use);
  // A few tasks of a job that is at fault, where there is capacity. Nothing is preempted and no instance is
  // requested for it.
  void retryJobAtFault(Job& job);
  // Jobs whose groups have reached their fair shares get the capacity that no entitled job waits for.
  void placeDeferredJobs();
  void placeDeferredJob(const QueuedJob& queued, PlacementProgress progress);
  // Whether a job below its entitlement waits for capacity on the bin.
  bool isAwaited(const Bin& bin) const;
  // Places up to `most` tasks, if the transaction has a condition left for the job.
  void placeUpTo(Job& job, std::uint32_t most, ShareUse use, PlacementProgress& progress);
  // Adds the tasks of the job that its team's quota lets start, and returns their number.
  std::uint32_t addUnplaced(const Job& job, std::uint32_t tasks);

  RoundState state_;
  TaskPlacer tasks_;
  GangPlacer gangs_;
  RankPreemptor rankPreemptor_;
  SharePreemptor sharePreemptor_;
  std::vector<DeferredJob> deferredJobs_;
};

}  // namespace reachhoist::placement
