// What fleet sizing sees of each pool, and the rules that extend the sizing rounds: scale-out for unmet
// work and for the reserve, scale-in of idle machines and consolidation.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "cloud/client.hpp"
#include "fleet/boot_times.hpp"
#include "placement/planner.hpp"

namespace reachhoist::fleet {

using cloud::PoolKey;
using machines::Machine;
using wire::Time;

// One pool (machine type, zone, spot or on-demand) as a sizing round sees it.
struct PoolView {
  PoolKey key;
  int machines = 0;       // booting or up
  int idle = 0;           // up and empty
  int releasable = 0;     // of the idle ones, those whose release keeps the headroom
  double busyShare = 0;   // share of the vCPUs of machines that are up that tasks use, 0..1
  double queueWaitS = 0;  // longest wait of queued work that this pool could take, in seconds
  int queuedTasks = 0;
  double ratePerHour = 0;  // price of one instance per hour
  bool refused = false;    // its last instance request was refused
  int overdue = 0;         // booting, and past their expected boot time
};

// A scale-out: so many instances of a pool, and the gangs that wait for some of them.
struct ScaleOutRequest {
  PoolKey pool;
  int count = 0;
  std::vector<const placement::Job*> gangs;
};

// The leader's view of the fleet for one sizing decision. Borrows the settings, the catalogue and the
// machines.
struct FleetWorld {
  const config::Settings& settings;
  const std::vector<wire::MachineType>& catalog;
  Time now{};
  std::int64_t wallMs = 0;  // wall clock, in milliseconds since the epoch
  std::vector<Machine*> machines;
  std::vector<placement::UnplacedDemand> unmet;
  std::set<PoolKey> refused;               // pools whose instance requests were refused lately
  std::map<PoolKey, std::size_t> pending;  // instances requested, no answer yet
  std::set<std::string> cut;               // zones that seem partitioned away
  std::vector<placement::UnplacedDemand>
      servicesAtRisk;  // services on machines there, whose leases are running out
  BootHistory bootTimes{};
};

// The pool that the machine belongs to.
PoolKey poolOf(const Machine& machine);

// The headroom: free vCPUs on on-demand machines that are up, against the share of production work's vCPUs
// that must stay free for the next services. Idle machines are released only beyond it.
class Headroom {
 public:
  explicit Headroom(const FleetWorld& world);
  // Whether the headroom holds without this machine. Spot machines are no part of it.
  bool allowsRelease(const Machine& machine) const;
  // Counts the machine as released: its vCPUs leave the headroom.
  void release(const Machine& machine);

 private:
  double freeCpus_ = 0;
  double wantedCpus_ = 0;
};

// Every pool of the catalogue, with its size, load and the queued work that pending instances don't cover.
std::vector<PoolView> viewPools(const FleetWorld& world);

// Scale-out for unmet work: instances for queued work that no machine, up or pending, has capacity for and
// that can't wait for the sizing rounds; a bin packing of that work decides how many. A gang gets instances
// for all of its tasks or none, and none while in scale-out backoff. Services in a partitioned zone count as
// queued before their leases expire, since a boot takes about as long as a lease.
std::vector<ScaleOutRequest> scaleOutForUnmetWork(const FleetWorld& world);

// Scale-out for the reserve: on-demand instances for the services and gangs that arrive within one boot time,
// while less than the operators' reserve share of what such work uses is free. Whole instances only.
std::vector<ScaleOutRequest> scaleOutForReserve(const FleetWorld& world);

// Scale-in of idle machines: those empty for longer than the operators' limit and not needed for the
// headroom.
std::vector<Machine*> idleScaleIn(const FleetWorld& world);

// Consolidation: with no queued work, the least used on-demand machines whose services fit (and find their
// image) on others of the same pool. Their services move and job arrays end where they are; a few machines at
// a time, never below the headroom.
std::vector<Machine*> consolidationScaleIn(const FleetWorld& world);

}  // namespace reachhoist::fleet
