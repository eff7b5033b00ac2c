#include "service/leader/failure_detector.hpp"

#include <algorithm>

namespace reachhoist::service {

namespace {
// Machines are checked once in so many ticks.
constexpr int kTicksPerCheck = 10;
}  // namespace

void FailureDetector::tick() {
  if (context_.now < nextCheck_ || !state_.confirmedSinceResume()) return;
  nextCheck_ = context_.now + constants::kTickInterval * kTicksPerCheck;
  prober_.probeUnheard();
  partitions_.observe(state_.machines, context_.now);
  const auto listeningFor = context_.now - state_.listeningSince();
  const bool settled = listeningFor > state_.heartbeatTimeout(constants::kMissedHeartbeatIntervals, 2) &&
                       state_.holdsLeaderLease();
  if (partitions_.mostlyIndirect()) prober_.probeRelayed();
  if (transferLeadership()) return;
  taskFailures_.reviewFaultyJobs();
  for (auto& [host, machine] : state_.machines.all())
    if (machine.phase != MachinePhase::terminated) checkMachine(host, machine, settled);
  if (listeningFor > state_.heartbeatTimeout(constants::kUnreachableHeartbeatIntervals, 1) &&
      state_.holdsLeaderLease())
    failover_.moveServices();
}

bool FailureDetector::transferLeadership() {
  if (context_.settings.siblings.empty() || state_.resigned() || !state_.holdsLeaderLease()) return false;
  const char* why = transferReason();
  if (why == nullptr) return false;
  state_.stepDown(why);
  return true;
}

const char* FailureDetector::transferReason() const {
  const bool siblingsSilent = context_.now - context_.siblingHeardAt > constants::kPeerHeartbeatTimeout;
  const bool siblingConfirmed =
      context_.now - context_.siblingConfirmedAt <= constants::kPeerHeartbeatTimeout;
  if (partitions_.selfPartitionedFor(context_.now) > constants::kLeaderIsolationTimeout)
    return "no worker heartbeats";
  if (siblingConfirmed && partitions_.unreachedFor(context_.now) > constants::kLeaderIsolationTimeout)
    return "only relayed heartbeats";
  // Machines that are all dead would not come to the next leader either; siblings that are silent as well
  // tell a network partition from that.
  if (siblingsSilent && partitions_.unheardFor(context_.now) > constants::kNewLeaderContactTimeout &&
      context_.now - state_.listeningSince() > constants::kNewLeaderContactTimeout)
    return "no heartbeats at all";
  return nullptr;
}

void FailureDetector::checkMachine(const std::string& host, Machine& machine, bool settled) {
  taskFailures_.quarantineIfFaulty(machine);
  const bool leaseExpired = checkLease(host, machine);
  if (machine.phase != MachinePhase::up && machine.phase != MachinePhase::draining) return;
  if (settled) checkHeartbeats(machine, leaseExpired);
}

bool FailureDetector::checkLease(const std::string& host, Machine& machine) {
  const bool expired = context_.now - machine.contact.leaseRenewedAt > context_.settings.leaseExpiry();
  const bool hasAttempts =
      std::any_of(machine.attempts.begin(), machine.attempts.end(),
                  [](const Attempt& attempt) { return attempt.phase != AttemptPhase::planned; });
  if (expired && machine.phase != MachinePhase::booting && hasAttempts) {
    context_.event(Level::info, "lease_expired", {{"machine", host}});
    attempts_.releaseAll(machine, "lease expired");
  }
  return expired;
}

void FailureDetector::checkHeartbeats(Machine& machine, bool leaseExpired) {
  const auto silentFor = context_.now - machine.contact.lastHeartbeatAt;
  const bool maybePartitioned = partitions_.doubtful(machine.zone);
  if (silentFor > state_.heartbeatTimeout(constants::kMissedHeartbeatIntervals, 2) &&
      (leaseExpired || !maybePartitioned))
    lifecycle_.decommission(machine, "missed heartbeats");
  if (silentFor > state_.heartbeatTimeout(constants::kProbeHeartbeatIntervals, 1))
    prober_.probeOverdue(machine);
  // Overdue and unreachable as well: no need to wait for a third heartbeat.
  if (machine.contact.unreachable &&
      silentFor > state_.heartbeatTimeout(constants::kUnreachableHeartbeatIntervals, 1) && !maybePartitioned)
    lifecycle_.decommission(machine, "unreachable");
  // It sends heartbeats, but nothing from here arrives: its lease has expired, and it can't run work.
  const bool unacknowledged = !machine.contact.tokenAcknowledged &&
                              machine.contact.unacknowledgedSince != Time{} &&
                              context_.now - machine.contact.unacknowledgedSince >
                                  context_.settings.leaseExpiry() + constants::kUnacknowledgedTokenTimeout;
  if (unacknowledged && machine.phase == MachinePhase::up)
    lifecycle_.decommission(machine, "token not acknowledged");
}

}  // namespace reachhoist::service
