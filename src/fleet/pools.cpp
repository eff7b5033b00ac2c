#include "fleet/pools.hpp"

#include <algorithm>

#include "fleet/coming.hpp"

namespace reachhoist::fleet {

std::vector<PoolView> viewPools(const FleetWorld& world) {
  std::map<PoolKey, PoolView> views;
  for (const auto& [key, machineType] : allPools(world.catalog)) {
    PoolView& view = views[key];
    view.key = key;
    view.ratePerHour = price(*machineType, key.spot);
    view.refused = world.refused.contains(key);
  }
  std::map<PoolKey, std::pair<double, double>> cpus;  // used, total
  std::map<PoolKey, SpareRoom> spare;                 // each pool's step is judged by itself
  const BootCohorts cohorts(world.machines);
  for (const Machine* machine : world.machines) {
    if (!counts(*machine)) continue;
    const auto found = views.find(PoolKey{machine->machineType, machine->zone, machine->spot});
    if (found == views.end()) continue;
    ++found->second.machines;
    if (straggles(world, cohorts, *machine)) ++found->second.late;
    if (machine->phase != machines::MachinePhase::up) continue;
    if (machine->empty()) {
      ++found->second.idle;
      if (SpareRoom& left = spare.try_emplace(found->first, world).first->second;
          left.staysWithout(*machine)) {
        ++found->second.returnable;
        left.take(*machine);
      }
    }
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
      if (!placement::allows(unmet.job->spec, key.machineType, key.zone, key.spot)) continue;
      view.queueWaitS = std::max(view.queueWaitS, wire::toSeconds(world.now - unmet.job->waitingSince));
      view.queuedTasks += static_cast<int>(unmet.tasks);
    }
  }
  std::vector<PoolView> out;
  for (auto& [key, view] : views) out.push_back(std::move(view));
  return out;
}

}  // namespace reachhoist::fleet
