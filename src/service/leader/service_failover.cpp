#include "service/leader/service_failover.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace reachhoist::service {

bool ServiceFailover::isPlacedHighPriority(const Attempt& attempt) {
  return attempt.holdsCapacity() && attempt.phase != AttemptPhase::planned && !attempt.stopRequested &&
         attempt.priority >= wire::Priority::high;
}

double ServiceFailover::placedHighPriorityVcpus(const Machine& machine) {
  double vcpus = 0;
  for (const Attempt& attempt : machine.attempts)
    if (isPlacedHighPriority(attempt)) vcpus += attempt.resources.vcpus;
  return vcpus;
}

bool ServiceFailover::isPartitioned(const Machine& machine) const {
  return machine.phase == MachinePhase::up && machine.contact.unreachable &&
         partitionDetector_.isPartitioned(machine.zone);
}

double ServiceFailover::vcpusForServices() const {
  double capacity = 0;
  for (const auto& [host, machine] : state_.machines.all()) {
    const bool reachable = machine.phase == MachinePhase::up && machine.contact.tokenAcknowledged &&
                           !machine.contact.unreachable && !machine.spotNoticeAt && !machine.spot;
    if (reachable) capacity += std::max(0.0, machine.freeCapacity().vcpus);
    // Services on machines that are being given up will need the same capacity.
    if (machine.phase != MachinePhase::decommissioning && machine.phase != MachinePhase::terminating)
      continue;
    for (const Attempt& attempt : machine.attempts)
      if (isPlacedHighPriority(attempt)) capacity -= attempt.resources.vcpus;
  }
  for (const placement::UnplacedDemand& demand : scheduler_.unplacedDemand())
    if (demand.job->spec.priority >= wire::Priority::high)
      capacity -= demand.job->spec.taskResources.vcpus * demand.taskCount;
  return capacity;
}

void ServiceFailover::moveServices() {
  if (partitionDetector_.partitionedZones().empty() || partitionDetector_.isSelfPartitioned()) return;
  double capacity = vcpusForServices();
  const auto moveDelay = wire::seconds(context_.settings.workers.leaseS * constants::kFailoverLeaseShare);
  // A machine without a heartbeat in this term can have been partitioned from the earlier leader for a long
  // time.
  const auto moveDelayWithoutHeartbeat =
      state_.heartbeatTimeout(constants::kUnreachableHeartbeatIntervals, 1);
  for (auto& [host, machine] : state_.machines.all()) {
    if (!isPartitioned(machine)) continue;
    const auto delay = machine.lastHeartbeatSequence == 0 ? moveDelayWithoutHeartbeat : moveDelay;
    if (context_.now - machine.contact.lastHeartbeatAt < delay) continue;
    const double vcpus = placedHighPriorityVcpus(machine);
    if (vcpus == 0 || vcpus > capacity) continue;
    capacity -= vcpus;
    lifecycle_.decommission(machine, "network partition");
  }
}

std::vector<placement::UnplacedDemand> ServiceFailover::servicesAtRisk() const {
  if (partitionDetector_.isSelfPartitioned()) return {};
  std::map<std::string, std::uint32_t> tasksByJob;
  for (const auto& [host, machine] : state_.machines.all()) {
    if (!isPartitioned(machine)) continue;
    for (const Attempt& attempt : machine.attempts)
      if (isPlacedHighPriority(attempt)) ++tasksByJob[attempt.task.job.text];
  }
  std::vector<placement::UnplacedDemand> atRisk;
  for (const auto& [ref, tasks] : tasksByJob)
    if (const jobs::Job* job = state_.jobs.find(ref); job != nullptr && job->isOpen())
      atRisk.push_back(placement::UnplacedDemand{job, tasks});
  return atRisk;
}

}  // namespace reachhoist::service
