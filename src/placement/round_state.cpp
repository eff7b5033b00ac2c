// The working state of one placement round; see round_state.hpp.
#include "placement/round_state.hpp"

#include <algorithm>
#include <utility>

namespace reachhoist::placement {

namespace {

constexpr double kReachableSlackS = 0.5;  // tolerated delay of a heartbeat that is due

bool hasQuota(const config::Team& team) {
  return team.cpus > 0 || team.cpusMax > 0 || team.gpus > 0 || team.gpusMax > 0;
}

bool dependsOnZones(const Job& job) { return job.spec.spreadZones || job.spec.singleZone; }

}  // namespace

RoundState::RoundState(const SchedulingInput& schedulingInput)
    : input(schedulingInput), quotas(schedulingInput.settings) {
  for (const Job* job : input.waitingJobs)
    if (dependsOnZones(*job) || job->isGang()) zoneCounts[job->spec.ref.text];
  const bool countsZones = !zoneCounts.empty();
  const bool countsUsage = std::any_of(input.settings.teams.begin(), input.settings.teams.end(), hasQuota);
  for (Machine* machine : input.machines) addMachine(*machine, countsUsage, countsZones);
  hasTeamOverGuarantee = quotas.hasTeamOverGuarantee();
  guaranteedJobs = placement::guaranteedJobs(input.settings, input.openJobs);
  if (input.shares != nullptr) createShareAccount();
}

void RoundState::addMachine(Machine& machine, bool countsUsage, bool countsZones) {
  Bin bin{&machine, machine.capacity, wire::Priority::prod, false, {}, {}, false, {}};
  const bool isMachineReachable = isReachable(machine);
  for (const machines::Attempt& attempt : machine.attempts) {
    if (!attempt.holdsCapacity()) continue;
    bin.freeCapacity -= attempt.resources;
    if (countsUsage) quotas.add(attempt.team, attempt.resources);
    if (countsZones) {
      const auto found = zoneCounts.find(attempt.task.job.text);
      if (found != zoneCounts.end()) found->second[machine.zone] += 1;
    }
    if (shares::isBeingStopped(attempt)) bin.stoppingCapacity += attempt.resources;
    if (attempt.stopRequested) {
      bin.hasStoppingAttempts = true;
    } else {
      bin.lowestPriority = std::min(bin.lowestPriority, attempt.priority);
    }
    if (attempt.isGangMember && !isMachineReachable) unreachableGangs.insert(attempt.number);
  }
  hasSpotMachine = hasSpotMachine || machine.spot;
  lowestPriority = std::min(lowestPriority, bin.lowestPriority);
  if (isSchedulable(machine))
    (machine.transactionInFlight ? binsInTransaction : bins).push_back(std::move(bin));
}

void RoundState::createShareAccount() {
  const auto isExempt = [this](const Job& job) {
    return job.spec.priority >= wire::Priority::high || isWithinGuarantee(job.spec.ref.text);
  };
  shareAccount.emplace(
      shares::takeUsageSnapshot(*input.shares, input.settings, input.machines, input.openJobs, isExempt),
      input.settings.operators.shares.reclaimStep);
}

bool RoundState::isSchedulable(const Machine& machine) const {
  if (machine.phase != machines::MachinePhase::up || machine.failures.quarantined) return false;
  // A machine accepts work only after contact in both directions in this term. Records, delayed copies of
  // heartbeats and contact in one direction are not enough.
  if (!machine.contact.tokenAcknowledged || machine.failures.suspectUntil > input.now) return false;
  const auto maxHeartbeatAge =
      wire::seconds(input.settings.workers.heartbeatIntervalS * constants::kMissedHeartbeatIntervals);
  return input.now - machine.contact.lastHeartbeatAt <= maxHeartbeatAge && !machine.spotNoticeAt;
}

// Whether a command would arrive at once, judging by the contact with the machine so far.
bool RoundState::isReachable(const Machine& machine) const {
  const auto maxHeartbeatAge = wire::seconds(
      input.settings.workers.heartbeatIntervalS * constants::kOverdueHeartbeatIntervals + kReachableSlackS);
  return machine.contact.tokenAcknowledged && !machine.contact.unreachable &&
         input.now - machine.contact.lastHeartbeatAt <= maxHeartbeatAge;
}

bool RoundState::isOverdueWithinGuarantee(const Job& job) const {
  return input.now - job.waitingSince >= constants::kGuaranteeWaitLimit &&
         isWithinGuarantee(job.spec.ref.text);
}

bool RoundState::zoneAccepts(const Job& job, const std::string& zone) const {
  if (!dependsOnZones(job)) return true;
  const auto found = zoneCounts.find(job.spec.ref.text);
  return found == zoneCounts.end() || zoneSpreadAllows(job.spec, found->second, zone);
}

void RoundState::countInZone(const Job& job, const std::string& zone) {
  if (dependsOnZones(job)) zoneCounts[job.spec.ref.text][zone] += 1;
}

std::vector<std::string> RoundState::gangZones(const Job& job) const {
  if (!job.spec.singleZone) return {""};
  std::set<std::string> zones;
  for (const Bin& bin : bins) zones.insert(bin.machine->zone);
  return {zones.begin(), zones.end()};
}

void RoundState::assign(Bin& bin, Job& job, std::uint32_t taskIndex) {
  bin.freeCapacity -= job.spec.taskResources;
  if (!bin.plansImage(job.spec.image)) bin.plannedImages.push_back(&job.spec.image);
  countInZone(job, bin.machine->zone);
  quotas.add(job.spec.team, job.spec.taskResources);
  if (shareAccount) shareAccount->recordStart(job);
  plan.assignments.push_back(Assignment{&job, taskIndex, bin.machine});
}

void RoundState::preempt(Machine& machine, const machines::Attempt& attempt) {
  preemptedAttempts.insert(attempt.number);
  plan.preemptions.push_back(Preemption{&machine, attempt.task, attempt.number, attempt.stopGracePeriodS()});
}

}  // namespace reachhoist::placement
