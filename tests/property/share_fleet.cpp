#include "property/share_fleet.hpp"

#include <algorithm>

namespace share_fleet {

namespace {
constexpr int kMaxRounds = 400;
const wire::Resources kMachineCapacity{16, 0, 64};
constexpr std::chrono::milliseconds kRoundInterval{20};
constexpr double kOvercommitTolerance = 1e-6;
}  // namespace

ShareFleet::ShareFleet(std::size_t machineCount, const std::vector<double>& weights, double reclaimStep) {
  settings_.workers.heartbeatIntervalS = 1.5;
  settings_.teams.push_back({"t", 0, 0, 0, 0});
  settings_.operators.shares.enabled = true;
  settings_.operators.shares.reclaimStep = reclaimStep;
  setWeights(weights);
  for (std::size_t i = 0; i < machineCount; ++i) {
    machines::Machine& machine = machines_.emplace_back();
    machine.host.text = "vm-" + std::to_string(i);
    machine.machineType = "small";
    machine.zone = "a";
    machine.capacity = kMachineCapacity;
    machine.phase = machines::MachinePhase::up;
    machine.contact.tokenAcknowledged = true;
  }
}

void ShareFleet::setWeights(const std::vector<double>& weights) {
  table_.shares.clear();
  ++table_.generation;
  for (std::size_t i = 0; i < weights.size(); ++i)
    table_.shares.push_back(shares::Share{{"", "c" + std::to_string(i)}, weights[i]});
}

void ShareFleet::submit(const JobShape& shape) {
  jobs::Job& job = jobs_.emplace_back();
  job.spec.ref.text = "job-" + std::to_string(jobs_.size());
  job.spec.jobClass = "c" + std::to_string(shape.group);
  job.spec.team = "t";
  job.spec.kind = shape.isGang ? wire::JobKind::gang : wire::JobKind::array;
  job.spec.taskCount = shape.taskCount;
  job.spec.taskResources = shape.taskResources;
  job.spec.image = "img";
  job.beginTracking(now_);
}

std::vector<machines::Machine*> ShareFleet::machines() {
  std::vector<machines::Machine*> pointers;
  for (machines::Machine& machine : machines_) pointers.push_back(&machine);
  return pointers;
}

std::vector<const jobs::Job*> ShareFleet::openJobs() const {
  std::vector<const jobs::Job*> pointers;
  for (const jobs::Job& job : jobs_) pointers.push_back(&job);
  return pointers;
}

placement::PlacementPlan ShareFleet::runRound() {
  now_ += kRoundInterval;
  for (machines::Machine& machine : machines_) machine.contact.lastHeartbeatAt = now_;
  placement::SchedulingInput input{settings_, now_, 0, {}, openJobs(), machines()};
  input.maxJobs = input.maxTasks = 100'000;
  if (sharesEnabled_) input.shares = &table_;
  input.canPreemptForShares = true;
  for (jobs::Job& job : jobs_)
    if (job.waitingCount > 0) input.waitingJobs.push_back(&job);
  placement::PlacementPlan plan = placement::planPlacements(input);
  apply(plan);
  return plan;
}

void ShareFleet::apply(const placement::PlacementPlan& plan) {
  for (const placement::Assignment& assignment : plan.assignments) {
    machines::Attempt attempt;
    attempt.task = wire::TaskId{assignment.job->spec.ref, assignment.taskIndex};
    attempt.number = ++lastAttemptNumber_;
    attempt.resources = assignment.job->spec.taskResources;
    attempt.team = assignment.job->spec.team;
    attempt.isGangMember = assignment.job->isGang();
    if (attempt.isGangMember) attempt.number = std::hash<std::string>{}(assignment.job->spec.ref.text);
    attempt.phase = machines::AttemptPhase::running;
    attempt.runningSince = attempt.placedAt = attempt.phaseSince = now_;
    assignment.machine->attempts.push_back(std::move(attempt));
    assignment.job->setTaskPhase(assignment.taskIndex, jobs::TaskPhase::placed, now_);
    ++assignmentCount_;
  }
  for (const placement::Preemption& preemption : plan.preemptions) {
    machines::Attempt* attempt = preemption.machine->find(preemption.task, preemption.attemptNumber);
    if (attempt->isGangMember) {
      stopGang(attempt->task.job.text);
    } else {
      attempt->stopRequested = true;
    }
  }
}

void ShareFleet::stopGang(const std::string& ref) {
  for (machines::Machine& machine : machines_)
    for (machines::Attempt& attempt : machine.attempts)
      if (attempt.task.job.text == ref) attempt.stopRequested = true;
}

void ShareFleet::removeStoppedAttempts() {
  for (machines::Machine& machine : machines_) {
    for (const machines::Attempt& attempt : machine.attempts) {
      if (!attempt.stopRequested) continue;
      const auto job = std::find_if(jobs_.begin(), jobs_.end(), [&](const jobs::Job& candidate) {
        return candidate.spec.ref == attempt.task.job;
      });
      job->setTaskPhase(attempt.task.index, jobs::TaskPhase::waiting, now_);
    }
    std::erase_if(machine.attempts, [](const machines::Attempt& attempt) { return attempt.stopRequested; });
  }
}

int ShareFleet::runUntilStable() {
  int preemptionCount = 0;
  for (int round = 0; round < kMaxRounds; ++round) {
    const placement::PlacementPlan plan = runRound();
    preemptionCount += static_cast<int>(plan.preemptions.size());
    if (plan.assignments.empty() && plan.preemptions.empty()) return preemptionCount;
    removeStoppedAttempts();
  }
  return -1;
}

std::vector<shares::GroupShare> ShareFleet::fairShares() {
  const auto jobs = openJobs();
  const auto usage = shares::takeUsageSnapshot(table_, settings_, machines(), jobs,
                                               placement::shareExemption(settings_, jobs));
  return shares::allocateFairShares(usage.capacity, usage.loads);
}

double ShareFleet::dominantShareOf(const wire::Resources& taskResources) const {
  const double machineCount = static_cast<double>(machines_.size());
  return shares::dominantShare(
      taskResources, {kMachineCapacity.vcpus * machineCount, 0, kMachineCapacity.memoryGb * machineCount});
}

bool ShareFleet::hasOvercommittedMachine() const {
  return std::any_of(machines_.begin(), machines_.end(), [](const machines::Machine& machine) {
    const wire::Resources freeCapacity = machine.freeCapacity();
    return freeCapacity.vcpus < -kOvercommitTolerance || freeCapacity.memoryGb < -kOvercommitTolerance;
  });
}

}  // namespace share_fleet
