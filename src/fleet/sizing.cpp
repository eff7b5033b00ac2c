#include "fleet/sizing.hpp"

#include <algorithm>

namespace reachhoist::fleet {

namespace {
constexpr double kLowShare = 0.5;  // a pool less busy than this, without a queue, is a unit too large
}

int unitOf(int machines, int divisor) { return std::max(1, machines / std::max(1, divisor)); }

int Sizing::clamp(const PoolView& pool, PoolState& state, int units, Time now) const {
  units = std::clamp(units, constants::kStepLeast, constants::kStepMost);
  if (units > 0 && state.lastUp != Time{} &&
      now - state.lastUp < wire::seconds(settings_.operators.scaleUpCooldownS))
    return 0;
  if (units < 0 && ((state.lastDown != Time{} &&
                     now - state.lastDown < wire::seconds(settings_.operators.scaleDownCooldownS)) ||
                    pool.idle == 0))
    return 0;
  return units;
}

std::vector<Step> Sizing::round(Time now, const std::vector<PoolView>& pools) {
  next_ = now + wire::seconds(settings_.operators.sizingRoundS);
  std::vector<Step> steps;
  const double target = wire::toSeconds(constants::kQueueTarget);
  for (const PoolView& pool : pools) {
    // A pool of zero has no eighth: how it starts is the shortfall extension's affair.
    if (pool.machines == 0) continue;
    PoolState& state = states_[pool.key];
    int units = 0;
    if (pool.queueWaitS > 2 * target) {
      units = 2;
    } else if (pool.queueWaitS > target) {
      units = 1;
    } else if (pool.queueWaitS == 0 && pool.busyShare < kLowShare) {
      units = -1;
    }
    units = clamp(pool, state, pool.refused && units > 0 ? 0 : units, now);
    if (units == 0) continue;
    Step step{pool.key, units, units * unitOf(pool.machines, settings_.operators.stepDivisor),
              "follows its queue"};
    if (units > 0) {
      state.previousUp = state.lastUp;
      state.lastUp = now;
    } else {
      step.machines = -std::min(-step.machines, pool.idle);
      state.lastDown = now;
    }
    steps.push_back(std::move(step));
  }
  return steps;
}

void Sizing::refused(const PoolKey& pool) {
  PoolState& state = states_[pool];
  state.lastUp = state.previousUp;
}

}  // namespace reachhoist::fleet
