// The sizing rounds of fleet autoscaling: per pool, a clamped step of a few units, chosen by a probe, by the
// episodes retrieved for the pool's context, or by the queue, with cooldowns between steps (after SAIR).
#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "fleet/episodes.hpp"
#include "fleet/pareto.hpp"
#include "fleet/payoff.hpp"
#include "fleet/pools.hpp"

namespace reachhoist::fleet {

// The step that a round chose for a pool.
struct Step {
  PoolKey pool;
  int units = 0;     // -1, 0, 1 or 2
  int machines = 0;  // units times the unit of this pool; negative for a scale-in
  std::string why;   // "probe", "queue" or the support and value of the episodes
};

// The size feature of a context: rises by the machine in small pools and by the doubling in large ones, so
// that it tells hundreds from dozens.
double sizeFeature(int machines);
// A unit is a `divisor`th of the pool (an eighth by default), at least one machine.
int machinesPerUnit(int machines, int divisor);

// The sizing state of one leader: episode buffer, Pareto frontier, probe chance and cooldowns per pool.
class Sizing {
 public:
  Sizing(const config::Settings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {
    probeChance_ = settings.operators.probeChance;
  }

  // Whether the next round is due.
  bool isRoundDue(Time now) const { return now >= nextRoundAt_; }
  // Scores the steps of the last round and chooses the next ones; pools without a step are left out.
  std::vector<Step> round(Time now, const std::vector<PoolView>& pools);
  // An instance request of the last round was refused: it counts as no step, and its episode is dropped.
  void onScaleOutRefused(const PoolKey& pool);

  const EpisodeBuffer& buffer() const { return buffer_; }
  const ParetoFrontier& frontier() const { return frontier_; }
  double probeChance() const { return probeChance_; }
  // The copy for a new leader, with as many episodes as fit into `valueSizeLimit` bytes of JSON.
  Json encode(std::size_t valueSizeLimit) const;
  // Takes over such a copy. False if it is malformed; nothing is changed then.
  bool decode(const Json& value);

 private:
  // A step that waits for its settling window, one round, to be scored.
  struct UnscoredStep {
    PoolContext context{};
    StepOutcome before;
  };
  struct PoolState {
    Time lastScaleOutAt{};
    Time lastScaleInAt{};
    Time previousScaleOutAt{};  // restored if the last scale-out is refused
    std::optional<UnscoredStep> unscored;
  };
  // The units of a step before limits and cooldowns, and why they were chosen.
  struct Decision {
    int units = 0;
    std::string why;
  };
  PoolContext contextOf(const PoolView& pool) const;
  // Chooses units by a probe, by the retrieved episodes or by the queue.
  Decision chooseUnits(const PoolView& pool, const PoolContext& context);
  // The nearest units that the limits and cooldowns allow.
  int allowedUnits(const PoolView& pool, const PoolState& state, int units, Time now) const;
  // Units by the pool's queue wait alone.
  int unitsForQueue(const PoolView& pool) const;
  // The outcome of a step chosen now, as far as it is known before the step.
  StepOutcome outcomeBefore(const PoolView& pool, int units) const;
  // Scores the pool's step of the last round, if there is one, and stores the episode.
  void scorePreviousStep(const PoolView& pool, PoolState& state);

  const config::Settings& settings_;
  std::mt19937_64 random_;
  double probeChance_ = 0;
  Time nextRoundAt_{};
  std::map<PoolKey, PoolState> poolStates_;
  EpisodeBuffer buffer_;
  ParetoFrontier frontier_;
};

}  // namespace reachhoist::fleet
