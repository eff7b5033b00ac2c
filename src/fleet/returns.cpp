// Extensions "idle" and "vacate": which machines go back.
#include <algorithm>

#include "fleet/pools.hpp"

namespace reachhoist::fleet {

SpareRoom::SpareRoom(const FleetWorld& world) {
  double used = 0;  // by prod work
  for (const Machine* machine : world.machines) {
    if (machine->phase != machines::MachinePhase::up) continue;
    for (const machines::Attempt& attempt : machine->attempts)
      if (attempt.holdsRoom() && attempt.priority == wire::Priority::prod) used += attempt.each.vcpus;
    if (!machine->spot) free_ += std::max(0.0, machine->room().vcpus);
  }
  wanted_ = used * world.settings.operators.spareShare;
}

bool SpareRoom::staysWithout(const Machine& machine) const {
  return machine.spot || free_ - machine.total.vcpus >= wanted_;
}

void SpareRoom::take(const Machine& machine) {
  if (!machine.spot) free_ -= machine.total.vcpus;
}

std::vector<Machine*> idleReturns(const FleetWorld& world) {
  SpareRoom spare(world);
  std::vector<Machine*> out;
  for (Machine* machine : world.machines) {
    if (machine->phase != machines::MachinePhase::up || !machine->attempts.empty() || machine->recordBusy)
      continue;
    if (world.now - machine->idleSince < wire::seconds(world.settings.operators.idleReturnS)) continue;
    if (!spare.staysWithout(*machine)) continue;
    spare.take(*machine);
    out.push_back(machine);
  }
  return out;
}

std::vector<Machine*> vacations(const FleetWorld& world) {
  struct Pool {
    std::vector<Machine*> up;
    double free = 0;
    double prod = 0;
    std::size_t leaving = 0;
  };
  std::map<PoolKey, Pool> pools;
  if (!world.unmet.empty()) return {};
  for (Machine* machine : world.machines) {
    if (machine->spot) continue;
    Pool& pool = pools[PoolKey{machine->machineType, machine->zone, machine->spot}];
    if (machine->phase == machines::MachinePhase::draining) ++pool.leaving;
    if (machine->phase != machines::MachinePhase::up || !machine->echoed || machine->spotNoticeAt) continue;
    pool.up.push_back(machine);
    pool.free += std::max(0.0, machine->room().vcpus);
    for (const machines::Attempt& attempt : machine->attempts)
      if (attempt.holdsRoom() && attempt.priority == wire::Priority::prod) pool.prod += attempt.each.vcpus;
  }
  const auto movable = [&](const Machine& machine, const Pool& pool) {
    // An empty one is the affair of idle returns.
    if (machine.empty() || machine.recordBusy || world.now - machine.upSince < constants::kVacateAge)
      return false;
    for (const machines::Attempt& attempt : machine.attempts) {
      if (attempt.phase == machines::AttemptPhase::ended) continue;
      if (attempt.phase != machines::AttemptPhase::running || attempt.stopWanted) return false;
      if (!attempt.isService) continue;
      if (world.now - attempt.runningSince < constants::kVacateAge) return false;
      const bool welcome = std::any_of(pool.up.begin(), pool.up.end(), [&](const Machine* other) {
        return other != &machine && other->has(attempt.image) && attempt.each.fitsIn(other->room());
      });
      if (!welcome) return false;
    }
    return true;
  };
  std::vector<Machine*> out;
  for (auto& [key, pool] : pools) {
    const std::size_t most = 1 + pool.up.size() / constants::kVacateDivisor;
    const double spare = pool.prod * world.settings.operators.spareShare;
    std::sort(pool.up.begin(), pool.up.end(),
              [](const Machine* a, const Machine* b) { return a->room().vcpus > b->room().vcpus; });
    for (Machine* machine : pool.up) {
      if (pool.leaving >= most) break;
      // What it holds must find room elsewhere, and beyond the spare room two machines' worth must stay free,
      // so that the loss of one uses up nothing that the next services need.
      const double used = machine->total.vcpus - machine->room().vcpus;
      if (used > machine->total.vcpus * constants::kVacateUsed) break;
      if (pool.free - machine->total.vcpus < spare + constants::kVacateKeep * machine->total.vcpus) break;
      if (!movable(*machine, pool)) continue;
      pool.free -= machine->total.vcpus;
      ++pool.leaving;
      out.push_back(machine);
    }
  }
  return out;
}

}  // namespace reachhoist::fleet
