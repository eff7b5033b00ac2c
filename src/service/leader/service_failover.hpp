// Failover of services that run in partitioned zones.
#pragma once

#include <vector>

#include "placement/planner.hpp"
#include "service/leader/leader_state.hpp"
#include "service/leader/machine_lifecycle.hpp"
#include "service/leader/placement_scheduler.hpp"
#include "service/partition_detector.hpp"

namespace reachhoist::service {

// Finds the services on machines behind a network partition, and moves them while there is capacity.
class ServiceFailover {
 public:
  ServiceFailover(LeaderState& state, MachineLifecycle& lifecycle, const PlacementScheduler& scheduler,
                  const PartitionDetector& partitions)
      : state_(state),
        context_(state.context),
        lifecycle_(lifecycle),
        scheduler_(scheduler),
        partitions_(partitions) {}
  ServiceFailover(const ServiceFailover&) = delete;

  // Decommissions machines in partitioned zones whose services have little of their leases left, as far as
  // there is capacity for the services elsewhere. The cloud's confirmation of the release proves at once that
  // they have ended, so that they move now and not after the margins of lease expiry.
  void moveServices();
  // The services on machines in partitioned zones, by job.
  std::vector<placement::UnplacedDemand> servicesAtRisk() const;

 private:
  // An attempt of high priority that is placed and not being stopped.
  static bool isPlacedHighPriority(const Attempt& attempt);
  // vCPUs of the machine's placed services.
  static double placedHighPriorityVcpus(const Machine& machine);
  // vCPUs on reachable on-demand machines that are free for services to move to.
  double vcpusForServices() const;
  bool isPartitioned(const Machine& machine) const;

  LeaderState& state_;
  Context& context_;
  MachineLifecycle& lifecycle_;
  const PlacementScheduler& scheduler_;
  const PartitionDetector& partitions_;
};

}  // namespace reachhoist::service
