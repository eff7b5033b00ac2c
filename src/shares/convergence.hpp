// Computes an upper bound on the time that placements take to follow a change of the fair-share table,
// from the settings.
#pragma once

#include "config/settings.hpp"

namespace reachhoist::shares {

// The shift of capacity between groups that a change of the table causes.
struct CapacityShift {
  double share = 0;           // part of the capacity that changes groups, from 0 to 1
  std::size_t tasks = 0;      // number of tasks that have to be placed again
  double gracePeriodS = 0;    // longest checkpoint of a preempted task
  double imagePullS = 0;      // longest pull of an image
  double placementsPerS = 0;  // rate that the key-value store's request budget allows
};

// The longest time between two heartbeats of a worker.
double maxHeartbeatIntervalS(const config::Settings& settings);

// The pause between two steps of reclaiming capacity.
double reclaimPauseS(const config::Settings& settings);

// The number of steps that reclaiming the shifted capacity takes.
std::size_t reclaimSteps(const config::Settings& settings, const CapacityShift& shift);

// The bound in seconds, and the same bound as a number of heartbeat intervals. A busy machine stretches the
// intervals and the convergence equally, so that the second bound still applies there.
double convergenceBoundS(const config::Settings& settings, const CapacityShift& shift);
double convergenceBoundHeartbeats(const config::Settings& settings, const CapacityShift& shift);

}  // namespace reachhoist::shares
