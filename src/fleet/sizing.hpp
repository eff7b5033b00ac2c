// The ordinary path of fleet sizing: rounds of clamped, pool-scaled steps with cooldowns.
#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "fleet/episodes.hpp"
#include "fleet/pools.hpp"

namespace reachhoist::fleet {

struct Step {
  PoolKey pool;
  int units = 0;     // -1, 0, 1 or 2
  int machines = 0;  // units times the unit of this pool
  std::string why;
};

// A unit is an eighth of the pool, at least one machine.
// Rises by the machine in small pools, by the doubling in large ones, so that it tells hundreds from dozens.
double sizeFeature(int machines);
int unitOf(int machines, int divisor);

class Sizing {
 public:
  Sizing(const config::Settings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {
    probeChance_ = settings.operators.probeChance;
  }

  bool due(Time now) const { return now >= next_; }
  std::vector<Step> round(Time now, const std::vector<PoolView>& pools);
  // A rental of the last round was refused: it counts as no step, and its episode is dropped.
  void refused(const PoolKey& pool);

  const Buffer& buffer() const { return buffer_; }
  const Frontier& frontier() const { return frontier_; }
  double probeChance() const { return probeChance_; }
  // The copy for a new leader, with as many episodes as a value of so many bytes holds.
  Json encode(std::size_t valueRoom) const;
  bool decode(const Json& value);

 private:
  // A step that waits for its settling window, one round, to be scored.
  struct Open {
    Context context{};
    Outcome before;
  };
  struct PoolState {
    Time lastUp{};
    Time lastDown{};
    Time previousUp{};
    std::optional<Open> open;
  };
  Context contextOf(const PoolView& pool) const;
  int clamp(const PoolView& pool, const PoolState& state, int units, Time now) const;
  int followQueue(const PoolView& pool) const;
  void score(const PoolView& pool, PoolState& state);

  const config::Settings& settings_;
  std::mt19937_64 random_;
  double probeChance_ = 0;
  Time next_{};
  std::map<PoolKey, PoolState> states_;
  Buffer buffer_;
  Frontier frontier_;
};

}  // namespace reachhoist::fleet
