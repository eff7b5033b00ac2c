// The payoff that scores a step of a sizing round. The formulas follow "SAIR: Cost-Efficient Multi-Stage ML
// Pipeline Autoscaling via In-Context Reinforcement Learning".
#pragma once

#include "fleet/pareto.hpp"

namespace reachhoist::fleet {

// The effect of a step. Costs are the prices of the pool's machines.
struct StepOutcome {
  double waitBeforeS = 0;        // longest queue wait at the choice of the step
  double waitAfterS = 0;         // longest queue wait one round later
  double waitBaselineS = 1;      // divides the drop in queue wait
  double maxWaitS = 1;           // normalises the queue wait (L_max)
  double targetS = 1;            // target of the queue wait
  double costBeforePerHour = 0;  // at the choice of the step
  double costAfterPerHour = 0;   // one round later
  double costBudgetPerHour = 1;  // divides the rise in cost
  double maxCostPerHour = 1;     // normalises the cost (C_max)
  int units = 0;
};

// The outcome's wait and cost after the step, normalised to 0..1.
ParetoPoint normalised(const StepOutcome& outcome);
// The payoff of a step is the sum of the drop in queue wait, the negative rise in cost, a penalty if the wait
// exceeds the target, a bonus for acting while the target is missed, and the frontier bonus. It is clamped to
// +-constants::kMaxPayoff.
double payoff(const StepOutcome& outcome, const ParetoFrontier& frontier);

}  // namespace reachhoist::fleet
