// The sizing rounds of fleet autoscaling (after SAIR). A round chooses a step of a few units per pool by a
// random probe, by the episodes retrieved for the pool's context, or by the queue, and observes cooldowns
// between steps.
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

// The step that a round has chosen for a pool.
struct Step {
  PoolKey pool;
  int units = 0;     // -1, 0, 1 or 2
  int machines = 0;  // units times the machines per unit; negative for a scale-in
  std::string why;   // "probe", "queue", or the number and the value of the supporting episodes
};

// The size feature of a context. It is linear in small pools and logarithmic in large ones, so that it
// distinguishes hundreds of machines from dozens.
double sizeFeature(int machines);
// The machines of one unit: the pool's machines divided by `divisor` (8 by default), at least one.
int machinesPerUnit(int machines, int divisor);

// The sizing state of one leader: episode buffer, Pareto frontier, probe chance and cooldowns per pool.
class Sizing {
 public:
  Sizing(const config::Settings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {
    probeChance_ = settings.operators.probeChance;
  }

  bool isRoundDue(Time now) const { return now >= nextRoundAt_; }
  // Scores the steps of the last round and returns the next ones. Pools without a step are left out.
  std::vector<Step> runRound(Time now, const std::vector<PoolView>& pools);
  // Takes back the pool's step of the last round, as its instance request was refused: it starts no cooldown
  // and is not scored.
  void onScaleOutRefused(const PoolKey& pool);

  const EpisodeBuffer& buffer() const { return buffer_; }
  const ParetoFrontier& frontier() const { return frontier_; }
  double probeChance() const { return probeChance_; }
  // The state for a new leader, with as many episodes as fit into `valueSizeLimitBytes` of JSON.
  Json encode(std::size_t valueSizeLimitBytes) const;
  // Restores such a state. Returns false and changes nothing if it is malformed.
  bool decode(const Json& value);

 private:
  // A step of the last round, which the next round scores.
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
  // The units of a step before limits and cooldowns apply, and the reason for the choice.
  struct Decision {
    int units = 0;
    std::string why;
  };
  PoolContext contextOf(const PoolView& pool) const;
  // Chooses units by a probe, by the retrieved episodes or by the queue.
  Decision chooseUnits(const PoolView& pool, const PoolContext& context);
  // The units, clamped to the limits of a step, or 0 if a refusal, a cooldown or the headroom forbids it.
  int allowedUnits(const PoolView& pool, const PoolState& state, int units, Time now) const;
  // The units that follow from the pool's queue wait and busy share alone.
  int unitsForQueue(const PoolView& pool) const;
  // The outcome of a step chosen now, without the wait and the cost after it.
  StepOutcome outcomeBefore(const PoolView& pool, int units) const;
  // Scores the pool's step of the last round, if there is one, and stores its episode.
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
