#include "service/leader/failure_detector.hpp"

#include <algorithm>

namespace reachhoist::service {

namespace {
// Number of ticks from one check of the machines to the next.
constexpr int kTicksPerCheck = 10;
}  // namespace

void FailureDetector::tick() {
  if (context_.now < nextCheckAt_ || !state_.confirmedSinceResume()) return;
  nextCheckAt_ = context_.now + constants::kTickInterval * kTicksPerCheck;
  prober_.sendTakeoverProbes();
  partitionDetector_.observe(state_.machines, context_.now);
  const auto receivingFor = context_.now - state_.receivingHeartbeatsSince();
  const bool canDetectMissedHeartbeats =
      receivingFor > state_.heartbeatTimeout(constants::kMissedHeartbeatIntervals, 2) &&
      state_.holdsLeaderLease();
  if (partitionDetector_.isMostlyIndirect()) prober_.probeRelayed();
  if (transferLeadership()) return;
  taskFailures_.clearRecoveredJobs();
  for (auto& [host, machine] : state_.machines.all())
    if (machine.phase != MachinePhase::terminated) checkMachine(host, machine, canDetectMissedHeartbeats);
  if (receivingFor > state_.heartbeatTimeout(constants::kUnreachableHeartbeatIntervals, 1) &&
      state_.holdsLeaderLease())
    failover_.moveServices();
}

bool FailureDetector::transferLeadership() {
  if (context_.settings.siblings.empty() || state_.hasResigned() || !state_.holdsLeaderLease()) return false;
  const char* why = transferReason();
  if (why == nullptr) return false;
  state_.stepDown(why);
  return true;
}

const char* FailureDetector::transferReason() const {
  const bool siblingHeartbeatsMissing =
      context_.now - context_.lastSiblingHeartbeatAt > constants::kPeerHeartbeatTimeout;
  const bool siblingReachesStore =
      context_.now - context_.lastConfirmedSiblingHeartbeatAt <= constants::kPeerHeartbeatTimeout;
  if (partitionDetector_.selfPartitionedFor(context_.now) > constants::kLeaderIsolationTimeout)
    return "no worker heartbeats";
  if (siblingReachesStore &&
      partitionDetector_.withoutDirectContactFor(context_.now) > constants::kLeaderIsolationTimeout)
    return "only relayed heartbeats";
  // If all machines had failed, a new leader would get no heartbeats either. Siblings whose heartbeats are
  // missing as well show that this controller is behind a network partition instead.
  if (siblingHeartbeatsMissing &&
      partitionDetector_.withoutHeartbeatsFor(context_.now) > constants::kNewLeaderContactTimeout &&
      context_.now - state_.receivingHeartbeatsSince() > constants::kNewLeaderContactTimeout)
    return "no heartbeats at all";
  return nullptr;
}

void FailureDetector::checkMachine(const std::string& host, Machine& machine,
                                   bool canDetectMissedHeartbeats) {
  taskFailures_.evaluateQuarantine(machine);
  const bool leaseExpired = checkLease(host, machine);
  if (machine.phase != MachinePhase::up && machine.phase != MachinePhase::draining) return;
  if (canDetectMissedHeartbeats) checkHeartbeats(machine, leaseExpired);
}

bool FailureDetector::checkLease(const std::string& host, Machine& machine) {
  const bool expired = context_.now - machine.contact.leaseRenewedAt > context_.settings.leaseExpiry();
  const bool hasAttempts =
      std::any_of(machine.attempts.begin(), machine.attempts.end(),
                  [](const Attempt& attempt) { return attempt.phase != AttemptPhase::planned; });
  if (expired && machine.phase != MachinePhase::booting && hasAttempts) {
    context_.logEvent(LogLevel::info, "lease_expired", {{"machine", host}});
    attempts_.releaseAll(machine, "lease expired");
  }
  return expired;
}

void FailureDetector::checkHeartbeats(Machine& machine, bool leaseExpired) {
  const auto sinceLastHeartbeat = context_.now - machine.contact.lastHeartbeatAt;
  const bool isPossiblyPartitioned = partitionDetector_.isSuspected(machine.zone);
  if (sinceLastHeartbeat > state_.heartbeatTimeout(constants::kMissedHeartbeatIntervals, 2) &&
      (leaseExpired || !isPossiblyPartitioned))
    lifecycle_.decommission(machine, "missed heartbeats");
  if (sinceLastHeartbeat > state_.heartbeatTimeout(constants::kProbeHeartbeatIntervals, 1))
    prober_.probeOverdue(machine);
  // A machine that has also left a probe unanswered is given up without waiting for a third missed heartbeat.
  if (machine.contact.unreachable &&
      sinceLastHeartbeat > state_.heartbeatTimeout(constants::kUnreachableHeartbeatIntervals, 1) &&
      !isPossiblyPartitioned)
    lifecycle_.decommission(machine, "unreachable");
  // The worker sends heartbeats but receives nothing from this leader: its lease has expired, and it can't
  // run work.
  const bool acknowledgementTimedOut =
      !machine.contact.tokenAcknowledged && machine.contact.unacknowledgedSince != Time{} &&
      context_.now - machine.contact.unacknowledgedSince >
          context_.settings.leaseExpiry() + constants::kUnacknowledgedTokenTimeout;
  if (acknowledgementTimedOut && machine.phase == MachinePhase::up)
    lifecycle_.decommission(machine, "token not acknowledged");
}

}  // namespace reachhoist::service
