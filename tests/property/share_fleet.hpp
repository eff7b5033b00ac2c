// A fleet for properties and measurements of shares, in which placement plans are applied at once: without
// controllers and workers, and without time beyond scheduling rounds.
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
  std::uint32_t tasks = 1;
  wire::Resources each{2, 0, 8};
  bool gang = false;
};

class ShareFleet {
 public:
  ShareFleet(std::size_t machines, const std::vector<double>& weights, double step = 1);
  void setWeights(const std::vector<double>& weights);
  // Without shares, capacity is not divided among the groups.
  void enableShares(bool on) { on_ = on; }
  void submit(const JobShape& shape);
  // Plans one round and applies it: assigned tasks run, tasks to preempt are marked but keep their capacity.
  placement::PlacementPlan runRound();
  // Tasks marked for preemption end and wait again.
  void removeStopped();
  // Runs rounds until nothing changes; returns the number of preempted tasks, or -1 if that takes too many
  // rounds.
  int runUntilStable();

  std::vector<shares::GroupShare> fairShares();
  // The dominant share of the fleet that one task of this size takes.
  double dominantShareOf(const wire::Resources& each) const;
  bool hasOverfullMachine() const;
  std::size_t assigned() const { return assigned_; }
  std::uint32_t placedOf(std::size_t job) const { return jobs_[job].placedCount; }

 private:
  std::vector<machines::Machine*> machines();
  std::vector<const jobs::Job*> open() const;
  void apply(const placement::PlacementPlan& plan);
  void stopGang(const std::string& ref);

  config::Settings settings_;
  shares::Table table_;
  bool on_ = true;
  std::deque<machines::Machine> machines_;
  std::deque<jobs::Job> jobs_;
  std::uint64_t attempts_ = 0;
  std::size_t assigned_ = 0;
  wire::Time now_ = wire::Time{} + std::chrono::hours(1);
};

}  // namespace share_fleet
