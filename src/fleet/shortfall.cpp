// Extension "shortfall": what to rent for work that no machine, up or coming, has room for.
#include <algorithm>
#include <cmath>
#include <limits>

#include "fleet/coming.hpp"

namespace reachhoist::fleet {

namespace {

constexpr double kPatienceS = 10;  // work without a deadline waits this long for room to come free by itself
constexpr double kBootReserve = 1.5;  // times bootS that a machine may take until it helps

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
  for (Queued& queued : queueOf(world, world.endangered, false)) {
    for (Coming& machine : room) {
      if (queued.unmet.tasks == 0) break;
      fill(queued, machine);
    }
    if (queued.unmet.tasks > 0) out.push_back(std::move(queued));
  }
  return out;
}

}  // namespace

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

}  // namespace reachhoist::fleet
