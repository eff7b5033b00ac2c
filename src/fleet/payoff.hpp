// The payoff that scores a step of a sizing round.
// Formulas after "SAIR: Cost-Efficient Multi-Stage ML Pipeline Autoscaling via In-Context Reinforcement
// Learning".
#pragma once

#include "fleet/pareto.hpp"

namespace reachhoist::fleet {

// What a step changed, in the terms of the payoff: waits in seconds, costs as prices per hour.
struct StepOutcome {
  double waitBeforeS = 0;    // longest queue wait when the step was chosen
  double waitAfterS = 0;     // the same one round later
  double waitBaselineS = 1;  // scale of the wait drop
  double maxWaitS = 1;       // L_max of the normalisation
  double targetS = 1;        // queue wait that the pool aims at
  double costBefore = 0;     // the pool's price per hour when the step was chosen
  double costAfter = 0;      // the same one round later
  double costBudget = 1;     // scale of the cost rise
  double maxCost = 1;        // C_max of the normalisation
  int units = 0;             // of the step
};

// The outcome's wait and cost after the step, normalised to 0..1.
ParetoPoint normalised(const StepOutcome& outcome);
// The step's payoff: wait drop, cost rise, the penalty past the target, acting early, and the frontier bonus;
// clamped to +-constants::kMaxPayoff.
double payoff(const StepOutcome& outcome, const ParetoFrontier& frontier);

}  // namespace reachhoist::fleet
