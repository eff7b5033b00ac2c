// Failover of services that run in partitioned zones.
#pragma once

#include <vector>

#include "placement/planner.hpp"
#include "service/leader/leader_state.hpp"
#include "service/leader/machine_lifecycle.hpp"
#include "service/leader/placement_scheduler.hpp"
#include "service/partition_detector.hpp"

namespace reachhoist::service {

// Finds the services on machines behind a network partition, and moves them as far as there is capacity.
class ServiceFailover {
 public:
  ServiceFailover(LeaderState& state, MachineLifecycle& lifecycle, const PlacementScheduler& scheduler,
                  const PartitionDetector& partitionDetector)
      : state_(state),
        context_(state.context),
        lifecycle_(lifecycle),
        scheduler_(scheduler),
        partitionDetector_(partitionDetector) {}
  ServiceFailover(const ServiceFailover&) = delete;

  // Decommissions machines in partitioned zones once most of their lease has passed, as far as there is
  // capacity for their services elsewhere. The cloud's confirmation of the release proves that the services
  // have ended, so that they move before the lease and its safety margins have run out.
  void moveServices();
  // The services on machines in partitioned zones, as one entry per job.
  std::vector<placement::UnplacedDemand> servicesAtRisk() const;

 private:
  // Whether the attempt has at least high priority, is placed, and is not being stopped.
  static bool isPlacedHighPriority(const Attempt& attempt);
  // The vCPUs of the machine's placed attempts of high priority.
  static double placedHighPriorityVcpus(const Machine& machine);
  // The free vCPUs on reachable on-demand machines to which services can move.
  double vcpusForServices() const;
  // Whether the machine is unreachable in a partitioned zone.
  bool isPartitioned(const Machine& machine) const;

  LeaderState& state_;
  Context& context_;
  MachineLifecycle& lifecycle_;
  const PlacementScheduler& scheduler_;
  const PartitionDetector& partitionDetector_;
};

}  // namespace reachhoist::service
