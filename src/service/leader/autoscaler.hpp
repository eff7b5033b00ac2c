// Fleet autoscaling: instance requests for queued tasks and for the reserve, and scale-in of machines that
// are not needed.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cloud/client.hpp"
#include "fleet/headroom.hpp"
#include "fleet/scaling.hpp"
#include "fleet/sizing.hpp"
#include "service/leader/boot_monitor.hpp"
#include "service/leader/instance_inventory.hpp"
#include "service/leader/leader_state.hpp"
#include "service/leader/machine_lifecycle.hpp"
#include "service/leader/placement_scheduler.hpp"
#include "service/leader/service_failover.hpp"
#include "service/leader/sizing_state_store.hpp"
#include "service/partition_detector.hpp"

namespace reachhoist::service {

// Runs the sizing rounds and the direct scale-out and scale-in rules, and handles the answers to instance
// requests.
class Autoscaler {
 public:
  Autoscaler(LeaderState& state, MachineLifecycle& lifecycle, InstanceInventory& inventory,
             const BootMonitor& bootMonitor, const PlacementScheduler& scheduler,
             const ServiceFailover& failover, const PartitionDetector& partitionDetector,
             cloud::Client& cloud);
  Autoscaler(const Autoscaler&) = delete;

  // Loads the sizing state that an earlier leader has saved.
  void loadSizingState() { sizingStore_.load(); }
  // Runs the rounds that are due.
  void tick();
  // Saves the sizing state when it is due.
  void saveSizingState() { sizingStore_.tick(); }
  // Handles the outcome of an instance request for the pool. `refused` is the number of instances that the
  // cloud refused.
  void onProvisioned(const cloud::PoolKey& pool, const std::vector<std::string>& hosts, std::size_t refused);

 private:
  void sizingRound();
  // Drains up to `count` idle machines of the pool, within the headroom.
  void scaleIn(const cloud::PoolKey& pool, int count, fleet::Headroom& headroom);
  // The instance requests for unplaced demand. Logs the demand before the decision and the heap memory before
  // and after it.
  std::vector<fleet::ScaleOutRequest> planScaleOut(const fleet::FleetSnapshot& snapshot) const;
  void scaleOutForDemand(fleet::FleetSnapshot& snapshot);
  void consolidate(const fleet::FleetSnapshot& snapshot);
  void requestInstances(const cloud::PoolKey& pool, int count, const char* why);
  fleet::FleetSnapshot fleetSnapshot();
  // The number of requested instances without an answer yet, by pool.
  std::map<cloud::PoolKey, std::size_t> pendingByPool() const;

  LeaderState& state_;
  Context& context_;
  MachineLifecycle& lifecycle_;
  InstanceInventory& inventory_;
  const BootMonitor& bootMonitor_;
  const PlacementScheduler& scheduler_;
  const ServiceFailover& failover_;
  const PartitionDetector& partitionDetector_;
  cloud::Client& cloud_;
  fleet::Sizing sizing_;
  SizingStateStore sizingStore_;
  std::map<cloud::PoolKey, Time> refusedPoolsUntil_;
  std::map<cloud::PoolKey, std::set<std::string>> gangsAwaitingInstances_;  // references of gangs, by pool
  Time nextScaleOutAt_{};
  Time nextConsolidationAt_{};
};

}  // namespace reachhoist::service
