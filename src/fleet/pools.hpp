// What a sizing round sees of each pool.
#pragma once

#include <vector>

#include "fleet/snapshot.hpp"

namespace reachhoist::fleet {

// One pool (machine type, zone, spot or on-demand) as a sizing round sees it.
struct PoolView {
  PoolKey key;
  int machines = 0;            // booting or up
  int idleMachines = 0;        // up and empty
  int releasableMachines = 0;  // of the idle ones, those whose release keeps the headroom
  double busyShare = 0;        // share of the vCPUs of machines that are up that tasks use, 0..1
  double queueWaitS = 0;       // longest wait of queued work that this pool could take, in seconds
  int queuedTasks = 0;
  double pricePerHour = 0;      // price of one instance per hour
  bool requestRefused = false;  // its last instance request was refused
  int overdueBoots = 0;         // booting, and past their expected boot time
};

// Every pool of the catalogue, with its size, load and the queued work that pending instances don't cover.
std::vector<PoolView> viewPools(const FleetSnapshot& snapshot);

}  // namespace reachhoist::fleet
