// Sizing rounds: contexts, the choice of steps, their validation against limits and cooldowns, and scoring.
#include "fleet/sizing.hpp"

#include <algorithm>
#include <cmath>

namespace reachhoist::fleet {

namespace {

// A pool without a queue whose busy share is smaller has a unit too many.
constexpr double kUnderusedBusyShare = 0.5;

double queueWaitTargetS() { return wire::toSeconds(constants::kQueueWaitTarget); }

}  // namespace

double sizeFeature(int machines) {
  const double share = machines / constants::kSmallPoolMachines;
  return share <= 1 ? share : 1 + std::log2(share) / constants::kSizeFeatureDoublings;
}

int machinesPerUnit(int machines, int divisor) { return std::max(1, machines / std::max(1, divisor)); }

int Sizing::allowedUnits(const PoolView& pool, const PoolState& state, int units, Time now) const {
  units = std::clamp(units, constants::kMinStepUnits, constants::kMaxStepUnits);
  if (units > 0 && (pool.requestRefused ||
                    (state.lastScaleOutAt != Time{} &&
                     now - state.lastScaleOutAt < wire::seconds(settings_.operators.scaleUpCooldownS))))
    return 0;
  if (units < 0 && (pool.releasableMachines == 0 ||
                    (state.lastScaleInAt != Time{} &&
                     now - state.lastScaleInAt < wire::seconds(settings_.operators.scaleDownCooldownS))))
    return 0;
  return units;
}

int Sizing::unitsForQueue(const PoolView& pool) const {
  if (pool.queueWaitS > 2 * queueWaitTargetS()) return 2;
  if (pool.queueWaitS > queueWaitTargetS()) return 1;
  return pool.queueWaitS == 0 && pool.busyShare < kUnderusedBusyShare ? -1 : 0;
}

PoolContext Sizing::contextOf(const PoolView& pool) const {
  const double machines = std::max(1, pool.machines);
  const auto scaled = [](double value, double max) { return std::clamp(value / max, 0.0, 1.0); };
  return PoolContext{scaled(pool.queueWaitS, constants::kMaxWaitTargets * queueWaitTargetS()),
                     scaled(pool.queuedTasks, 8 * machines), pool.busyShare, pool.idleMachines / machines,
                     sizeFeature(pool.machines)};
}

void Sizing::scorePreviousStep(const PoolView& pool, PoolState& state) {
  if (!state.unscored) return;
  // While boots are overdue, the step has not taken full effect and cannot be scored.
  if (state.unscored->before.units > 0 && pool.overdueBoots > 0) return state.unscored.reset();
  StepOutcome outcome = state.unscored->before;
  outcome.waitAfterS = pool.queueWaitS;
  outcome.costAfterPerHour = pool.machines * pool.pricePerHour;
  const double value = payoff(outcome, frontier_);
  buffer_.add(Episode{state.unscored->context, outcome.units, value});
  frontier_.update(normalised(outcome));
  state.unscored.reset();
}

Sizing::Decision Sizing::chooseUnits(const PoolView& pool, const PoolContext& context) {
  if (std::bernoulli_distribution(probeChance_)(random_)) {
    return Decision{
        std::uniform_int_distribution<int>(constants::kMinStepUnits, constants::kMaxStepUnits)(random_),
        "probe"};
  }
  const auto retrieved = buffer_.retrieve(context, static_cast<std::size_t>(settings_.operators.episodes));
  if (const auto choice = chooseStep(retrieved, context))
    return Decision{choice->units, "episodes:" + std::to_string(choice->supportingEpisodes) +
                                       ",value:" + std::to_string(choice->value)};
  return Decision{unitsForQueue(pool), "queue"};
}

StepOutcome Sizing::outcomeBefore(const PoolView& pool, int units) const {
  StepOutcome before;
  before.waitBeforeS = pool.queueWaitS;
  before.waitBaselineS = constants::kMaxWaitTargets * queueWaitTargetS();
  before.maxWaitS = before.waitBaselineS;
  before.targetS = queueWaitTargetS();
  before.costBeforePerHour = pool.machines * pool.pricePerHour;
  // The cost of a step is scaled by the cost of its pool. Scaled by the cost of a few machines, any step of a
  // large pool would seem too expensive.
  const double pricePerHour = std::max(pool.pricePerHour, 1e-6);
  before.costBudgetPerHour = std::max<double>(constants::kSmallPoolMachines, pool.machines) * pricePerHour;
  const double maxMachines =
      pool.machines * (1.0 + 1.0 * constants::kMaxStepUnits / constants::kDefaultStepDivisor);
  before.maxCostPerHour = std::max(constants::kSmallPoolMachines, maxMachines) * pricePerHour;
  before.units = units;
  return before;
}

std::vector<Step> Sizing::runRound(Time now, const std::vector<PoolView>& pools) {
  nextRoundAt_ = now + wire::seconds(settings_.operators.sizingRoundS);
  std::vector<Step> steps;
  for (const PoolView& pool : pools) {
    PoolState& state = poolStates_[pool.key];
    scorePreviousStep(pool, state);
    // An empty pool has no unit. The scale-out for unplaced demand requests its first instances.
    if (pool.machines == 0) continue;
    const PoolContext context = contextOf(pool);
    Decision decision = chooseUnits(pool, context);
    const int units = allowedUnits(pool, state, decision.units, now);
    state.unscored = UnscoredStep{context, outcomeBefore(pool, units)};
    if (units == 0) continue;
    Step step{pool.key, units, units * machinesPerUnit(pool.machines, settings_.operators.stepDivisor),
              std::move(decision.why)};
    if (units > 0) {
      state.previousScaleOutAt = state.lastScaleOutAt;
      state.lastScaleOutAt = now;
    } else {
      step.machines = -std::min(-step.machines, pool.releasableMachines);
      state.lastScaleInAt = now;
    }
    steps.push_back(std::move(step));
  }
  probeChance_ = std::max(settings_.operators.probeFloor, probeChance_ * settings_.operators.probeDecay);
  return steps;
}

void Sizing::onScaleOutRefused(const PoolKey& pool) {
  PoolState& state = poolStates_[pool];
  state.lastScaleOutAt = state.previousScaleOutAt;
  state.unscored.reset();
}

Json Sizing::encode(std::size_t valueSizeLimitBytes) const {
  Json points = Json::array();
  for (const ParetoPoint& point : frontier_.points()) points.push_back(Json::array({point.wait, point.cost}));
  Json state{{"episodes", Json::array()}, {"frontier", std::move(points)}, {"probe", probeChance_}};
  for (std::size_t limit = constants::kMaxStoredEpisodes; limit > 0; limit /= 2) {
    state["episodes"] = buffer_.encode(limit);
    if (state.dump().size() <= valueSizeLimitBytes) break;
    state["episodes"] = Json::array();
  }
  return state;
}

bool Sizing::decode(const Json& value) {
  const Json* episodes = wire::field(value, "episodes");
  const Json* points = wire::field(value, "frontier");
  const auto probe = wire::amountField(value, "probe");
  if (episodes == nullptr || points == nullptr || !points->is_array() ||
      points->size() > constants::kMaxFrontierPoints || !probe || *probe > 1)
    return false;
  std::vector<ParetoPoint> decoded;
  for (const Json& point : *points) {
    if (!point.is_array() || point.size() != 2 || !point[0].is_number() || !point[1].is_number())
      return false;
    decoded.push_back(ParetoPoint{point[0].get<double>(), point[1].get<double>()});
  }
  if (!buffer_.decode(*episodes)) return false;
  frontier_.set(std::move(decoded));
  probeChance_ = std::max(settings_.operators.probeFloor, *probe);
  return true;
}

}  // namespace reachhoist::fleet
