#include "fleet/pools.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

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
  if (job.spec.dueS) {
    const double slackS =
        static_cast<double>(job.dueMs() - world.wallMs) / 1000.0 - job.spec.expectS - kBootReserve * bootS;
    if (slackS < kPatienceS) return true;
  }
  return wire::toSeconds(world.now - job.waitingSince) >= kPatienceS;
}

struct Coming {
  PoolKey pool;
  wire::Resources room;
};

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
  for (auto& [key, view] : views) {
    if (const auto found = cpus.find(key); found != cpus.end() && found->second.second > 0)
      view.busyShare = found->second.first / found->second.second;
    for (const placement::Unmet& unmet : world.unmet) {
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
  std::vector<Coming> coming;
  std::map<PoolKey, int> sizes;
  for (const Machine* machine : world.machines) {
    if (!counts(*machine)) continue;
    const PoolKey key{machine->rig, machine->yard, machine->loaners};
    ++sizes[key];
    // Up, but not heard from both ways yet: it takes work in a moment.
    const bool soon = machine->phase == machines::MachinePhase::up && !machine->echoed && machine->empty();
    if (machine->phase == machines::MachinePhase::booting || soon)
      coming.push_back(Coming{key, machine->total});
  }
  for (const auto& [key, rig] : pools) {
    const auto found = world.pending.find(key);
    for (std::size_t i = 0; found != world.pending.end() && i < found->second; ++i)
      coming.push_back(Coming{key, rig->room});
  }
  std::map<PoolKey, int> rentals;
  for (const placement::Unmet& unmet : world.unmet) {
    const wire::JobSpec& spec = unmet.job->spec;
    auto byZone = placement::tasksByZone(*unmet.job, world.machines);
    int left = static_cast<int>(unmet.tasks);
    const auto fill = [&](Coming& machine) {
      if (!placement::allows(spec, machine.pool.rig, machine.pool.yard, machine.pool.loaners)) return;
      while (left > 0 && spec.each.fitsIn(machine.room) &&
             placement::zoneAllows(spec, byZone, machine.pool.yard)) {
        machine.room -= spec.each;
        ++byZone[machine.pool.yard];
        --left;
      }
    };
    for (Coming& machine : coming) fill(machine);
    while (left > 0) {
      const PoolKey* best = nullptr;
      const wire::RigType* bestRig = nullptr;
      double bestCost = std::numeric_limits<double>::max();
      for (const auto& [key, rig] : pools) {
        if (world.refused.contains(key)) continue;
        if (!placement::allows(spec, key.rig, key.yard, key.loaners)) continue;
        if (!placement::zoneAllows(spec, byZone, key.yard) || !urgent(world, *unmet.job, rig->bootS))
          continue;
        const int fit = tasksThatFit(spec.each, rig->room);
        if (fit < 1) continue;
        // Price of a task's room; a larger pool in one zone breaks ties the other way, to spread the risk.
        const double cost = price(*rig, key.loaners) / std::min(fit, left) * (1 + 0.001 * sizes[key]);
        if (cost >= bestCost) continue;
        bestCost = cost;
        best = &key;
        bestRig = rig;
      }
      if (best == nullptr) break;
      ++rentals[*best];
      ++sizes[*best];
      coming.push_back(Coming{*best, bestRig->room});
      fill(coming.back());
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
      // What it holds must find room elsewhere, and a machine's worth must stay free beyond the spare room.
      const double used = machine->total.vcpus - machine->room().vcpus;
      if (used > machine->total.vcpus * constants::kVacateUsed) break;
      if (pool.free - machine->total.vcpus < spare + machine->total.vcpus) break;
      if (!movable(*machine, pool)) continue;
      pool.free -= machine->total.vcpus;
      ++pool.leaving;
      out.push_back(machine);
    }
  }
  return out;
}

}  // namespace reachhoist::fleet
