#include "standin/waiting_jobs_monitor.hpp"

#include <algorithm>

#include "placement/planner.hpp"
#include "standin/world.hpp"

namespace standin {

namespace {
constexpr double kCheckIntervalS = 1;
constexpr double kSlackCpus = 1e-6;
}  // namespace

void WaitingJobsMonitor::start() {
  world_.sim.after(kCheckIntervalS, [this] {
    start();
    if (world_.checker.haveFaultsEnded()) check();
  });
}

void WaitingJobsMonitor::check() const {
  for (const auto& [ref, plan] : world_.workload.jobs) {
    const bool isRunnable =
        hasWaitingTask(ref, plan) && isWithinQuota(plan.spec) && hasCapacityFor(plan.spec);
    world_.checker.reportRunnable(world_.sim.now(), ref, isRunnable);
  }
}

bool WaitingJobsMonitor::hasWaitingTask(const std::string& ref, const JobPlan& plan) const {
  const bool isOpen = world_.users.isAccepted(ref) && !world_.checker.isCancelled(ref) && !plan.alwaysFails &&
                      world_.users.lastStage(ref) != "done";
  if (!isOpen) return false;
  for (std::uint32_t i = 0; i < plan.spec.taskCount; ++i) {
    const wire::TaskId task{plan.spec.ref, i};
    if (world_.workload.finishedTasks.contains(task)) continue;
    const bool isPlaced = std::any_of(world_.workers.begin(), world_.workers.end(), [&](const auto& entry) {
      return entry.second->isAlive() && entry.second->hasOpenAttempt(task);
    });
    if (!isPlaced) return true;
  }
  return false;
}

bool WaitingJobsMonitor::isWithinQuota(const wire::JobSpec& spec) const {
  const auto quota = world_.checker.quotaCpusByTeam().find(spec.team);
  if (quota == world_.checker.quotaCpusByTeam().end() || quota->second <= 0) return true;
  double usedCpus = 0;
  for (const auto& [host, worker] : world_.workers)
    usedCpus += worker->isAlive() ? worker->cpusOfTeam(spec.team) : 0;
  return usedCpus + spec.taskResources.vcpus <= quota->second + kSlackCpus;
}

bool WaitingJobsMonitor::hasCapacityFor(const wire::JobSpec& spec) const {
  const auto countByZone = world_.checker.runningTaskCountByZone(spec.ref.text);
  return std::any_of(world_.workers.begin(), world_.workers.end(), [&](const auto& entry) {
    const Worker& worker = *entry.second;
    return worker.isServing() && !worker.isHung() &&
           reachhoist::placement::isEligible(spec, worker.machineType(), worker.zone(), worker.spot()) &&
           reachhoist::placement::zoneSpreadAllows(spec, countByZone, worker.zone()) &&
           spec.taskResources.fitsIn(worker.freeCapacity());
  });
}

}  // namespace standin
