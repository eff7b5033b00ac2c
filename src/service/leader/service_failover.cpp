#include "service/leader/service_failover.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace reachhoist::service {

bool ServiceFailover::isPlacedService(const Attempt& attempt) {
  return attempt.holdsCapacity() && attempt.phase != AttemptPhase::planned && !attempt.stopRequested &&
         attempt.priority >= wire::Priority::high;
}

double ServiceFailover::serviceCpus(const Machine& machine) {
  double cpus = 0;
  for (const Attempt& attempt : machine.attempts)
    if (isPlacedService(attempt)) cpus += attempt.resources.vcpus;
  return cpus;
}

bool ServiceFailover::isPartitioned(const Machine& machine) const {
  return machine.phase == MachinePhase::up && machine.contact.unreachable &&
         partitions_.contains(machine.zone);
}

double ServiceFailover::capacityForServices() const {
  double capacity = 0;
  for (const auto& [host, machine] : state_.machines.all()) {
    const bool reachable = machine.phase == MachinePhase::up && machine.contact.tokenAcknowledged &&
                           !machine.contact.unreachable && !machine.spotNoticeAt && !machine.spot;
    if (reachable) capacity += std::max(0.0, machine.freeCapacity().vcpus);
    // Services of machines that are being given up will move to the same capacity.
    if (machine.phase != MachinePhase::decommissioning && machine.phase != MachinePhase::terminating)
      continue;
    for (const Attempt& attempt : machine.attempts)
      if (isPlacedService(attempt)) capacity -= attempt.resources.vcpus;
  }
  for (const placement::UnplacedDemand& unmet : scheduler_.unplaced())
    if (unmet.job->spec.priority >= wire::Priority::high)
      capacity -= unmet.job->spec.taskResources.vcpus * unmet.tasks;
  return capacity;
}

void ServiceFailover::moveServices() {
  if (partitions_.zones().empty() || partitions_.selfPartitioned()) return;
  double capacity = capacityForServices();
  const auto moveAfter = wire::seconds(context_.settings.workers.leaseS * constants::kFailoverLeaseShare);
  // A machine not heard from in this term may have been partitioned from the earlier leader for long.
  const auto moveUnheardAfter = state_.heartbeatTimeout(constants::kUnreachableHeartbeatIntervals, 1);
  for (auto& [host, machine] : state_.machines.all()) {
    if (!isPartitioned(machine)) continue;
    const auto patience = machine.lastHeartbeatSequence == 0 ? moveUnheardAfter : moveAfter;
    if (context_.now - machine.contact.lastHeartbeatAt < patience) continue;
    const double cpus = serviceCpus(machine);
    if (cpus == 0 || cpus > capacity) continue;
    capacity -= cpus;
    lifecycle_.decommission(machine, "network partition");
  }
}

std::vector<placement::UnplacedDemand> ServiceFailover::servicesAtRisk() const {
  if (partitions_.selfPartitioned()) return {};
  std::map<std::string, std::uint32_t> tasksByJob;
  for (const auto& [host, machine] : state_.machines.all()) {
    if (!isPartitioned(machine)) continue;
    for (const Attempt& attempt : machine.attempts)
      if (isPlacedService(attempt)) ++tasksByJob[attempt.task.job.text];
  }
  std::vector<placement::UnplacedDemand> out;
  for (const auto& [ref, tasks] : tasksByJob)
    if (const jobs::Job* job = state_.jobs.find(ref); job != nullptr && job->isOpen())
      out.push_back(placement::UnplacedDemand{job, tasks});
  return out;
}

}  // namespace reachhoist::service
