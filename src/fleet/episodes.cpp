// Pareto frontier, payoff, similarity, episode buffer and the choice of a step (after SAIR).
#include "fleet/episodes.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

#include "config/constants.hpp"

namespace reachhoist::fleet {

namespace k = reachhoist::constants;

bool ParetoFrontier::nonDominated(const Point& point) const {
  return std::none_of(points_.begin(), points_.end(), [&](const Point& other) {
    return other.wait <= point.wait && other.cost <= point.cost &&
           (other.wait < point.wait || other.cost < point.cost);
  });
}

double ParetoFrontier::contribution(const Point& point) const {
  // The points sorted by wait have falling cost: the area between the point and the staircase, up to (1, 1).
  std::vector<Point> sorted = points_;
  std::sort(sorted.begin(), sorted.end(), [](const Point& a, const Point& b) { return a.wait < b.wait; });
  double area = 0;
  double left = point.wait;
  double roof = 1;  // cost below which nothing to the left dominates yet
  for (const Point& other : sorted) {
    if (other.wait <= point.wait) {
      roof = std::min(roof, other.cost);
      continue;
    }
    if (other.wait >= 1) break;
    area += (other.wait - left) * std::max(0.0, roof - point.cost);
    left = other.wait;
    roof = std::min(roof, other.cost);
  }
  return area + std::max(0.0, 1 - left) * std::max(0.0, roof - point.cost);
}

double ParetoFrontier::distance(const Point& point) const {
  double best = std::numeric_limits<double>::max();
  for (const Point& other : points_)
    best = std::min(best, std::hypot(other.wait - point.wait, other.cost - point.cost));
  return points_.empty() ? 0 : best;
}

void ParetoFrontier::update(const Point& point) {
  if (!nonDominated(point)) return;
  std::erase_if(points_,
                [&](const Point& other) { return point.wait <= other.wait && point.cost <= other.cost; });
  points_.push_back(point);
  if (points_.size() > k::kMaxFrontierPoints) points_.erase(points_.begin());
}

Point normalised(const Outcome& outcome) {
  return Point{std::clamp(outcome.waitAfterS / outcome.waitMostS, 0.0, 1.0),
               std::clamp(outcome.costAfter / outcome.costMost, 0.0, 1.0)};
}

double payoff(const Outcome& outcome, const ParetoFrontier& frontier) {
  const double wait = k::kWaitWeight * (outcome.waitBeforeS - outcome.waitAfterS) / outcome.waitBaselineS;
  const double cost = -k::kCostWeight * (outcome.costAfter - outcome.costBefore) / outcome.costBudget;
  const double over = outcome.waitAfterS / outcome.targetS;
  const double penalty = over > 1 ? 1 - over * over : 0;
  // Severity before the step times the size of the step, half a unit more for having acted at all.
  const double severity = std::max(0.0, outcome.waitBeforeS / outcome.targetS - 1);
  const double magnitude = std::abs(outcome.units) + (outcome.units != 0 ? 0.5 : 0.0);
  const double proactive = severity * magnitude * k::kProactiveWeight;
  const Point point = normalised(outcome);
  const double pareto = frontier.nonDominated(point)
                            ? 1 + frontier.contribution(point)
                            : k::kMaxDominatedPayoff / (1 + frontier.distance(point));
  return std::clamp(wait + cost + penalty + proactive + pareto, -k::kMaxPayoff, k::kMaxPayoff);
}

double similarity(const Context& a, const Context& b) {
  double sum = 0;
  for (std::size_t i = 0; i < kFeatures; ++i) sum += (a[i] - b[i]) * (a[i] - b[i]);
  return std::exp(-sum / (2 * k::kContextSigma * k::kContextSigma));
}

void EpisodeBuffer::add(const Episode& episode) {
  if (episode.payoff <= 0) return;
  episodes_.push_back(episode);
  if (episodes_.size() > k::kMaxEpisodes) episodes_.erase(episodes_.begin());
}

std::vector<double> EpisodeBuffer::relevance(const Context& now) const {
  double sum = 0;
  for (const Episode& episode : episodes_) sum += episode.payoff;
  const std::size_t n = episodes_.size();
  std::vector<double> score(n);
  for (std::size_t i = 0; i < n; ++i) {
    const double others = n > 1 ? (sum - episodes_[i].payoff) / static_cast<double>(n - 1) : 0;
    score[i] = similarity(episodes_[i].context, now) * std::abs(episodes_[i].payoff - others);
  }
  return score;
}

std::vector<Episode> EpisodeBuffer::retrieve(const Context& now, std::size_t count) const {
  const std::vector<double> score = relevance(now);
  const std::size_t n = episodes_.size();
  std::vector<bool> taken(n, false);
  std::vector<Episode> out;
  while (out.size() < count) {
    double best = -std::numeric_limits<double>::max();
    std::size_t at = n;
    for (std::size_t i = 0; i < n; ++i) {
      if (taken[i]) continue;
      double gain = score[i];
      for (const Episode& chosen : out)
        gain -= k::kDiversityWeight * similarity(episodes_[i].context, chosen.context);
      if (gain > best) {
        best = gain;
        at = i;
      }
    }
    if (at == n) break;
    taken[at] = true;
    out.push_back(episodes_[at]);
  }
  return out;
}

std::optional<Choice> choose(const std::vector<Episode>& retrieved, const Context& now) {
  std::map<int, std::pair<double, double>> sums;  // units -> similarity times payoff, similarity
  std::map<int, std::size_t> support;
  for (const Episode& episode : retrieved) {
    const double close = similarity(episode.context, now);
    if (close < k::kMinSimilarity) continue;
    sums[episode.units].first += close * episode.payoff;
    sums[episode.units].second += close;
    ++support[episode.units];
  }
  std::optional<Choice> best;
  for (const auto& [units, sum] : sums) {
    const double value = sum.first / sum.second;
    if (!best || value > best->value) best = Choice{units, value, support[units]};
  }
  return best;
}

Json EpisodeBuffer::encode(std::size_t most) const {
  Json list = Json::array();
  const std::size_t from = episodes_.size() > most ? episodes_.size() - most : 0;
  // Whole thousandths: shorter, and exact to read back.
  const auto rounded = [](double value) { return std::round(value * 1000) / 1000; };
  for (std::size_t i = from; i < episodes_.size(); ++i) {
    Json entry = Json::array({episodes_[i].units, rounded(episodes_[i].payoff)});
    for (const double feature : episodes_[i].context) entry.push_back(rounded(feature));
    list.push_back(std::move(entry));
  }
  return list;
}

bool EpisodeBuffer::decode(const Json& value) {
  if (!value.is_array() || value.size() > k::kMaxEpisodes) return false;
  std::vector<Episode> read;
  for (const Json& entry : value) {
    if (!entry.is_array() || entry.size() != kFeatures + 2 || !entry[0].is_number_integer()) return false;
    Episode episode;
    for (const Json& number : entry)
      if (!number.is_number() || !std::isfinite(number.get<double>())) return false;
    episode.units = entry[0].get<int>();
    episode.payoff = entry[1].get<double>();
    for (std::size_t i = 0; i < kFeatures; ++i) episode.context[i] = entry[i + 2].get<double>();
    if (episode.units < k::kMinStepUnits || episode.units > k::kMaxStepUnits || episode.payoff <= 0 ||
        episode.payoff > k::kMaxPayoff)
      return false;
    read.push_back(episode);
  }
  episodes_ = std::move(read);
  return true;
}

}  // namespace reachhoist::fleet
