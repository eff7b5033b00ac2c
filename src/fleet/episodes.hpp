// The buffer of successful sizing episodes, their retrieval for a pool's context, and the choice of a step
// from those retrieved. The formulas follow "SAIR: Cost-Efficient Multi-Stage ML Pipeline Autoscaling via
// In-Context Reinforcement Learning".
#pragma once

#include <array>
#include <optional>
#include <vector>

#include "wire/codec.hpp"

namespace reachhoist::fleet {

using wire::Json;

constexpr std::size_t kContextFeatures = 5;
// The features of a pool at the choice of a step: queue wait, queued tasks, busy share, idle share and size,
// each scaled to about 0..1.
using PoolContext = std::array<double, kContextFeatures>;

// A scored step: the pool's context when the step was chosen, its units, and its payoff.
struct Episode {
  PoolContext context{};
  int units = 0;
  double payoff = 0;
};

// Gaussian kernel of the distance between two contexts, 0..1.
double similarity(const PoolContext& a, const PoolContext& b);

// The buffer of successful episodes, at most constants::kMaxEpisodes.
class EpisodeBuffer {
 public:
  // Stores the episode if its payoff is positive. A full buffer drops its oldest episode.
  void add(const Episode& episode);
  // The `count` most relevant episodes for this context, chosen greedily by their relevance less a penalty
  // for similarity to those chosen already.
  std::vector<Episode> retrieve(const PoolContext& current, std::size_t count) const;
  // All episodes, oldest first.
  const std::vector<Episode>& episodes() const { return episodes_; }

  // The newest episodes as JSON, at most `limit` of them.
  Json encode(std::size_t limit) const;
  // Replaces all episodes. Returns false and changes nothing if the value is malformed.
  bool decode(const Json& value);

 private:
  // Per episode: the similarity to `current` times the leave-one-out surprise, which is the distance of its
  // payoff from the mean payoff of all others.
  std::vector<double> relevance(const PoolContext& current) const;

  std::vector<Episode> episodes_;
};

// A step chosen from episodes.
struct StepChoice {
  int units = 0;
  double value = 0;  // similarity-weighted payoff
  std::size_t supportingEpisodes = 0;
};
// The step with the best similarity-weighted payoff among the retrieved episodes. Nothing if none of them
// reaches constants::kMinSimilarity.
std::optional<StepChoice> chooseStep(const std::vector<Episode>& retrieved, const PoolContext& current);

}  // namespace reachhoist::fleet
