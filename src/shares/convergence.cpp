// Bound on the time of convergence; see convergence.hpp.
#include "shares/convergence.hpp"

#include <algorithm>
#include <cmath>

#include "wire/exchange.hpp"

namespace reachhoist::shares {

double maxHeartbeatIntervalS(const config::Settings& settings) {
  return settings.workers.heartbeatIntervalS * constants::kHeartbeatJitterFactor;
}

double reclaimPauseS(const config::Settings& settings) { return maxHeartbeatIntervalS(settings); }

std::size_t reclaimSteps(const config::Settings& settings, const CapacityShift& shift) {
  const double step = std::max(settings.operators.shares.reclaimStep, 1e-6);
  return static_cast<std::size_t>(std::max(1.0, std::ceil(shift.share / step - 1e-9)));
}

double convergenceBoundS(const config::Settings& settings, const CapacityShift& shift) {
  const double steps = static_cast<double>(reclaimSteps(settings, shift));
  const double reclaimS = (steps - 1) * reclaimPauseS(settings);
  // The last stop may miss its direct command and wait for a heartbeat; the end of the task is reported by
  // another heartbeat.
  const double commandS =
      2 * maxHeartbeatIntervalS(settings) + wire::toSeconds(constants::kWorkerCallTimeout);
  const double placeS = shift.placedPerS > 0 ? static_cast<double>(shift.tasks) / shift.placedPerS
                                             : wire::toSeconds(constants::kStateCallTimeout);
  // The start of the next task is commanded in the same way.
  return reclaimS + commandS + shift.gracePeriodS + placeS + commandS + shift.imagePullS;
}

double convergenceBoundHeartbeats(const config::Settings& settings, const CapacityShift& shift) {
  return std::ceil(convergenceBoundS(settings, shift) / maxHeartbeatIntervalS(settings));
}

}  // namespace reachhoist::shares
