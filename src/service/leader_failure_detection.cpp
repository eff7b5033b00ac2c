// Machines that are silent: asked directly, given up, or kept because their zone is cut off; and those that
// the cloud takes back.
#include <algorithm>

#include "service/leader.hpp"

namespace reachhoist::service {

bool Leader::holdsService(const Attempt& attempt) {
  return attempt.holdsCapacity() && attempt.phase != AttemptPhase::planned && !attempt.stopWanted &&
         attempt.priority >= wire::Priority::high;
}

// The services of machines that are cut off have little of their leases left. The cloud's answer to a return
// proves at once that they have ended, so where there is room they move now and not after the lease's
// margins.
// What has not been heard since the leader changed may have been cut off from the earlier one for long.
void Leader::moveServicesOffPartitions() {
  if (partitionDetector_.zones().empty() || partitionDetector_.selfPartitioned()) return;
  double capacity = 0;
  for (const auto& [host, machine] : machines_.all()) {
    const bool reached = machine.phase == MachinePhase::up && machine.tokenAcknowledged &&
                         !machine.unreachable && !machine.spotNoticeAt && !machine.spot;
    if (reached) capacity += std::max(0.0, machine.freeCapacity().vcpus);
    // On its way out already, its services will take of the same room.
    if (machine.phase == MachinePhase::decommissioning || machine.phase == MachinePhase::terminating)
      for (const Attempt& attempt : machine.attempts)
        if (holdsService(attempt)) capacity -= attempt.each.vcpus;
  }
  for (const placement::UnplacedDemand& unmet : unplaced_)
    if (unmet.job->spec.priority >= wire::Priority::high)
      capacity -= unmet.job->spec.each.vcpus * unmet.tasks;
  const auto moveAfter = wire::seconds(context_.settings.workers.leaseS * constants::kFailoverLeaseShare);
  const auto unheardFor =
      wire::seconds(context_.settings.workers.heartbeatIntervalS * constants::kUnreachableHeartbeatLimit + 1);
  for (auto& [host, machine] : machines_.all()) {
    if (machine.phase != MachinePhase::up || !machine.unreachable ||
        !partitionDetector_.contains(machine.zone) ||
        context_.now - machine.lastHeartbeatAt < (machine.sequence == 0 ? unheardFor : moveAfter))
      continue;
    double cpus = 0;
    for (const Attempt& attempt : machine.attempts)
      if (holdsService(attempt)) cpus += attempt.each.vcpus;
    if (cpus == 0 || cpus > capacity) continue;
    capacity -= cpus;
    decommission(machine, "cut off");
  }
}

// Neither workers nor siblings get through, or workers by way of siblings only: this controller reaches the
// state service, but another serves better, and as long as this one leads the leases of all machines run out.
bool Leader::transferLeadership() {
  if (context_.settings.siblings.empty() || resigned_ || !holdsLeaderLease()) return false;
  const char* why = nullptr;
  const bool siblingsSilent = context_.now - context_.siblingHeardAt > constants::kPeerHeartbeatTimeout;
  const bool siblingConfirmed =
      context_.now - context_.siblingConfirmedAt <= constants::kPeerHeartbeatTimeout;
  if (partitionDetector_.selfPartitionedFor(context_.now) > constants::kLeaderIsolationTimeout) {
    why = "hears no workers";
  } else if (siblingConfirmed &&
             partitionDetector_.unreachedFor(context_.now) > constants::kLeaderIsolationTimeout) {
    why = "hears workers through siblings only";
  } else if (siblingsSilent &&
             partitionDetector_.unheardFor(context_.now) > constants::kNewLeaderContactTimeout &&
             context_.now - listeningSince() > constants::kNewLeaderContactTimeout) {
    // Machines that are all dead would not come to the next leader either; siblings that are silent as well
    // tell a cut from that.
    why = "hears nobody";
  }
  if (why == nullptr) return false;
  resigned_ = true;
  leadership_.stepDown(why);
  return true;
}

void Leader::detectFailures() {
  if (context_.now < nextSilenceCheck_ || !confirmedSinceResume()) return;
  nextSilenceCheck_ = context_.now + constants::kTickInterval * 10;
  probeSilentWorkers();
  // Most machines of a zone quiet at once are more likely cut off than dead, and relay needs a while to find
  // its way: condemning them would throw away work that runs. Then only the lease decides, or, shortly before
  // it does, room for their services elsewhere.
  partitionDetector_.observe(machines_, context_.now);
  const config::Settings& settings = context_.settings;
  const auto silentFor =
      wire::seconds(settings.workers.heartbeatIntervalS * constants::kMissedHeartbeatLimit + 2);
  const auto probeAfter =
      wire::seconds(settings.workers.heartbeatIntervalS * constants::kProbeAfterHeartbeats + 1);
  const auto goneFor =
      wire::seconds(settings.workers.heartbeatIntervalS * constants::kUnreachableHeartbeatLimit + 1);
  const bool settled = context_.now - listeningSince() > silentFor && holdsLeaderLease();
  if (partitionDetector_.mostlyIndirect()) probeRelayedWorkers();
  if (transferLeadership()) return;
  reviewFaultyJobs();
  for (auto& [host, machine] : machines_.all()) {
    if (machine.phase == MachinePhase::terminated) continue;
    quarantineIfFaulty(machine);
    const bool over = context_.now - machine.leaseRenewedAt > settings.leaseExpiry();
    if (over && machine.phase != MachinePhase::booting &&
        std::any_of(machine.attempts.begin(), machine.attempts.end(),
                    [](const Attempt& a) { return a.phase != AttemptPhase::planned; })) {
      context_.event(Level::info, "lease_over", {{"machine", host}});
      freeAllAttempts(machine, "lease over");
    }
    if (machine.phase != MachinePhase::up && machine.phase != MachinePhase::draining) continue;
    const auto silent = context_.now - machine.lastHeartbeatAt;
    const bool cut = partitionDetector_.doubtful(machine.zone);
    if (settled && silent > silentFor && (over || !cut)) decommission(machine, "silent");
    // Overdue and out of reach as well: no need to wait for a third report.
    if (settled && silent > probeAfter && !machine.probing && !machine.unreachable &&
        !machine.endpoint.empty() && commands_.mayCall()) {
      machine.probing = true;
      probe(machine);
    }
    if (settled && machine.unreachable && silent > goneFor && !cut) decommission(machine, "unreachable");
    // It reports, but nothing that we send arrives: its lease has run out, and it is of no use to anybody.
    const bool unacknowledged = !machine.tokenAcknowledged && machine.unacknowledgedSince != Time{} &&
                                context_.now - machine.unacknowledgedSince >
                                    settings.leaseExpiry() + constants::kUnacknowledgedTimeout;
    if (settled && unacknowledged && machine.phase == MachinePhase::up)
      decommission(machine, "acknowledges nothing");
  }
  if (context_.now - listeningSince() > goneFor && holdsLeaderLease()) moveServicesOffPartitions();
}

// Workers that an earlier leader still answers would stay with it for as long as it believes itself entitled.
// One that sees our token finds that leader's answers void and comes to us.
void Leader::probeSilentWorkers() {
  if (context_.now - actingSince_ < constants::kProbeUnheardDelay || !holdsLeaderLease()) return;
  unsigned left = std::max(constants::kMinProbesPerTick, context_.settings.maxWorkerCalls() / 4);
  for (auto& [host, machine] : machines_.all()) {
    if (machine.phase != MachinePhase::up || machine.sequence != 0 || machine.probedUnheard ||
        machine.endpoint.empty())
      continue;
    if (left-- == 0 || !commands_.mayCall()) return;
    machine.probedUnheard = true;
    probe(machine);
  }
}

// Workers that siblings pass on may be within reach all the same: those that answer show that this controller
// is not cut off.
void Leader::probeRelayedWorkers() {
  std::size_t asked = 0;
  const auto overdue =
      wire::seconds(context_.settings.workers.heartbeatIntervalS * constants::kOverdueAfterHeartbeats + 0.5);
  for (auto& [host, machine] : machines_.all()) {
    if (asked == constants::kDirectProbeSamples || !commands_.mayCall()) return;
    const bool relayed = context_.now - machine.lastHeartbeatAt <= overdue &&
                         context_.now - machine.lastDirectContactAt > overdue;
    if (machine.phase != MachinePhase::up || !relayed || machine.probing || machine.endpoint.empty())
      continue;
    machine.probing = true;
    probe(machine);
    ++asked;
  }
}

void Leader::probe(Machine& machine) {
  commands_.callBegins();
  wire::Call call;
  call.to = wire::Service::worker;
  call.endpoint = machine.endpoint;
  call.method = "GET";
  call.path = "/inspect";
  call.timeout = constants::kWorkerCallTimeout;
  context_.calls.start(std::move(call), [this, host = machine.host.text,
                                         alive = std::weak_ptr<int>(alive_)](const wire::CallResult& result) {
    if (!alive.lock()) return;
    commands_.callEnds();
    Machine* known = machines_.find(host);
    if (known == nullptr) return;
    known->probing = false;
    if (result.status == 0) known->unreachable = true;
    auto heartbeat = wire::decodeHeartbeat(result.body);
    if (!result.ok() || !heartbeat || heartbeat->host.text != host) return;
    applyHeartbeat(*known, *heartbeat, Source::direct);
    known->unreachable = false;
    // An empty command brings the token.
    if (!known->tokenAcknowledged) commands_.markDue(*known);
  });
}

void Leader::onSpotNotice(Machine& machine) {
  const double leftS = wire::toSeconds(*machine.spotNoticeAt - context_.now);
  for (Attempt& attempt : machine.attempts) {
    if (!attempt.holdsCapacity() || attempt.phase == AttemptPhase::planned) continue;
    const jobs::Job* job = jobs_.find(attempt.task.job.text);
    const double expectS = job != nullptr ? job->spec.expectS : 0;
    const double ranS =
        attempt.phase == AttemptPhase::running ? wire::toSeconds(context_.now - attempt.runningSince) : 0;
    const bool finishes =
        !attempt.isService && attempt.phase == AttemptPhase::running && expectS - ranS < leftS;
    if (finishes) continue;
    if (attempt.gang) {
      stopGang(attempt.task.job.text, leftS, "spot notice");
    } else {
      commands_.stop(machine, attempt, attempt.saves ? attempt.checkpointS + 1 : 0);
    }
  }
}

}  // namespace reachhoist::service
