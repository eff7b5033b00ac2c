#include "service/leader/heartbeat_processor.hpp"

#include <algorithm>
#include <utility>

#include "service/leader/attempt_fields.hpp"

namespace reachhoist::service {

namespace {
// Whether the heartbeat was sent after the last one applied. A heartbeat that was delayed on its way
// describes an earlier state.
bool isNewer(const Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
  return heartbeat.incarnation > machine.incarnation ||
         (heartbeat.incarnation == machine.incarnation && heartbeat.sequence > machine.lastHeartbeatSequence);
}
}  // namespace

HeartbeatResponse HeartbeatProcessor::onHeartbeat(const wire::WorkerHeartbeat& heartbeat,
                                                  HeartbeatSource source) {
  if (state_.hasResigned()) return {};
  if (!state_.canRenewLeases()) {
    // The heartbeat still shows that the machine is alive: machines that kept sending heartbeats during a
    // long outage of the key-value store must not be given up afterwards.
    Machine* known = state_.machines.find(heartbeat.host.text);
    if (known != nullptr && isNewer(*known, heartbeat)) known->contact.lastHeartbeatAt = context_.now;
    return {};
  }
  if (!canAnswer(heartbeat)) return {};
  Machine& machine = findOrAdd(heartbeat.host.text);
  if (!isNewer(machine, heartbeat)) return {};
  if (machine.phase == MachinePhase::terminating || machine.phase == MachinePhase::terminated) return {};
  applyMachineFields(machine, heartbeat);
  apply(machine, heartbeat, source);
  machine.contact.unreachable = false;
  machine.contact.lastHeartbeatAt = context_.now;
  machine.contact.leaseRenewedAt = std::max(machine.contact.leaseRenewedAt, context_.now);
  const IssuedCommands issued = commands_.issueCommands(machine, source, heartbeat.sequence);
  return HeartbeatResponse{200, wire::encodeCommands(issued.fencingToken, issued.commands)};
}

bool HeartbeatProcessor::canAnswer(const wire::WorkerHeartbeat& heartbeat) const {
  // A worker that has seen the token of a later term ignores this leader's answers. A 200 would only keep it
  // from contacting the new leader until its lease has expired.
  if (heartbeat.fencingToken >= cluster::fencingToken(state_.term + 1, 0)) return false;
  // A released host is gone, so its heartbeat was delayed and must not add the machine again.
  return !inventory_.wasRecentlyReleased(heartbeat.host.text);
}

Machine& HeartbeatProcessor::findOrAdd(const std::string& host) {
  if (Machine* known = state_.machines.find(host); known != nullptr) return *known;
  // The machine is from an instance request whose answer has not arrived yet, or from one of an earlier
  // leader.
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
  bootMonitor_.recordBoot(machine);
  context_.logEvent(LogLevel::info, "machine_up",
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
  if (source != HeartbeatSource::siblingRelay) machine.contact.lastDirectContactAt = context_.now;
  applyFencingToken(machine, heartbeat);
  applySpotNotice(machine, heartbeat);
  for (const wire::TaskStatus& status : heartbeat.tasks) {
    Attempt* attempt = machine.find(status.task, status.attempt);
    if (attempt == nullptr) attempt = &addUnknownAttempt(machine, status);
    attempts_.applyStatus(machine, *attempt, status);
  }
  if (source != HeartbeatSource::directCall) reconcileMissingAttempts(machine, heartbeat);
  AttemptTracker::eraseReleased(machine);
  if (!machine.isIdle()) machine.idleSince = context_.now;
}

void HeartbeatProcessor::onNewIncarnation(Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
  if (machine.incarnation != 0 && !machine.attempts.empty())
    context_.logEvent(LogLevel::info, "incarnation_changed",
                      {{"machine", machine.host.text}, {"attempts", machine.attempts.size()}});
  // The worker has killed and forgotten all tasks of its earlier incarnations. An attempt that an earlier
  // leader placed and that no heartbeat of this term has reported can belong to the new incarnation, because
  // the incarnation recorded so far can come from a delayed heartbeat. reconcileMissingAttempts() handles it.
  for (Attempt& attempt : machine.attempts) {
    const bool unreported = attempt.inherited && attempt.incarnation == 0;
    if (machine.incarnation != 0 && attempt.phase != AttemptPhase::planned && !unreported)
      attempts_.release(machine, attempt, "new incarnation");
  }
  AttemptTracker::eraseReleased(machine);
  machine.incarnation = heartbeat.incarnation;
  // The lease of the new incarnation counts from its beginning, whether or not any of its heartbeats was
  // answered: tasks that direct commands start in it continue for the length of the lease.
  machine.contact.leaseRenewedAt = std::max(machine.contact.leaseRenewedAt, context_.now);
  machine.images = {};
}

void HeartbeatProcessor::applyFencingToken(Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
  machine.workerToken = std::max(machine.workerToken, heartbeat.fencingToken);
  commands_.updateTokenAcknowledgement(machine);
  for (Attempt& attempt : machine.attempts) {
    // A worker that has seen a higher token rejects the old command with 409.
    if (attempt.unresolvedStartToken && machine.workerToken > *attempt.unresolvedStartToken)
      attempt.unresolvedStartToken.reset();
  }
}

void HeartbeatProcessor::applySpotNotice(Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
  if (!heartbeat.timeUntilReclaimS || machine.spotNoticeAt) return;
  machine.spotNoticeAt = context_.now + wire::seconds(*heartbeat.timeUntilReclaimS);
  context_.logEvent(LogLevel::info, "spot_notice",
                    {{"machine", machine.host.text}, {"in_s", *heartbeat.timeUntilReclaimS}});
  lifecycle_.evictForSpotNotice(machine);
}

Attempt& HeartbeatProcessor::addUnknownAttempt(Machine& machine, const wire::TaskStatus& status) {
  // Every placement is recorded before its start, so this attempt has been released and must be stopped.
  Attempt unknownAttempt;
  unknownAttempt.task = status.task;
  unknownAttempt.number = status.attempt;
  unknownAttempt.inherited = true;
  unknownAttempt.stopRequested = true;
  unknownAttempt.directStartToken = machine.workerToken;  // the start can have come by a direct call
  unknownAttempt.phase = AttemptPhase::recorded;
  unknownAttempt.phaseSince = unknownAttempt.placedAt = context_.now;
  if (const jobs::Job* job = state_.jobs.find(status.task.job.text); job != nullptr)
    setResourceFields(unknownAttempt, job->spec);
  machine.attempts.push_back(std::move(unknownAttempt));
  context_.logEvent(LogLevel::info, "unknown_attempt",
                    {{"machine", machine.host.text}, {"task", status.task.str()}});
  return machine.attempts.back();
}

void HeartbeatProcessor::reconcileMissingAttempts(Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
  // In a new term a heartbeat proves absence only if the worker has seen this leader's token. Without it, the
  // heartbeat can be a delayed copy of one that an earlier leader received.
  if (heartbeat.fencingToken < cluster::fencingToken(state_.term, 0)) return;
  for (Attempt& attempt : machine.attempts) {
    const bool present =
        std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(), [&](const wire::TaskStatus& status) {
          return status.attempt == attempt.number && status.task == attempt.task;
        });
    if (!present) reconcileMissingAttempt(machine, attempt, heartbeat.sequence);
  }
}

void HeartbeatProcessor::reconcileMissingAttempt(Machine& machine, Attempt& attempt, std::uint64_t sequence) {
  if (attempt.phase == AttemptPhase::planned) return;
  // A start command from a direct call can still take effect.
  if (attempt.directCommandsInFlight > 0 || attempt.unresolvedStartToken) return;
  const bool wasReported = attempt.phase != AttemptPhase::recorded;
  // The worker executes a start command in a heartbeat answer at once or never, so a later heartbeat without
  // the task proves that the answer did not arrive. The worker gets no more work until it reports a higher
  // token.
  const bool startNotApplied = attempt.startSentInSequence != 0 && sequence > attempt.startSentInSequence;
  if (startNotApplied && !wasReported) commands_.advanceFencingToken(machine);
  if (wasReported || attempt.inherited || attempt.stopRequested || startNotApplied)
    attempts_.release(machine, attempt,
                      wasReported       ? "forgotten"
                      : startNotApplied ? "command not applied"
                                        : "absent");
}

}  // namespace reachhoist::service
