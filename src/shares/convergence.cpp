// Upper bound on the convergence time of placements; see convergence.hpp.
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
  const double stepCount = static_cast<double>(reclaimSteps(settings, shift));
  const double reclaimS = (stepCount - 1) * reclaimPauseS(settings);
  // The direct command of the last stop can fail, so that the stop waits for a heartbeat. Another heartbeat
  // reports the end of the task.
  const double commandAndReportS =
      2 * maxHeartbeatIntervalS(settings) + wire::toSeconds(constants::kWorkerCallTimeout);
  const double placementS = shift.placementsPerS > 0 ? static_cast<double>(shift.tasks) / shift.placementsPerS
                                                     : wire::toSeconds(constants::kStateCallTimeout);
  // The commands that start the next tasks take as long as those that stop the preempted ones.
  return reclaimS + commandAndReportS + shift.gracePeriodS + placementS + commandAndReportS +
         shift.imagePullS;
}

double convergenceBoundHeartbeats(const config::Settings& settings, const CapacityShift& shift) {
  return std::ceil(convergenceBoundS(settings, shift) / maxHeartbeatIntervalS(settings));
}

}  // namespace reachhoist::shares
