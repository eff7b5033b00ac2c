// The input of a sizing round for each pool.
#pragma once

#include <vector>

#include "fleet/snapshot.hpp"

namespace reachhoist::fleet {

// The state of one pool (machine type, zone, spot or on-demand) at a sizing round.
struct PoolView {
  PoolKey key;
  int machines = 0;            // booting or up
  int idleMachines = 0;        // up and empty
  int releasableMachines = 0;  // idle machines whose release leaves the headroom
  double busyShare = 0;        // used share of the vCPUs of the machines that are up, 0..1
  double queueWaitS = 0;       // longest wait of queued work that this pool can take
  int queuedTasks = 0;
  double pricePerHour = 0;      // of one instance
  bool requestRefused = false;  // the cloud has recently refused an instance request
  int overdueBoots = 0;         // stragglers: booting machines past their expected boot time
};

// The views of all pools of the catalogue. The queued work leaves out what pending instances cover.
std::vector<PoolView> viewPools(const FleetSnapshot& snapshot);

}  // namespace reachhoist::fleet
