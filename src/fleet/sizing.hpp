// The ordinary path of fleet sizing: rounds of clamped, pool-scaled steps with cooldowns.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "fleet/pools.hpp"

namespace reachhoist::fleet {

struct Step {
  PoolKey pool;
  int units = 0;     // -1, 0, 1 or 2
  int machines = 0;  // units times the unit of this pool
  std::string why;
};

// A unit is an eighth of the pool, at least one machine.
int unitOf(int machines, int divisor);

class Sizing {
 public:
  explicit Sizing(const config::Settings& settings) : settings_(settings) {}

  bool due(Time now) const { return now >= next_; }
  std::vector<Step> round(Time now, const std::vector<PoolView>& pools);
  // A rental of the last round was refused: it counts as no step.
  void refused(const PoolKey& pool);

 private:
  struct PoolState {
    Time lastUp{};
    Time lastDown{};
    Time previousUp{};
  };
  int clamp(const PoolView& pool, PoolState& state, int units, Time now) const;

  const config::Settings& settings_;
  Time next_{};
  std::map<PoolKey, PoolState> states_;
};

}  // namespace reachhoist::fleet
