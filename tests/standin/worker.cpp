// The machine: boot, faults, lease and used resources.
#include "standin/worker.hpp"

#include <algorithm>
#include <utility>

#include "standin/world.hpp"

namespace standin {

namespace {
constexpr double kTickIntervalS = 0.1;
constexpr double kResumeDelayS = 0.001;
}  // namespace

Worker::Worker(World& world, MachineInfo info) : world_(world), info_(std::move(info)) {}

bool Worker::isHung() const { return world_.sim.now() < hungUntilS_; }

void Worker::schedule(double delayS, std::function<void()> action) {
  world_.sim.after(delayS, [this, action = std::move(action)] {
    if (!isAlive_) return;
    if (isHung()) return schedule(hungUntilS_ - world_.sim.now() + kResumeDelayS, action);
    action();
  });
}

void Worker::boot() {
  hasBooted_ = true;
  leaseRenewedAtS_ = world_.sim.now();
  nextHeartbeatAtS_ = world_.sim.now();
  controllerIndex_ = world_.sim.randomIndex(world_.controllers.count());
  const auto tick = [this](auto&& self) -> void {
    checkLease();
    tryHeartbeat();
    schedule(kTickIntervalS, [self] { self(self); });
  };
  schedule(0, [tick] { tick(tick); });
}

void Worker::kill() {
  isAlive_ = false;
  dropAllTasks();
}

void Worker::hang(double durationS) {
  hungUntilS_ = world_.sim.now() + durationS;
  checkLeaseWhileHung();
  // The peers of a gang's task detect the hang unless the machine resumes within gangStopWindowS. The task
  // itself detects it when the machine resumes.
  for (const auto& [key, attempt] : attempts_) {
    if (attempt.state != TaskState::running || !world_.workload.isGang(key.task)) continue;
    world_.sim.after(world_.baseSettings.workers.gangStopWindowS, [this, key = key] {
      if (!isAlive_ || !isHung() || !attempts_.contains(key)) return;
      world_.gangs.onTaskGone(key.task, key.attempt);
      schedule(0, [this, key] { endGangTask(key.task, key.attempt, "peers"); });
    });
  }
}

void Worker::giveSpotNotice(double noticeS) {
  spotNoticeS_ = noticeS;
  scheduleEarlyHeartbeat();
}

void Worker::checkLeaseWhileHung() {
  if (!isAlive_ || !isHung()) return;
  checkLease();
  world_.sim.after(kTickIntervalS, [this] { checkLeaseWhileHung(); });
}

void Worker::checkLease() {
  const double leaseS = world_.baseSettings.workers.leaseS;
  if (world_.workerClockS(world_.sim.now() - leaseRenewedAtS_) <= leaseS) return;
  const double faultUntilS =
      std::max({hungUntilS_, inboundPartitionUntilS, outboundPartitionUntilS}) + leaseS;
  if (world_.sim.now() > faultUntilS || faultUntilS == leaseS) ++world_.counters.leasesLost;
  dropAllTasks();
  ++incarnation_;
  leaseRenewedAtS_ = world_.sim.now();
  scheduleEarlyHeartbeat();
}

void Worker::dropAllTasks() {
  for (auto& [key, attempt] : std::exchange(attempts_, {})) {
    if (!attempt.hasProcess()) continue;
    world_.checker.onTaskEnded(world_.sim.now(), key.task, host(), false);
    if (world_.workload.isGang(key.task)) world_.gangs.onTaskGone(key.task, key.attempt);
  }
}

wire::Resources Worker::freeCapacity() const {
  wire::Resources capacity = world_.cloud.machineType(machineType())->type.capacity;
  for (const auto& [key, attempt] : attempts_)
    if (!attempt.ended()) capacity -= world_.workload.jobOf(key.task).spec.taskResources;
  return capacity;
}

double Worker::cpusOfTeam(const std::string& team) const {
  return cpusWhere([&](const wire::JobSpec& spec) { return spec.team == team; });
}

double Worker::cpusOfClass(const std::string& jobClass) const {
  return cpusWhere([&](const wire::JobSpec& spec) { return spec.jobClass == jobClass; });
}

double Worker::cpusWhere(const std::function<bool(const wire::JobSpec&)>& matches) const {
  double cpus = 0;
  for (const auto& [key, attempt] : attempts_) {
    if (attempt.ended()) continue;
    const wire::JobSpec& spec = world_.workload.jobOf(key.task).spec;
    if (matches(spec)) cpus += spec.taskResources.vcpus;
  }
  return cpus;
}

bool Worker::hasOpenAttempt(const wire::TaskId& task) const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [&](const auto& entry) { return entry.first.task == task && !entry.second.ended(); });
}

}  // namespace standin
