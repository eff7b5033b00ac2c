// What sizing has learned: the buffer of successful episodes, their retrieval for a pool's context, and the
// choice of a step among them. Formulas after "SAIR: Cost-Efficient Multi-Stage ML Pipeline Autoscaling via
// In-Context Reinforcement Learning".
#pragma once

#include <array>
#include <optional>
#include <vector>

#include "wire/codec.hpp"

namespace reachhoist::fleet {

using wire::Json;

constexpr std::size_t kContextFeatures = 5;
// What a pool looks like when a step is chosen: queue wait, queued tasks, busy share, idle share and size,
// each feature scaled to about 0..1.
using PoolContext = std::array<double, kContextFeatures>;

// A scored step: the pool's context when it was chosen, its units, and its payoff.
struct Episode {
  PoolContext context{};
  int units = 0;
  double payoff = 0;
};

// Gaussian kernel of the contexts' distance, 0..1.
double similarity(const PoolContext& a, const PoolContext& b);

// The buffer of successful episodes, at most constants::kMaxEpisodes.
class EpisodeBuffer {
 public:
  // Only episodes with a positive payoff are stored; the oldest are dropped when the buffer is full.
  void add(const Episode& episode);
  // The `count` most relevant episodes for this context, chosen greedily: similarity times leave-one-out
  // surprise of the payoff, less a penalty for similarity to those chosen already.
  std::vector<Episode> retrieve(const PoolContext& now, std::size_t count) const;
  // All episodes, oldest first.
  const std::vector<Episode>& episodes() const { return episodes_; }

  // The newest episodes, at most `limit`, as JSON.
  Json encode(std::size_t limit) const;
  // Replaces all episodes. False if the value is malformed; the buffer is then unchanged.
  bool decode(const Json& value);

 private:
  // Per episode: similarity to `now` times leave-one-out surprise of its payoff.
  std::vector<double> relevance(const PoolContext& now) const;

  std::vector<Episode> episodes_;
};

// A step chosen from episodes: its units, its similarity-weighted payoff, and how many episodes support it.
struct StepChoice {
  int units = 0;
  double value = 0;
  std::size_t supportingEpisodes = 0;
};
// The step with the best similarity-weighted payoff among those retrieved; nothing when none is close.
std::optional<StepChoice> chooseStep(const std::vector<Episode>& retrieved, const PoolContext& now);

}  // namespace reachhoist::fleet
