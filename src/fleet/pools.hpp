// What sizing sees of the pools, and the extensions of the ordinary path: shortfall, reserve, idle returns
// and vacating.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "cloud/client.hpp"
#include "fleet/boots.hpp"
#include "placement/planner.hpp"

namespace reachhoist::fleet {

using cloud::PoolKey;
using machines::Machine;
using wire::Time;

struct PoolView {
  PoolKey key;
  int machines = 0;       // booting or up
  int idle = 0;           // up and empty
  int returnable = 0;     // of those, what leaves the spare room
  double busyShare = 0;   // of the vCPUs of machines that are up
  double queueWaitS = 0;  // longest wait of work that this pool could take
  int queuedTasks = 0;
  double ratePerHour = 0;  // of one machine
  bool refused = false;    // its last rental was refused
  int late = 0;            // booting, and should be up by now
};

struct Rental {
  PoolKey pool;
  int count = 0;
  std::vector<const placement::Job*> gangs;  // that wait for some of these machines
};

struct FleetWorld {
  const config::Settings& settings;
  const std::vector<wire::MachineType>& catalog;
  Time now{};
  std::int64_t wallMs = 0;
  std::vector<Machine*> machines;
  std::vector<placement::Unmet> unmet;
  std::set<PoolKey> refused;
  std::map<PoolKey, std::size_t> pending;    // asked for, no answer yet
  std::set<std::string> cut;                 // zones that seem cut off
  std::vector<placement::Unmet> endangered;  // services on machines there, whose leases are running out
  BootHistory boots{};
};

// The free CPUs of ordinary machines, and those that must stay free for the next services: only machines
// beyond them are returned for being idle.
class SpareRoom {
 public:
  explicit SpareRoom(const FleetWorld& world);
  // Whether the spare room stays without this machine. Spot machines are none of it.
  bool staysWithout(const Machine& machine) const;
  void take(const Machine& machine);

 private:
  double free_ = 0;
  double wanted_ = 0;
};

std::vector<PoolView> viewPools(const FleetWorld& world);

// Extension "shortfall": machines are rented for a whole gang or not at all, and ever more rarely where the
// cloud gives too few. Otherwise: work for which no machine, up or coming, has room, and that can't wait for
// the rounds. Rents what a packing of that work needs; acts on nothing once the queue is placed. The services
// of a zone that is cut off count as waiting before their leases have run out: a boot takes about as long as
// a lease.
std::vector<Rental> shortfall(const FleetWorld& world);

// Extension "reserve": ordinary machines for the services and gangs of the next boot's time. The ordinary
// path answers queues, and a queue of such work has waited for a boot before its answer is up. Acts while
// less than the operators' share of what such work uses is free; a pool that the ordinary path has just made
// smaller is left alone for that step's cooldown.
std::vector<Rental> reserve(const FleetWorld& world);

// Extension "idle": machines empty for longer than the operators' limit and not needed as spare room.
std::vector<Machine*> idleReturns(const FleetWorld& world);

// Extension "vacate": with nothing waiting or coming, the least used ordinary machines whose services have
// room (and their image) on others of the same pool. Their services move, arrays end where they are; a few at
// a time, and never below the spare room.
std::vector<Machine*> vacations(const FleetWorld& world);

}  // namespace reachhoist::fleet
