// Reconciles the machine table with the cloud's instances.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cloud/client.hpp"
#include "service/leader/attempt_tracker.hpp"
#include "service/leader/leader_state.hpp"
#include "service/leader/machine_lifecycle.hpp"

namespace reachhoist::service {

// Adds machines that the cloud has provisioned or lists, and removes those it has released.
class InstanceInventory {
 public:
  InstanceInventory(LeaderState& state, MachineLifecycle& lifecycle, AttemptTracker& attempts)
      : state_(state), context_(state.context), lifecycle_(lifecycle), attempts_(attempts) {}
  InstanceInventory(const InstanceInventory&) = delete;

  // Adds the host, which the cloud has provisioned in the pool.
  void addProvisioned(const cloud::PoolKey& pool, const std::string& host);
  // Removes the hosts, whose release the cloud has confirmed: all attempts on them are proven gone.
  void onReleased(const std::vector<std::string>& hosts);
  // Reconciles the table with the cloud's instance list.
  void onListed(const std::vector<wire::InstanceEntry>& instances);
  // Whether the host was released so recently that delayed heartbeats and earlier lists can still name it.
  bool wasRecentlyReleased(const std::string& host) const { return releaseRetentionUntil_.contains(host); }

 private:
  // Adds a listed host that neither a stored record nor an answer to an instance request has named.
  Machine& addListed(const wire::InstanceEntry& entry);
  void reconcile(Machine& machine, const wire::InstanceEntry& entry);

  LeaderState& state_;
  Context& context_;
  MachineLifecycle& lifecycle_;
  AttemptTracker& attempts_;
  std::map<std::string, Time> releaseRetentionUntil_;  // by released host
};

}  // namespace reachhoist::service
