// Watches for jobs that wait although they could run.
#pragma once

#include <string>

#include "standin/workload.hpp"

namespace standin {

class World;

// Tells the checker every second which jobs have waiting tasks that fit a machine within their team's quota.
class WaitingJobsMonitor {
 public:
  explicit WaitingJobsMonitor(World& world) : world_(world) {}
  void start();

 private:
  void check() const;
  bool hasWaitingTask(const std::string& ref, const JobPlan& plan) const;
  bool withinQuota(const reachhoist::wire::JobSpec& spec) const;
  // Whether a machine has capacity for one more task of the job.
  bool hasCapacityFor(const reachhoist::wire::JobSpec& spec) const;

  World& world_;
};

}  // namespace standin
