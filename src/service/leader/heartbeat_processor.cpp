#include "service/leader/heartbeat_processor.hpp"

#include <algorithm>
#include <utility>

#include "service/leader/attempt_fields.hpp"

namespace reachhoist::service {

namespace {
// Whether the heartbeat was sent after the last one applied: one that was delayed on its way describes an
// earlier state.
bool isNewer(const Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
  return heartbeat.incarnation > machine.incarnation ||
         (heartbeat.incarnation == machine.incarnation && heartbeat.sequence > machine.lastHeartbeatSequence);
}
}  // namespace

HeartbeatResponse HeartbeatProcessor::onHeartbeat(const wire::WorkerHeartbeat& heartbeat,
                                                  HeartbeatSource source) {
  if (state_.resigned()) return {};
  if (!state_.mayRenewLeases()) {
    // The machine is alive all the same: those that kept sending during a long outage of the key-value store
    // are not given up afterwards.
    Machine* known = state_.machines.find(heartbeat.host.text);
    if (known != nullptr && isNewer(*known, heartbeat)) known->contact.lastHeartbeatAt = context_.now;
    return {};
  }
  if (!mayAnswer(heartbeat)) return {};
  Machine& machine = findOrAdd(heartbeat.host.text);
  if (!isNewer(machine, heartbeat)) return {};
  if (machine.phase == MachinePhase::terminating || machine.phase == MachinePhase::terminated) return {};
  applyMachineFields(machine, heartbeat);
  apply(machine, heartbeat, source);
  machine.contact.unreachable = false;
  machine.contact.lastHeartbeatAt = context_.now;
  machine.contact.leaseRenewedAt = std::max(machine.contact.leaseRenewedAt, context_.now);
  const auto commands = commands_.commandsFor(machine, source, heartbeat.sequence);
  return HeartbeatResponse{200, wire::encodeCommands(commands_.fencingTokenOf(machine), commands)};
}

bool HeartbeatProcessor::mayAnswer(const wire::WorkerHeartbeat& heartbeat) const {
  // A worker that has seen a later term drops this leader's answers, and a 200 would only keep it here until
  // its lease has expired.
  if (heartbeat.fencingToken >= cluster::fencingToken(state_.term + 1, 0)) return false;
  // A released host is gone: this is a delayed heartbeat, and must not add the machine again.
  return !inventory_.recentlyReleased(heartbeat.host.text);
}

Machine& HeartbeatProcessor::findOrAdd(const std::string& host) {
  if (Machine* known = state_.machines.find(host); known != nullptr) return *known;
  // From an instance request whose answer is not in yet, or from one of an earlier leader.
  Machine& machine = state_.machines.add(host);
  machine.provisionedAt = context_.now;
  machine.contact.leaseRenewedAt = state_.inheritedLeaseRenewal();
  machine.contact.lastHeartbeatAt = context_.now;
  machine.contact.lastDirectContactAt = context_.now;
  return machine;
}

void HeartbeatProcessor::applyMachineFields(Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
  machine.endpoint = heartbeat.endpoint;
  machine.machineType = heartbeat.machineType;
  machine.zone = heartbeat.zone;
  machine.spot = heartbeat.spot;
  lifecycle_.applyMachineType(machine);
  if (machine.phase != MachinePhase::booting) return;
  machine.setPhase(MachinePhase::up, context_.now);
  boots_.recordBoot(machine);
  context_.event(Level::info, "machine_up",
                 {{"machine", heartbeat.host.text},
                  {"type", heartbeat.machineType},
                  {"zone", heartbeat.zone},
                  {"after_s", wire::toSeconds(context_.now - machine.provisionedAt)}});
}

void HeartbeatProcessor::apply(Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                               HeartbeatSource source) {
  if (!isNewer(machine, heartbeat)) return;
  if (heartbeat.incarnation > machine.incarnation) onNewIncarnation(machine, heartbeat);
  machine.lastHeartbeatSequence = heartbeat.sequence;
  if (source != HeartbeatSource::relay) machine.contact.lastDirectContactAt = context_.now;
  applyFencingToken(machine, heartbeat);
  applySpotNotice(machine, heartbeat);
  for (const wire::TaskStatus& status : heartbeat.tasks) {
    Attempt* attempt = machine.find(status.task, status.attempt);
    if (attempt == nullptr) attempt = &addStrayAttempt(machine, status);
    attempts_.applyStatus(machine, *attempt, status);
  }
  if (source != HeartbeatSource::direct) reconcileMissingAttempts(machine, heartbeat);
  AttemptTracker::eraseFreed(machine);
  if (!machine.empty()) machine.idleSince = context_.now;
}

void HeartbeatProcessor::onNewIncarnation(Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
  if (machine.incarnation != 0 && !machine.attempts.empty())
    context_.event(Level::info, "incarnation_changed",
                   {{"machine", machine.host.text}, {"attempts", machine.attempts.size()}});
  // The worker has killed and forgotten all tasks of its earlier incarnations. An attempt that an earlier
  // leader placed and that has not been reported in this term may belong to the new incarnation, since the
  // one known so far may come from a delayed heartbeat: reconcileMissingAttempts decides about it.
  for (Attempt& attempt : machine.attempts) {
    const bool unreported = attempt.inherited && attempt.incarnation == 0;
    if (machine.incarnation != 0 && attempt.phase != AttemptPhase::planned && !unreported)
      attempts_.release(machine, attempt, "new incarnation");
  }
  AttemptTracker::eraseFreed(machine);
  machine.incarnation = heartbeat.incarnation;
  // The lease of the new incarnation counts from its beginning, whether or not any of its heartbeats was
  // answered: tasks that direct commands start in it go on for that long.
  machine.contact.leaseRenewedAt = std::max(machine.contact.leaseRenewedAt, context_.now);
  machine.images = {};
}

void HeartbeatProcessor::applyFencingToken(Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
  machine.workerToken = std::max(machine.workerToken, heartbeat.fencingToken);
  commands_.noteAcknowledgedToken(machine);
  for (Attempt& attempt : machine.attempts) {
    // Once the worker has seen a higher token, it answers the old command with 409 only.
    if (attempt.unresolvedStartToken && machine.workerToken > *attempt.unresolvedStartToken)
      attempt.unresolvedStartToken.reset();
  }
}

void HeartbeatProcessor::applySpotNotice(Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
  if (!heartbeat.timeUntilReclaimS || machine.spotNoticeAt) return;
  machine.spotNoticeAt = context_.now + wire::seconds(*heartbeat.timeUntilReclaimS);
  context_.event(Level::info, "spot_notice",
                 {{"machine", machine.host.text}, {"in_s", *heartbeat.timeUntilReclaimS}});
  lifecycle_.evictForSpotNotice(machine);
}

Attempt& HeartbeatProcessor::addStrayAttempt(Machine& machine, const wire::TaskStatus& status) {
  // Every start is recorded first, so this attempt has been released and must not go on.
  Attempt stray;
  stray.task = status.task;
  stray.number = status.attempt;
  stray.inherited = true;
  stray.stopRequested = true;
  stray.phase = AttemptPhase::recorded;
  stray.phaseSince = stray.placedAt = context_.now;
  if (const jobs::Job* job = state_.jobs.find(status.task.job.text); job != nullptr)
    setResourceFields(stray, job->spec);
  machine.attempts.push_back(std::move(stray));
  context_.event(Level::info, "unknown_attempt",
                 {{"machine", machine.host.text}, {"task", status.task.str()}});
  return machine.attempts.back();
}

void HeartbeatProcessor::reconcileMissingAttempts(Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
  // Under a new term a heartbeat proves absence only once the worker has seen this leader's token: before
  // that it may be a delayed copy of one that an earlier leader got.
  if (heartbeat.fencingToken < cluster::fencingToken(state_.term, 0)) return;
  for (Attempt& attempt : machine.attempts) {
    const bool present =
        std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(), [&](const wire::TaskStatus& status) {
          return status.attempt == attempt.number && status.task == attempt.task;
        });
    if (!present) reconcileMissing(machine, attempt, heartbeat.sequence);
  }
}

void HeartbeatProcessor::reconcileMissing(Machine& machine, Attempt& attempt, std::uint64_t sequence) {
  if (attempt.phase == AttemptPhase::planned) return;
  // A direct start may still take effect.
  if (attempt.directCommandsInFlight > 0 || attempt.unresolvedStartToken) return;
  const bool seen = attempt.phase != AttemptPhase::recorded;
  // A start in an answer is executed at once or never: a later heartbeat without the task proves that the
  // answer did not arrive. Until the worker is seen with a higher token it gets no more work.
  const bool notTaken = attempt.startSentInSequence != 0 && sequence > attempt.startSentInSequence;
  if (notTaken && !seen) commands_.advanceFencingToken(machine);
  if (seen || attempt.inherited || attempt.stopRequested || notTaken)
    attempts_.release(machine, attempt, seen ? "forgotten" : notTaken ? "command not applied" : "absent");
}

}  // namespace reachhoist::service
