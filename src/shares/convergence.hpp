// Upper bound on the time that placements take to follow a change of the fair-share table, from the settings.
#pragma once

#include "config/settings.hpp"

namespace reachhoist::shares {

// The shift of capacity that a change of the table causes.
struct CapacityShift {
  double share = 0;         // of the capacity that moves from one group to another
  std::size_t tasks = 0;    // that have to be placed again
  double gracePeriodS = 0;  // longest checkpoint of a preempted task
  double imagePullS = 0;    // longest pull of an image
  double placedPerS = 0;    // placements per second that the key-value store's request budget allows
};

// The longest time between two heartbeats of a worker, in seconds.
double maxHeartbeatIntervalS(const config::Settings& settings);

// Pause between two steps of reclaiming capacity, in seconds.
double reclaimPauseS(const config::Settings& settings);

// Number of steps that reclaiming takes.
std::size_t reclaimSteps(const config::Settings& settings, const CapacityShift& shift);

// The bound in seconds, and the same in heartbeat intervals, which a busy machine stretches equally.
double convergenceBoundS(const config::Settings& settings, const CapacityShift& shift);
double convergenceBoundHeartbeats(const config::Settings& settings, const CapacityShift& shift);

}  // namespace reachhoist::shares
