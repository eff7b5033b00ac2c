// The Pareto frontier of queue wait and cost, with which steps are scored.
#pragma once

#include <vector>

namespace reachhoist::fleet {

// A point of queue wait and cost, each normalised to 0..1.
struct ParetoPoint {
  double wait = 0;
  double cost = 0;
};

// The non-dominated points of normalised wait and cost, at most constants::kMaxFrontierPoints.
class ParetoFrontier {
 public:
  // Whether no point of the frontier dominates this one.
  bool isNonDominated(const ParetoPoint& point) const;
  // The area that the point adds to the area dominated by the frontier, up to the reference point (1, 1).
  double contribution(const ParetoPoint& point) const;
  // The Euclidean distance to the nearest point of the frontier, or 0 if the frontier is empty.
  double distance(const ParetoPoint& point) const;
  // Adds the point if it is non-dominated. Drops the points that it dominates, and the oldest point beyond
  // the limit.
  void update(const ParetoPoint& point);
  // The points, oldest first.
  const std::vector<ParetoPoint>& points() const { return points_; }
  // Replaces all points.
  void set(std::vector<ParetoPoint> points) { points_ = std::move(points); }

 private:
  std::vector<ParetoPoint> points_;
};

}  // namespace reachhoist::fleet
