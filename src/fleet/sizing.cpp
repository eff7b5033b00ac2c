// Sizing rounds: contexts, the step choice, its validation against limits and cooldowns, and its scoring.
#include "fleet/sizing.hpp"

#include <algorithm>
#include <cmath>

namespace reachhoist::fleet {

namespace {
constexpr double kLowShare = 0.5;  // a pool less busy than this, without a queue, is a unit too large

double targetS() { return wire::toSeconds(constants::kQueueWaitTarget); }
}  // namespace

double sizeFeature(int machines) {
  const double share = machines / constants::kSmallPoolMachines;
  return share <= 1 ? share : 1 + std::log2(share) / constants::kSizeFeatureDoublings;
}

int unitOf(int machines, int divisor) { return std::max(1, machines / std::max(1, divisor)); }

// The validator: the nearest step that the limits and cooldowns allow.
int Sizing::clamp(const PoolView& pool, const PoolState& state, int units, Time now) const {
  units = std::clamp(units, constants::kMinStepUnits, constants::kMaxStepUnits);
  if (units > 0 &&
      (pool.refused || (state.lastScaleOut != Time{} &&
                        now - state.lastScaleOut < wire::seconds(settings_.operators.scaleUpCooldownS))))
    return 0;
  if (units < 0 && (pool.releasable == 0 ||
                    (state.lastScaleIn != Time{} &&
                     now - state.lastScaleIn < wire::seconds(settings_.operators.scaleDownCooldownS))))
    return 0;
  return units;
}

int Sizing::followQueue(const PoolView& pool) const {
  if (pool.queueWaitS > 2 * targetS()) return 2;
  if (pool.queueWaitS > targetS()) return 1;
  return pool.queueWaitS == 0 && pool.busyShare < kLowShare ? -1 : 0;
}

Context Sizing::contextOf(const PoolView& pool) const {
  const double machines = std::max(1, pool.machines);
  const auto scaled = [](double value, double most) { return std::clamp(value / most, 0.0, 1.0); };
  return Context{scaled(pool.queueWaitS, constants::kMaxWaitTargets * targetS()),
                 scaled(pool.queuedTasks, 8 * machines), pool.busyShare, pool.idle / machines,
                 sizeFeature(pool.machines)};
}

void Sizing::score(const PoolView& pool, PoolState& state) {
  if (!state.unscored) return;
  // Machines that never came show nothing of what the step would have brought.
  if (state.unscored->before.units > 0 && pool.overdue > 0) return state.unscored.reset();
  Outcome outcome = state.unscored->before;
  outcome.waitAfterS = pool.queueWaitS;
  outcome.costAfter = pool.machines * pool.ratePerHour;
  const double value = payoff(outcome, frontier_);
  buffer_.add(Episode{state.unscored->context, outcome.units, value});
  frontier_.update(normalised(outcome));
  state.unscored.reset();
}

Sizing::Decision Sizing::decide(const PoolView& pool, const Context& context) {
  if (std::bernoulli_distribution(probeChance_)(random_)) {
    return Decision{
        std::uniform_int_distribution<int>(constants::kMinStepUnits, constants::kMaxStepUnits)(random_),
        "probe"};
  }
  const auto retrieved = buffer_.retrieve(context, static_cast<std::size_t>(settings_.operators.episodes));
  if (const auto choice = choose(retrieved, context))
    return Decision{choice->units, "episodes:" + std::to_string(choice->support) +
                                       ",value:" + std::to_string(choice->value)};
  return Decision{followQueue(pool), "queue"};
}

Outcome Sizing::outcomeBefore(const PoolView& pool, int units) const {
  Outcome before;
  before.waitBeforeS = pool.queueWaitS;
  before.waitBaselineS = constants::kMaxWaitTargets * targetS();
  before.waitMostS = before.waitBaselineS;
  before.targetS = targetS();
  before.costBefore = pool.machines * pool.ratePerHour;
  // A step of a large pool is weighed against that pool: against a few machines' money any would look
  // ruinous.
  const double rate = std::max(pool.ratePerHour, 1e-6);
  before.costBudget = std::max<double>(constants::kSmallPoolMachines, pool.machines) * rate;
  const double grown =
      pool.machines * (1.0 + 1.0 * constants::kMaxStepUnits / constants::kDefaultStepDivisor);
  before.costMost = std::max(constants::kSmallPoolMachines, grown) * rate;
  before.units = units;
  return before;
}

std::vector<Step> Sizing::round(Time now, const std::vector<PoolView>& pools) {
  next_ = now + wire::seconds(settings_.operators.sizingRoundS);
  std::vector<Step> steps;
  for (const PoolView& pool : pools) {
    PoolState& state = states_[pool.key];
    score(pool, state);
    // A pool of zero has no eighth: how it starts is for the scale-out for unmet work.
    if (pool.machines == 0) continue;
    const Context context = contextOf(pool);
    Decision decision = decide(pool, context);
    const int units = clamp(pool, state, decision.units, now);
    state.unscored = UnscoredStep{context, outcomeBefore(pool, units)};
    if (units == 0) continue;
    Step step{pool.key, units, units * unitOf(pool.machines, settings_.operators.stepDivisor),
              std::move(decision.why)};
    if (units > 0) {
      state.previousScaleOut = state.lastScaleOut;
      state.lastScaleOut = now;
    } else {
      step.machines = -std::min(-step.machines, pool.releasable);
      state.lastScaleIn = now;
    }
    steps.push_back(std::move(step));
  }
  probeChance_ = std::max(settings_.operators.probeFloor, probeChance_ * settings_.operators.probeDecay);
  return steps;
}

void Sizing::onScaleOutRefused(const PoolKey& pool) {
  PoolState& state = states_[pool];
  state.lastScaleOut = state.previousScaleOut;
  state.unscored.reset();
}

Json Sizing::encode(std::size_t valueSizeLimit) const {
  Json points = Json::array();
  for (const Point& point : frontier_.points()) points.push_back(Json::array({point.wait, point.cost}));
  Json out{{"episodes", Json::array()}, {"frontier", std::move(points)}, {"probe", probeChance_}};
  for (std::size_t most = constants::kMaxStoredEpisodes; most > 0; most /= 2) {
    out["episodes"] = buffer_.encode(most);
    if (out.dump().size() <= valueSizeLimit) break;
    out["episodes"] = Json::array();
  }
  return out;
}

bool Sizing::decode(const Json& value) {
  const Json* episodes = wire::field(value, "episodes");
  const Json* points = wire::field(value, "frontier");
  const auto probe = wire::amountField(value, "probe");
  if (episodes == nullptr || points == nullptr || !points->is_array() ||
      points->size() > constants::kMaxFrontierPoints || !probe || *probe > 1)
    return false;
  std::vector<Point> read;
  for (const Json& point : *points) {
    if (!point.is_array() || point.size() != 2 || !point[0].is_number() || !point[1].is_number())
      return false;
    read.push_back(Point{point[0].get<double>(), point[1].get<double>()});
  }
  if (!buffer_.decode(*episodes)) return false;
  frontier_.set(std::move(read));
  probeChance_ = std::max(settings_.operators.probeFloor, *probe);
  return true;
}

}  // namespace reachhoist::fleet
