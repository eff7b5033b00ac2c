// Bound on the time of convergence; see convergence.hpp.
#include "shares/convergence.hpp"

#include <algorithm>
#include <cmath>

#include "wire/exchange.hpp"

namespace reachhoist::shares {

double reportIntervalS(const config::Settings& settings) {
  return settings.workers.heartbeatIntervalS * constants::kHeartbeatJitterFactor;
}

double reclaimPauseS(const config::Settings& settings) { return reportIntervalS(settings); }

std::size_t reclaimSteps(const config::Settings& settings, const Move& move) {
  const double step = std::max(settings.operators.shares.reclaimStep, 1e-6);
  return static_cast<std::size_t>(std::max(1.0, std::ceil(move.share / step - 1e-9)));
}

double convergenceBoundS(const config::Settings& settings, const Move& move) {
  const double steps = static_cast<double>(reclaimSteps(settings, move));
  const double reclaimS = (steps - 1) * reclaimPauseS(settings);
  // The last stop may miss its direct command and wait for a heartbeat; the end of the task is reported by
  // another heartbeat.
  const double commandS = 2 * reportIntervalS(settings) + wire::toSeconds(constants::kWorkerCallTimeout);
  const double placeS = move.placedPerS > 0 ? static_cast<double>(move.tasks) / move.placedPerS
                                            : wire::toSeconds(constants::kStateCallTimeout);
  // The start of the next task is commanded in the same way.
  return reclaimS + commandS + move.gracePeriodS + placeS + commandS + move.fetchS;
}

double convergenceBoundReports(const config::Settings& settings, const Move& move) {
  return std::ceil(convergenceBoundS(settings, move) / reportIntervalS(settings));
}

}  // namespace reachhoist::shares
