// How long the machines take to follow a change of the table: a bound made of the platform's settings.
#pragma once

#include "config/settings.hpp"

namespace reachhoist::shares {

struct Move {
  double share = 0;       // of the capacity that has to change hands
  std::size_t tasks = 0;  // that have to be placed anew
  double graceS = 0;      // longest time that a task which is stopped needs to save
  double fetchS = 0;      // longest fetch of an image
  double placedPerS = 0;  // tasks that the state service's budget lets place in a second
};

// The longest time between two reports of a worker.
double reportIntervalS(const config::Settings& settings);

// Time between two steps of reclaiming.
double reclaimPauseS(const config::Settings& settings);

// Steps that reclaiming takes.
std::size_t reclaimSteps(const config::Settings& settings, const Move& move);

// Upper bound in seconds, and the same in report intervals, which a busy machine stretches alike.
double convergenceBoundS(const config::Settings& settings, const Move& move);
double convergenceBoundReports(const config::Settings& settings, const Move& move);

}  // namespace reachhoist::shares
