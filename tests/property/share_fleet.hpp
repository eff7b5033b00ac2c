// A simulated fleet for properties and measurements of fair shares. It has no controllers and no workers: it
// applies each placement plan immediately, and its time advances only with the placement rounds.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "placement/planner.hpp"

namespace share_fleet {

using namespace reachhoist;

// A job whose tasks run until they are preempted.
struct JobShape {
  std::size_t group = 0;  // its class is "c<group>"
  std::uint32_t taskCount = 1;
  wire::Resources taskResources{2, 0, 8};
  bool isGang = false;
};

// Places the tasks of jobs on machines of one type. All jobs belong to one team. The fair-share groups are
// the job classes "c0", "c1", ..., one for each weight.
class ShareFleet {
 public:
  ShareFleet(std::size_t machineCount, const std::vector<double>& weights, double reclaimStep = 1);
  void setWeights(const std::vector<double>& weights);
  // Fair shares are enabled at first. While they are disabled, placement ignores the weights.
  void setSharesEnabled(bool enabled) { sharesEnabled_ = enabled; }
  void submit(const JobShape& shape);
  // Plans one placement round and applies the plan. Assigned tasks run immediately. Preempted attempts are
  // only marked, and keep their capacity until `removeStoppedAttempts`.
  placement::PlacementPlan runRound();
  // Removes the attempts that are marked for preemption. Their tasks wait again.
  void removeStoppedAttempts();
  // Runs rounds until a plan is empty. Returns the number of preemptions, or -1 if no plan is empty within
  // the maximum number of rounds.
  int runUntilStable();

  // The shares of each group, in the order of the weights. The last group is that of all other jobs.
  std::vector<shares::GroupShare> fairShares();
  // The dominant share of the fleet that one task of this size takes.
  double dominantShareOf(const wire::Resources& taskResources) const;
  // Whether the attempts on any machine exceed its capacity.
  bool hasOvercommittedMachine() const;
  // The number of assignments of all rounds.
  std::size_t assignmentCount() const { return assignmentCount_; }
  // The number of placed tasks of the job; `jobIndex` is its position in the order of submission.
  std::uint32_t placedCountOf(std::size_t jobIndex) const { return jobs_[jobIndex].placedCount; }

 private:
  std::vector<machines::Machine*> machines();
  std::vector<const jobs::Job*> openJobs() const;
  void apply(const placement::PlacementPlan& plan);
  void stopGang(const std::string& ref);

  config::Settings settings_;
  shares::Table table_;
  bool sharesEnabled_ = true;
  std::deque<machines::Machine> machines_;
  std::deque<jobs::Job> jobs_;
  std::uint64_t lastAttemptNumber_ = 0;
  std::size_t assignmentCount_ = 0;
  wire::Time now_ = wire::Time{} + std::chrono::hours(1);
};

}  // namespace share_fleet
