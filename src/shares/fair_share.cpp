// Weighted max-min fair shares over the dominant resource (dominant resource fairness), by progressive
// filling.
#include "shares/fair_share.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace reachhoist::shares {

namespace {

constexpr double kEpsilon = 1e-9;  // of a share: rounding of sums
constexpr std::size_t kResources = 3;
constexpr double kNever = std::numeric_limits<double>::infinity();
using Vector = std::array<double, kResources>;

Vector partsOf(const Resources& amount, const Resources& capacity) {
  const auto part = [](double wanted, double there) {
    if (wanted <= 0) return 0.0;
    return there > 0 ? wanted / there : kNever;
  };
  return {part(amount.vcpus, capacity.vcpus), part(amount.accelerators, capacity.accelerators),
          part(amount.memoryGb, capacity.memoryGb)};
}

// One group while the shares rise.
struct Rising {
  double weight = 0;
  double least = 0;  // its fixed part
  double most = 0;   // its demand
  double share = 0;
  Vector each{};  // of each resource, for a share of 1
  bool frozen = false;

  bool uses(std::size_t resource) const { return each[resource] > kEpsilon; }
};

class Filling {
 public:
  explicit Filling(std::vector<Rising> groups) : groups_(std::move(groups)) {
    for (Rising& group : groups_) {
      group.share = group.least;
      group.frozen = group.most - group.share <= kEpsilon;
    }
  }

  // Raises all groups of the given rank that are not frozen until none can rise further.
  void run(bool weighted) {
    double level = 0;
    for (;;) {
      freezeAtUsedUp();
      const double next = nextLevel(level, weighted);
      if (next == kNever) return;
      for (Rising& group : groups_)
        if (rises(group, weighted)) group.share = std::clamp(weightOf(group) * next, group.share, group.most);
      for (Rising& group : groups_)
        if (group.most - group.share <= kEpsilon) group.frozen = true;
      level = next;
    }
  }

  const std::vector<Rising>& groups() const { return groups_; }

 private:
  static bool rises(const Rising& group, bool weighted) {
    return !group.frozen && (group.weight > 0) == weighted;
  }
  // Groups of weight 0 rise alike.
  static double weightOf(const Rising& group) { return group.weight > 0 ? group.weight : 1; }

  double used(std::size_t resource) const {
    double sum = 0;
    for (const Rising& group : groups_)
      if (group.uses(resource)) sum += group.share * group.each[resource];
    return sum;
  }

  void freezeAtUsedUp() {
    for (std::size_t resource = 0; resource < kResources; ++resource) {
      if (used(resource) < 1 - kEpsilon) continue;
      for (Rising& group : groups_)
        if (group.uses(resource)) group.frozen = true;
    }
  }

  // The next level at which a group's demand is met, a group leaves its fixed part, or a resource is used up.
  double nextLevel(double level, bool weighted) const {
    double next = kNever;
    Vector speed{};
    for (const Rising& group : groups_) {
      if (!rises(group, weighted)) continue;
      const double weight = weightOf(group);
      if (weight * level + kEpsilon < group.share) {
        next = std::min(next, group.share / weight);  // waits at its fixed part
        continue;
      }
      next = std::min(next, group.most / weight);
      for (std::size_t resource = 0; resource < kResources; ++resource)
        if (group.uses(resource)) speed[resource] += weight * group.each[resource];
    }
    for (std::size_t resource = 0; resource < kResources; ++resource)
      if (speed[resource] > 0) next = std::min(next, level + (1 - used(resource)) / speed[resource]);
    return std::max(next, level);
  }

  std::vector<Rising> groups_;
};

}  // namespace

bool GroupShare::granted() const { return entitled >= demand - kEpsilon; }

double dominantShare(const Resources& amount, const Resources& capacity) {
  const Vector parts = partsOf(amount, capacity);
  return *std::max_element(parts.begin(), parts.end());
}

std::vector<GroupShare> allocateFairShares(const Resources& capacity, const std::vector<GroupLoad>& groups) {
  std::vector<Rising> rising;
  std::vector<GroupShare> out;
  for (const GroupLoad& group : groups) {
    const Vector parts = partsOf(group.demand, capacity);
    const double demand = *std::max_element(parts.begin(), parts.end());
    out.push_back(GroupShare{0, dominantShare(group.running, capacity), demand});
    Rising next;
    next.weight = group.weight;
    // What asks for a resource that no machine has can be given nothing.
    if (demand > 0 && demand < kNever) {
      next.most = demand;
      next.least = std::min(demand, dominantShare(group.fixed, capacity));
      for (std::size_t resource = 0; resource < kResources; ++resource)
        next.each[resource] = parts[resource] / demand;
    }
    rising.push_back(next);
  }
  Filling filling(std::move(rising));
  filling.run(true);
  filling.run(false);
  for (std::size_t i = 0; i < out.size(); ++i) out[i].entitled = filling.groups()[i].share;
  return out;
}

}  // namespace reachhoist::shares
