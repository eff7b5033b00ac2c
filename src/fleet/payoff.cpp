// The payoff of a step (after SAIR).
#include "fleet/payoff.hpp"

#include <algorithm>
#include <cmath>

#include "config/constants.hpp"

namespace reachhoist::fleet {

ParetoPoint normalised(const StepOutcome& outcome) {
  return ParetoPoint{std::clamp(outcome.waitAfterS / outcome.maxWaitS, 0.0, 1.0),
                     std::clamp(outcome.costAfterPerHour / outcome.maxCostPerHour, 0.0, 1.0)};
}

double payoff(const StepOutcome& outcome, const ParetoFrontier& frontier) {
  const double wait =
      constants::kWaitWeight * (outcome.waitBeforeS - outcome.waitAfterS) / outcome.waitBaselineS;
  const double cost = -constants::kCostWeight * (outcome.costAfterPerHour - outcome.costBeforePerHour) /
                      outcome.costBudgetPerHour;
  const double waitRatio = outcome.waitAfterS / outcome.targetS;
  const double penalty = waitRatio > 1 ? 1 - waitRatio * waitRatio : 0;
  // The bonus is the severity before the step times the size of the step. Any step counts half a unit more.
  const double severity = std::max(0.0, outcome.waitBeforeS / outcome.targetS - 1);
  const double magnitude = std::abs(outcome.units) + (outcome.units != 0 ? 0.5 : 0.0);
  const double proactive = severity * magnitude * constants::kProactiveWeight;
  const ParetoPoint point = normalised(outcome);
  const double pareto = frontier.isNonDominated(point)
                            ? 1 + frontier.contribution(point)
                            : constants::kMaxDominatedPayoff / (1 + frontier.distance(point));
  return std::clamp(wait + cost + penalty + proactive + pareto, -constants::kMaxPayoff,
                    constants::kMaxPayoff);
}

}  // namespace reachhoist::fleet
