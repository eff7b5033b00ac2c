// Monitors jobs that wait although they are runnable.
#pragma once

#include <string>

#include "standin/workload.hpp"

namespace standin {

class World;

// Reports every second to the checker which jobs are runnable: they have waiting tasks, one of which fits a
// machine and their team's quota.
class WaitingJobsMonitor {
 public:
  explicit WaitingJobsMonitor(World& world) : world_(world) {}
  void start();

 private:
  void check() const;
  bool hasWaitingTask(const std::string& ref, const JobPlan& plan) const;
  bool isWithinQuota(const reachhoist::wire::JobSpec& spec) const;
  // Whether a machine has capacity for one more task of the job.
  bool hasCapacityFor(const reachhoist::wire::JobSpec& spec) const;

  World& world_;
};

}  // namespace standin
