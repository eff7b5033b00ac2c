#include "property/share_fleet.hpp"

#include <algorithm>

namespace share_fleet {

namespace {
constexpr int kMaxRounds = 400;
const wire::Resources kMachine{16, 0, 64};
}  // namespace

ShareFleet::ShareFleet(std::size_t machines, const std::vector<double>& weights, double step) {
  settings_.workers.heartbeatIntervalS = 1.5;
  settings_.teams.push_back({"t", 0, 0, 0, 0});
  settings_.operators.shares.enabled = true;
  settings_.operators.shares.reclaimStep = step;
  setWeights(weights);
  for (std::size_t i = 0; i < machines; ++i) {
    machines::Machine& machine = machines_.emplace_back();
    machine.host.text = "vm-" + std::to_string(i);
    machine.machineType = "small";
    machine.zone = "a";
    machine.capacity = kMachine;
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
  job.spec.kind = shape.gang ? wire::JobKind::gang : wire::JobKind::array;
  job.spec.taskCount = shape.tasks;
  job.spec.taskResources = shape.each;
  job.spec.image = "img";
  job.beginTracking(now_);
}

std::vector<machines::Machine*> ShareFleet::machines() {
  std::vector<machines::Machine*> out;
  for (machines::Machine& machine : machines_) out.push_back(&machine);
  return out;
}

std::vector<const jobs::Job*> ShareFleet::open() const {
  std::vector<const jobs::Job*> out;
  for (const jobs::Job& job : jobs_) out.push_back(&job);
  return out;
}

placement::PlacementPlan ShareFleet::runRound() {
  now_ += std::chrono::milliseconds(20);
  for (machines::Machine& machine : machines_) machine.contact.lastHeartbeatAt = now_;
  placement::SchedulingInput world{settings_, now_, 0, {}, open(), machines()};
  world.maxJobs = world.maxTasks = 100'000;
  if (on_) world.shares = &table_;
  world.canPreemptForShares = true;
  for (jobs::Job& job : jobs_)
    if (job.waitingCount > 0) world.waitingJobs.push_back(&job);
  placement::PlacementPlan plan = placement::planPlacements(world);
  apply(plan);
  return plan;
}

void ShareFleet::apply(const placement::PlacementPlan& plan) {
  for (const placement::Assignment& assignment : plan.assignments) {
    machines::Attempt attempt;
    attempt.task = wire::TaskId{assignment.job->spec.ref, assignment.taskIndex};
    attempt.number = ++attempts_;
    attempt.resources = assignment.job->spec.taskResources;
    attempt.team = assignment.job->spec.team;
    attempt.isGangMember = assignment.job->isGang();
    if (attempt.isGangMember) attempt.number = std::hash<std::string>{}(assignment.job->spec.ref.text);
    attempt.phase = machines::AttemptPhase::running;
    attempt.runningSince = attempt.placedAt = attempt.phaseSince = now_;
    assignment.machine->attempts.push_back(std::move(attempt));
    assignment.job->setTaskPhase(assignment.taskIndex, jobs::TaskPhase::placed, now_);
    ++assigned_;
  }
  for (const placement::Preemption& stop : plan.preemptions) {
    machines::Attempt* attempt = stop.machine->find(stop.task, stop.attemptNumber);
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

void ShareFleet::removeStopped() {
  for (machines::Machine& machine : machines_) {
    for (const machines::Attempt& attempt : machine.attempts) {
      if (!attempt.stopRequested) continue;
      const auto job = std::find_if(jobs_.begin(), jobs_.end(),
                                    [&](const jobs::Job& one) { return one.spec.ref == attempt.task.job; });
      job->setTaskPhase(attempt.task.index, jobs::TaskPhase::waiting, now_);
    }
    std::erase_if(machine.attempts, [](const machines::Attempt& attempt) { return attempt.stopRequested; });
  }
}

int ShareFleet::runUntilStable() {
  int stops = 0;
  for (int i = 0; i < kMaxRounds; ++i) {
    const placement::PlacementPlan plan = runRound();
    stops += static_cast<int>(plan.preemptions.size());
    if (plan.assignments.empty() && plan.preemptions.empty()) return stops;
    removeStopped();
  }
  return -1;
}

std::vector<shares::GroupShare> ShareFleet::fairShares() {
  const auto jobs = open();
  const auto usage = shares::takeUsageSnapshot(table_, settings_, machines(), jobs,
                                               placement::shareExemption(settings_, jobs));
  return shares::allocateFairShares(usage.capacity, usage.loads);
}

double ShareFleet::dominantShareOf(const wire::Resources& each) const {
  const double count = static_cast<double>(machines_.size());
  return shares::dominantShare(each, {kMachine.vcpus * count, 0, kMachine.memoryGb * count});
}

bool ShareFleet::hasOverfullMachine() const {
  return std::any_of(machines_.begin(), machines_.end(), [](const machines::Machine& machine) {
    const wire::Resources capacity = machine.freeCapacity();
    return capacity.vcpus < -1e-6 || capacity.memoryGb < -1e-6;
  });
}

}  // namespace share_fleet
