// What sizing has learned: successful episodes, the payoff that scores them, the Pareto frontier of wait and
// cost, and episode retrieval.
// Formulas after "SAIR: Cost-Efficient Multi-Stage ML Pipeline Autoscaling via In-Context Reinforcement
// Learning".
#pragma once

#include <array>
#include <optional>
#include <vector>

#include "wire/codec.hpp"

namespace reachhoist::fleet {

using wire::Json;

// What a pool looks like when a step is chosen, each feature scaled to about 0..1.
constexpr std::size_t kFeatures = 5;
using Context = std::array<double, kFeatures>;  // queue wait, queued tasks, busy share, idle share, size

// A scored step: the pool's context when it was chosen, its units, and its payoff.
struct Episode {
  Context context{};
  int units = 0;
  double payoff = 0;
};

// A point of normalised queue wait and cost, each 0..1.
struct Point {
  double wait = 0;  // normalised, 0..1
  double cost = 0;
};

// The non-dominated points of normalised wait and cost, at most constants::kMaxFrontierPoints.
class ParetoFrontier {
 public:
  // Whether no point of the frontier dominates this one.
  bool nonDominated(const Point& point) const;
  // Area that the point adds to what the frontier dominates, up to the reference point (1, 1).
  double contribution(const Point& point) const;
  // Euclidean distance to the nearest point of the frontier; 0 for an empty frontier.
  double distance(const Point& point) const;
  // Adds the point if it is non-dominated, dropping the points it dominates (and the oldest beyond the
  // limit).
  void update(const Point& point);
  const std::vector<Point>& points() const { return points_; }
  void set(std::vector<Point> points) { points_ = std::move(points); }

 private:
  std::vector<Point> points_;
};

// What a step changed, in the terms of the payoff: waits in seconds, costs as prices per hour.
struct Outcome {
  double waitBeforeS = 0;
  double waitAfterS = 0;
  double waitBaselineS = 1;  // scale of the wait drop
  double waitMostS = 1;      // L_max of the normalisation
  double targetS = 1;
  double costBefore = 0;  // price per hour
  double costAfter = 0;
  double costBudget = 1;  // scale of the cost rise
  double costMost = 1;
  int units = 0;
};

// The outcome's wait and cost after the step, normalised to 0..1.
Point normalised(const Outcome& outcome);
// The step's payoff: wait drop, cost rise, the penalty past the target, acting early, and the frontier bonus;
// clamped to +-constants::kMaxPayoff.
double payoff(const Outcome& outcome, const ParetoFrontier& frontier);

// Gaussian kernel of the contexts' distance, 0..1.
double similarity(const Context& a, const Context& b);

// The buffer of successful episodes, at most constants::kMaxEpisodes.
class EpisodeBuffer {
 public:
  // Only successes are stored; the oldest leave when the buffer is full.
  void add(const Episode& episode);
  // Greedy: similarity times leave-one-out surprise, less the diversity penalty.
  std::vector<Episode> retrieve(const Context& now, std::size_t count) const;
  const std::vector<Episode>& all() const { return episodes_; }

  // The newest episodes, at most `most`, as JSON.
  Json encode(std::size_t most) const;
  // False: malformed, nothing was taken.
  bool decode(const Json& value);

 private:
  // Per episode: similarity to `now` times leave-one-out surprise of its payoff.
  std::vector<double> relevance(const Context& now) const;

  std::vector<Episode> episodes_;
};

// A step chosen from episodes: its units, its similarity-weighted payoff, and how many episodes support it.
struct Choice {
  int units = 0;
  double value = 0;
  std::size_t support = 0;
};
// The step with the best similarity-weighted payoff among those retrieved; nothing when none is close.
std::optional<Choice> choose(const std::vector<Episode>& retrieved, const Context& now);

}  // namespace reachhoist::fleet
