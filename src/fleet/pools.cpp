#include "fleet/pools.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string_view>
#include <unordered_map>

namespace reachhoist::fleet {

namespace {

constexpr double kPatienceS = 10;  // work without a deadline waits this long for room to come free by itself
constexpr double kBootReserve = 1.5;  // times bootS that a machine may take until it helps

double price(const wire::RigType& rig, bool loaners) { return loaners ? rig.marketPrice : rig.rate; }

bool counts(const Machine& machine) {
  return machine.phase == machines::MachinePhase::booting || machine.phase == machines::MachinePhase::up;
}

std::vector<std::pair<PoolKey, const wire::RigType*>> allPools(const std::vector<wire::RigType>& catalog) {
  std::vector<std::pair<PoolKey, const wire::RigType*>> out;
  for (const wire::RigType& rig : catalog) {
    for (const std::string& yard : rig.yards) {
      out.push_back({PoolKey{rig.label, yard, false}, &rig});
      out.push_back({PoolKey{rig.label, yard, true}, &rig});
    }
  }
  return out;
}

int tasksThatFit(const wire::Resources& each, const wire::Resources& room) {
  double fit = 1e6;
  const auto limit = [&](double need, double have) {
    if (need > 0) fit = std::min(fit, std::floor(have / need + 1e-6));
  };
  limit(each.vcpus, room.vcpus);
  limit(each.accelerators, room.accelerators);
  limit(each.memoryGb, room.memoryGb);
  return static_cast<int>(fit);
}

// Whether the job should be given machines now, or can wait for room that comes free.
bool urgent(const FleetWorld& world, const jobs::Job& job, double bootS) {
  if (job.spec.rank >= wire::Rank::high) return true;
  // Room that comes free by itself comes in pieces.
  if (job.isGang()) return true;
  if (job.spec.dueS) {
    const double slackS =
        static_cast<double>(job.dueMs() - world.wallMs) / 1000.0 - job.spec.expectS - kBootReserve * bootS;
    if (slackS < kPatienceS) return true;
  }
  return wire::toSeconds(world.now - job.waitingSince) >= kPatienceS;
}

using ZoneCount = std::map<std::string, std::uint32_t>;

struct Coming {
  PoolKey pool;
  wire::Resources room;
};

struct Queued {
  placement::Unmet unmet;
  ZoneCount byZone;
};

// Machines that will take work soon: booting, asked for, or up and not heard from both ways yet.
std::vector<Coming> comingMachines(const FleetWorld& world) {
  std::vector<Coming> out;
  for (const Machine* machine : world.machines) {
    const PoolKey key{machine->rig, machine->yard, machine->loaners};
    if (machine->phase == machines::MachinePhase::booting) {
      out.push_back(Coming{key, machine->total});
    } else if (machine->phase == machines::MachinePhase::up && !machine->echoed && !machine->recallAt) {
      out.push_back(Coming{key, machine->room()});
    }
  }
  for (const auto& [key, rig] : allPools(world.catalog)) {
    const auto found = world.pending.find(key);
    for (std::size_t i = 0; found != world.pending.end() && i < found->second; ++i)
      out.push_back(Coming{key, rig->room});
  }
  return out;
}

void fill(Queued& queued, Coming& machine) {
  const wire::JobSpec& spec = queued.unmet.job->spec;
  if (!placement::allows(spec, machine.pool.rig, machine.pool.yard, machine.pool.loaners)) return;
  while (queued.unmet.tasks > 0 && spec.each.fitsIn(machine.room) &&
         placement::zoneAllows(spec, queued.byZone, machine.pool.yard)) {
    machine.room -= spec.each;
    ++queued.byZone[machine.pool.yard];
    --queued.unmet.tasks;
  }
}

// What can't be reached in a zone that is cut off.
bool lost(const FleetWorld& world, const Machine& machine) {
  return machine.unreachable && world.cut.contains(machine.yard);
}

// The work with, for jobs that care, where their other tasks are; counted in one pass over the machines.
std::vector<Queued> queue(const FleetWorld& world, const std::vector<placement::Unmet>& work, bool withLost) {
  std::vector<Queued> out;
  std::unordered_map<std::string_view, ZoneCount*> zoned;
  out.reserve(work.size());
  for (const placement::Unmet& unmet : work) {
    out.push_back(Queued{unmet, {}});
    if (unmet.job->spec.apart || unmet.job->spec.oneZone)
      zoned[unmet.job->spec.ref.text] = &out.back().byZone;
  }
  if (zoned.empty()) return out;
  for (const Machine* machine : world.machines) {
    if (!withLost && lost(world, *machine)) continue;
    for (const machines::Attempt& attempt : machine->attempts) {
      if (!attempt.holdsRoom()) continue;
      const auto found = zoned.find(attempt.task.job.text);
      if (found != zoned.end()) ++(*found->second)[machine->yard];
    }
  }
  return out;
}

// Waiting work that the machines which are coming have no room for.
std::vector<Queued> uncovered(const FleetWorld& world, std::vector<Coming>& coming) {
  std::vector<Queued> out;
  for (Queued& queued : queue(world, world.unmet, true)) {
    for (Coming& machine : coming) {
      if (queued.unmet.tasks == 0) break;
      fill(queued, machine);
    }
    if (queued.unmet.tasks > 0) out.push_back(std::move(queued));
  }
  return out;
}

// Services that end with their leases, as far as neither free room nor what is coming will take them.
std::vector<Queued> uncoveredServices(const FleetWorld& world, std::vector<Coming> room) {
  std::vector<Queued> out;
  if (world.endangered.empty()) return out;
  for (const Machine* machine : world.machines) {
    if (machine->phase != machines::MachinePhase::up || !machine->echoed || machine->recallAt ||
        lost(world, *machine))
      continue;
    room.push_back(Coming{PoolKey{machine->rig, machine->yard, machine->loaners}, machine->room()});
  }
  for (Queued& queued : queue(world, world.endangered, false)) {
    for (Coming& machine : room) {
      if (queued.unmet.tasks == 0) break;
      fill(queued, machine);
    }
    if (queued.unmet.tasks > 0) out.push_back(std::move(queued));
  }
  return out;
}

}  // namespace

std::vector<PoolView> viewPools(const FleetWorld& world) {
  std::map<PoolKey, PoolView> views;
  for (const auto& [key, rig] : allPools(world.catalog)) {
    PoolView& view = views[key];
    view.key = key;
    view.ratePerHour = price(*rig, key.loaners);
    view.refused = world.refused.contains(key);
  }
  std::map<PoolKey, std::pair<double, double>> cpus;  // used, total
  for (const Machine* machine : world.machines) {
    if (!counts(*machine)) continue;
    const auto found = views.find(PoolKey{machine->rig, machine->yard, machine->loaners});
    if (found == views.end()) continue;
    ++found->second.machines;
    if (machine->phase != machines::MachinePhase::up) continue;
    if (machine->empty()) ++found->second.idle;
    auto& [used, total] = cpus[found->first];
    used += machine->total.vcpus - machine->room().vcpus;
    total += machine->total.vcpus;
  }
  // What a machine that is coming will take is no reason for another: that is the shortfall extension's
  // doing.
  auto coming = comingMachines(world);
  const auto queue = uncovered(world, coming);
  for (auto& [key, view] : views) {
    if (const auto found = cpus.find(key); found != cpus.end() && found->second.second > 0)
      view.busyShare = found->second.first / found->second.second;
    for (const auto& [unmet, byZone] : queue) {
      if (!placement::allows(unmet.job->spec, key.rig, key.yard, key.loaners)) continue;
      view.queueWaitS = std::max(view.queueWaitS, wire::toSeconds(world.now - unmet.job->waitingSince));
      view.queuedTasks += static_cast<int>(unmet.tasks);
    }
  }
  std::vector<PoolView> out;
  for (auto& [key, view] : views) out.push_back(std::move(view));
  return out;
}

std::vector<Rental> shortfall(const FleetWorld& world) {
  const auto pools = allPools(world.catalog);
  std::map<PoolKey, int> sizes;
  for (const Machine* machine : world.machines)
    if (counts(*machine)) ++sizes[PoolKey{machine->rig, machine->yard, machine->loaners}];
  auto coming = comingMachines(world);
  std::map<PoolKey, int> rentals;
  const std::size_t rentedFrom = coming.size();  // what is rented here for earlier work takes later work too
  std::vector<Queued> work = uncovered(world, coming);
  for (Queued& queued : uncoveredServices(world, coming)) work.push_back(std::move(queued));
  // While a zone is cut off, machines there would be of no use, unless there is no other.
  const bool elsewhere = std::any_of(pools.begin(), pools.end(),
                                     [&](const auto& pool) { return !world.cut.contains(pool.first.yard); });
  for (Queued& queued : work) {
    const jobs::Job& job = *queued.unmet.job;
    const wire::JobSpec& spec = job.spec;
    for (std::size_t i = rentedFrom; i < coming.size() && queued.unmet.tasks > 0; ++i)
      fill(queued, coming[i]);
    while (queued.unmet.tasks > 0) {
      const PoolKey* best = nullptr;
      const wire::RigType* bestRig = nullptr;
      double bestCost = std::numeric_limits<double>::max();
      for (const auto& [key, rig] : pools) {
        if (world.refused.contains(key) || (elsewhere && world.cut.contains(key.yard))) continue;
        if (!placement::allows(spec, key.rig, key.yard, key.loaners)) continue;
        if (!placement::zoneAllows(spec, queued.byZone, key.yard) || !urgent(world, job, rig->bootS))
          continue;
        const int fit = tasksThatFit(spec.each, rig->room);
        if (fit < 1) continue;
        // Price of a task's room; a larger pool in one zone breaks ties the other way, to spread the risk.
        const double cost = price(*rig, key.loaners) / std::min(fit, static_cast<int>(queued.unmet.tasks)) *
                            (1 + 0.001 * sizes[key]);
        if (cost >= bestCost) continue;
        bestCost = cost;
        best = &key;
        bestRig = rig;
      }
      if (best == nullptr) break;
      ++rentals[*best];
      ++sizes[*best];
      coming.push_back(Coming{*best, bestRig->room});
      fill(queued, coming.back());
    }
  }
  std::vector<Rental> out;
  for (const auto& [key, count] : rentals) out.push_back(Rental{key, count});
  return out;
}

std::vector<Machine*> idleReturns(const FleetWorld& world) {
  double prodUse = 0;
  double ordinaryFree = 0;
  for (const Machine* machine : world.machines) {
    if (machine->phase != machines::MachinePhase::up) continue;
    for (const machines::Attempt& attempt : machine->attempts)
      if (attempt.holdsRoom() && attempt.rank == wire::Rank::prod) prodUse += attempt.each.vcpus;
    if (!machine->loaners) ordinaryFree += std::max(0.0, machine->room().vcpus);
  }
  const double spare = prodUse * world.settings.operators.spareShare;
  std::vector<Machine*> out;
  for (Machine* machine : world.machines) {
    if (machine->phase != machines::MachinePhase::up || !machine->attempts.empty() || machine->recordBusy)
      continue;
    if (world.now - machine->idleSince < wire::seconds(world.settings.operators.idleReturnS)) continue;
    if (!machine->loaners) {
      if (ordinaryFree - machine->total.vcpus < spare) continue;
      ordinaryFree -= machine->total.vcpus;
    }
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
    if (machine->loaners) continue;
    Pool& pool = pools[PoolKey{machine->rig, machine->yard, machine->loaners}];
    if (machine->phase == machines::MachinePhase::draining) ++pool.leaving;
    if (machine->phase != machines::MachinePhase::up || !machine->echoed || machine->recallAt) continue;
    pool.up.push_back(machine);
    pool.free += std::max(0.0, machine->room().vcpus);
    for (const machines::Attempt& attempt : machine->attempts)
      if (attempt.holdsRoom() && attempt.rank == wire::Rank::prod) pool.prod += attempt.each.vcpus;
  }
  const auto movable = [&](const Machine& machine, const Pool& pool) {
    // An empty one is the affair of idle returns.
    if (machine.empty() || machine.recordBusy || world.now - machine.upSince < constants::kVacateAge)
      return false;
    for (const machines::Attempt& attempt : machine.attempts) {
      if (attempt.phase == machines::AttemptPhase::ended) continue;
      if (attempt.phase != machines::AttemptPhase::running || attempt.stopWanted) return false;
      if (!attempt.daemon) continue;
      if (world.now - attempt.runningSince < constants::kVacateAge) return false;
      const bool welcome = std::any_of(pool.up.begin(), pool.up.end(), [&](const Machine* other) {
        return other != &machine && other->has(attempt.crate) && attempt.each.fitsIn(other->room());
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
