// Dominance, hypervolume contribution and distance on the Pareto frontier.
#include "fleet/pareto.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "config/constants.hpp"

namespace reachhoist::fleet {

bool ParetoFrontier::isNonDominated(const ParetoPoint& point) const {
  return std::none_of(points_.begin(), points_.end(), [&](const ParetoPoint& other) {
    return other.wait <= point.wait && other.cost <= point.cost &&
           (other.wait < point.wait || other.cost < point.cost);
  });
}

double ParetoFrontier::contribution(const ParetoPoint& point) const {
  // Points of the frontier that are sorted by wait have falling cost. The contribution is the area between
  // the point and this staircase, up to (1, 1).
  std::vector<ParetoPoint> sorted = points_;
  std::sort(sorted.begin(), sorted.end(),
            [](const ParetoPoint& a, const ParetoPoint& b) { return a.wait < b.wait; });
  double area = 0;
  double left = point.wait;
  double maxCost = 1;  // least cost of the frontier points to the left
  for (const ParetoPoint& other : sorted) {
    if (other.wait <= point.wait) {
      maxCost = std::min(maxCost, other.cost);
      continue;
    }
    if (other.wait >= 1) break;
    area += (other.wait - left) * std::max(0.0, maxCost - point.cost);
    left = other.wait;
    maxCost = std::min(maxCost, other.cost);
  }
  return area + std::max(0.0, 1 - left) * std::max(0.0, maxCost - point.cost);
}

double ParetoFrontier::distance(const ParetoPoint& point) const {
  double nearest = std::numeric_limits<double>::max();
  for (const ParetoPoint& other : points_)
    nearest = std::min(nearest, std::hypot(other.wait - point.wait, other.cost - point.cost));
  return points_.empty() ? 0 : nearest;
}

void ParetoFrontier::update(const ParetoPoint& point) {
  if (!isNonDominated(point)) return;
  std::erase_if(points_, [&](const ParetoPoint& other) {
    return point.wait <= other.wait && point.cost <= other.cost;
  });
  points_.push_back(point);
  if (points_.size() > constants::kMaxFrontierPoints) points_.erase(points_.begin());
}

}  // namespace reachhoist::fleet
