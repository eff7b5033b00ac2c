// Extension "shortfall": what to rent for work that no machine, up or coming, has room for.
#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

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
  if (job.spec.priority >= wire::Priority::high) return true;
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
    if (machine->phase != machines::MachinePhase::up || !machine->echoed || machine->spotNoticeAt ||
        lost(world, *machine))
      continue;
    room.push_back(Coming{PoolKey{machine->machineType, machine->zone, machine->spot}, machine->room()});
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

// Packs the work that no machine has room for into machines to rent.
class Packer {
 public:
  explicit Packer(const FleetWorld& world)
      : world_(world), pools_(allPools(world.catalog)), coming_(comingMachines(world)) {
    for (const Machine* machine : world.machines)
      if (counts(*machine)) ++sizes_[PoolKey{machine->machineType, machine->zone, machine->spot}];
    // While a zone is cut off, machines there would be of no use, unless there is no other.
    elsewhere_ = std::any_of(pools_.begin(), pools_.end(),
                             [&](const auto& pool) { return !world.cut.contains(pool.first.zone); });
  }

  std::vector<Rental> run() {
    std::vector<Queued> work = uncovered(world_, coming_);
    for (Queued& queued : uncoveredServices(world_, coming_)) work.push_back(std::move(queued));
    rentedFrom_ = coming_.size();  // what is rented here for earlier work takes later work too
    for (Queued& queued : work) {
      if (queued.unmet.job->isGang()) {
        packGang(queued);
      } else {
        pack(queued);
      }
    }
    std::vector<Rental> out;
    for (auto& [key, count] : rentals_) out.push_back(Rental{key, count, std::move(gangs_[key])});
    return out;
  }

 private:
  void pack(Queued& queued) {
    for (std::size_t i = rentedFrom_; i < coming_.size() && queued.unmet.tasks > 0; ++i)
      fill(queued, coming_[i]);
    while (queued.unmet.tasks > 0) {
      const auto* pool = cheapest(queued);
      if (pool == nullptr) return;
      ++rentals_[pool->first];
      ++sizes_[pool->first];
      coming_.push_back(Coming{pool->first, pool->second->room});
      fill(queued, coming_.back());
    }
  }

  // A part of a gang is of no use: either all of its tasks find room, or nothing is rented for it.
  void packGang(Queued& queued) {
    const jobs::Job& job = *queued.unmet.job;
    const auto before = std::tuple{coming_, rentals_, sizes_};
    pack(queued);
    if (queued.unmet.tasks > 0) {
      std::tie(coming_, rentals_, sizes_) = before;
      return;
    }
    for (const auto& [key, count] : rentals_) {
      const auto& earlier = std::get<1>(before);
      const auto found = earlier.find(key);
      if (found == earlier.end() || found->second < count) gangs_[key].push_back(&job);
    }
  }

  const std::pair<PoolKey, const wire::MachineType*>* cheapest(const Queued& queued) const {
    const jobs::Job& job = *queued.unmet.job;
    const wire::JobSpec& spec = job.spec;
    const std::pair<PoolKey, const wire::MachineType*>* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (const auto& pool : pools_) {
      const auto& [key, machineType] = pool;
      if (world_.refused.contains(key) || (elsewhere_ && world_.cut.contains(key.zone))) continue;
      if (!placement::allows(spec, key.machineType, key.zone, key.spot)) continue;
      if (!placement::zoneAllows(spec, queued.byZone, key.zone) || !urgent(world_, job, machineType->bootS))
        continue;
      const int fit = tasksThatFit(spec.each, machineType->room);
      if (fit < 1) continue;
      const auto size = sizes_.find(key);
      // Price of a task's room; a larger pool in one zone breaks ties the other way, to spread the risk.
      const double cost = price(*machineType, key.spot) /
                          std::min(fit, static_cast<int>(queued.unmet.tasks)) *
                          world_.boots.costFactor(key.machineType, key.zone, world_.now) *
                          (1 + 0.001 * (size == sizes_.end() ? 0 : size->second));
      if (cost >= bestCost) continue;
      bestCost = cost;
      best = &pool;
    }
    return best;
  }

  const FleetWorld& world_;
  std::vector<std::pair<PoolKey, const wire::MachineType*>> pools_;
  std::vector<Coming> coming_;
  std::size_t rentedFrom_ = 0;
  std::map<PoolKey, int> sizes_;
  std::map<PoolKey, int> rentals_;
  std::map<PoolKey, std::vector<const placement::Job*>> gangs_;  // that wait for rentals in the pool
  bool elsewhere_ = false;
};

}  // namespace

std::vector<Rental> shortfall(const FleetWorld& world) { return Packer(world).run(); }

}  // namespace reachhoist::fleet
