// Similarity of contexts, episode buffer and choice of a step (after SAIR).
#include "fleet/episodes.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

#include "config/constants.hpp"

namespace reachhoist::fleet {

double similarity(const PoolContext& a, const PoolContext& b) {
  double sum = 0;
  for (std::size_t i = 0; i < kContextFeatures; ++i) sum += (a[i] - b[i]) * (a[i] - b[i]);
  return std::exp(-sum / (2 * constants::kContextSigma * constants::kContextSigma));
}

void EpisodeBuffer::add(const Episode& episode) {
  if (episode.payoff <= 0) return;
  episodes_.push_back(episode);
  if (episodes_.size() > constants::kMaxEpisodes) episodes_.erase(episodes_.begin());
}

std::vector<double> EpisodeBuffer::relevance(const PoolContext& current) const {
  double sum = 0;
  for (const Episode& episode : episodes_) sum += episode.payoff;
  const std::size_t episodeCount = episodes_.size();
  std::vector<double> scores(episodeCount);
  for (std::size_t i = 0; i < episodeCount; ++i) {
    const double meanOfOthers =
        episodeCount > 1 ? (sum - episodes_[i].payoff) / static_cast<double>(episodeCount - 1) : 0;
    scores[i] = similarity(episodes_[i].context, current) * std::abs(episodes_[i].payoff - meanOfOthers);
  }
  return scores;
}

std::vector<Episode> EpisodeBuffer::retrieve(const PoolContext& current, std::size_t count) const {
  const std::vector<double> scores = relevance(current);
  const std::size_t episodeCount = episodes_.size();
  std::vector<bool> retrieved(episodeCount, false);
  std::vector<Episode> chosenEpisodes;
  while (chosenEpisodes.size() < count) {
    double bestGain = -std::numeric_limits<double>::max();
    std::size_t best = episodeCount;
    for (std::size_t i = 0; i < episodeCount; ++i) {
      if (retrieved[i]) continue;
      double gain = scores[i];
      for (const Episode& chosen : chosenEpisodes)
        gain -= constants::kDiversityWeight * similarity(episodes_[i].context, chosen.context);
      if (gain > bestGain) {
        bestGain = gain;
        best = i;
      }
    }
    if (best == episodeCount) break;
    retrieved[best] = true;
    chosenEpisodes.push_back(episodes_[best]);
  }
  return chosenEpisodes;
}

std::optional<StepChoice> chooseStep(const std::vector<Episode>& retrieved, const PoolContext& current) {
  struct Evidence {
    double weightedPayoffSum = 0;  // of similarity times payoff
    double similaritySum = 0;
    std::size_t episodes = 0;
  };
  std::map<int, Evidence> evidence;  // by units of the step
  for (const Episode& episode : retrieved) {
    const double weight = similarity(episode.context, current);
    if (weight < constants::kMinSimilarity) continue;
    Evidence& step = evidence[episode.units];
    step.weightedPayoffSum += weight * episode.payoff;
    step.similaritySum += weight;
    ++step.episodes;
  }
  std::optional<StepChoice> best;
  for (const auto& [units, step] : evidence) {
    const double value = step.weightedPayoffSum / step.similaritySum;
    if (!best || value > best->value) best = StepChoice{units, value, step.episodes};
  }
  return best;
}

namespace {

// Rounds to thousandths, which are short in JSON and read back exactly.
double rounded(double value) { return std::round(value * 1000) / 1000; }

bool isFiniteNumber(const Json& value) { return value.is_number() && std::isfinite(value.get<double>()); }

// Decodes an array of an episode's units, its payoff and the features of its context. Nothing if malformed.
std::optional<Episode> decodeEpisode(const Json& entry) {
  if (!entry.is_array() || entry.size() != kContextFeatures + 2 || !entry[0].is_number_integer() ||
      !std::all_of(entry.begin(), entry.end(), isFiniteNumber))
    return std::nullopt;
  Episode episode;
  episode.units = entry[0].get<int>();
  episode.payoff = entry[1].get<double>();
  for (std::size_t i = 0; i < kContextFeatures; ++i) episode.context[i] = entry[i + 2].get<double>();
  if (episode.units < constants::kMinStepUnits || episode.units > constants::kMaxStepUnits ||
      episode.payoff <= 0 || episode.payoff > constants::kMaxPayoff)
    return std::nullopt;
  return episode;
}

}  // namespace

Json EpisodeBuffer::encode(std::size_t limit) const {
  Json list = Json::array();
  const std::size_t from = episodes_.size() > limit ? episodes_.size() - limit : 0;
  for (std::size_t i = from; i < episodes_.size(); ++i) {
    Json entry = Json::array({episodes_[i].units, rounded(episodes_[i].payoff)});
    for (const double feature : episodes_[i].context) entry.push_back(rounded(feature));
    list.push_back(std::move(entry));
  }
  return list;
}

bool EpisodeBuffer::decode(const Json& value) {
  if (!value.is_array() || value.size() > constants::kMaxEpisodes) return false;
  std::vector<Episode> decoded;
  for (const Json& entry : value) {
    const auto episode = decodeEpisode(entry);
    if (!episode) return false;
    decoded.push_back(*episode);
  }
  episodes_ = std::move(decoded);
  return true;
}

}  // namespace reachhoist::fleet
