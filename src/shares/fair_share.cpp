// Dominant resource fairness by progressive filling; see fair_share.hpp.
#include "shares/fair_share.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace reachhoist::shares {

namespace {

constexpr double kEpsilon = 1e-9;  // of a share: rounding of sums
constexpr std::size_t kResources = 3;
constexpr double kNever = std::numeric_limits<double>::infinity();
using ResourceShares = std::array<double, kResources>;

ResourceShares sharesOf(const Resources& amount, const Resources& capacity) {
  const auto share = [](double wanted, double available) {
    if (wanted <= 0) return 0.0;
    return available > 0 ? wanted / available : kNever;
  };
  return {share(amount.vcpus, capacity.vcpus), share(amount.accelerators, capacity.accelerators),
          share(amount.memoryGb, capacity.memoryGb)};
}

// One group during progressive filling.
struct FillingGroup {
  double weight = 0;
  double fixedShare = 0;   // share of its fixed part
  double demandShare = 0;  // share of its demand
  double share = 0;
  ResourceShares each{};  // use of each resource for a share of 1
  bool frozen = false;

  bool uses(std::size_t resource) const { return each[resource] > kEpsilon; }
};

class ProgressiveFilling {
 public:
  explicit ProgressiveFilling(std::vector<FillingGroup> groups) : groups_(std::move(groups)) {
    for (FillingGroup& group : groups_) {
      group.share = group.fixedShare;
      group.frozen = group.demandShare - group.share <= kEpsilon;
    }
  }

  // Raises all groups that are not frozen, with a weight or without one, until none can rise further.
  void run(bool weighted) {
    double level = 0;
    for (;;) {
      freezeAtExhaustion();
      const double next = nextLevel(level, weighted);
      if (next == kNever) return;
      for (FillingGroup& group : groups_)
        if (rises(group, weighted))
          group.share = std::clamp(weightOf(group) * next, group.share, group.demandShare);
      for (FillingGroup& group : groups_)
        if (group.demandShare - group.share <= kEpsilon) group.frozen = true;
      level = next;
    }
  }

  const std::vector<FillingGroup>& groups() const { return groups_; }

 private:
  static bool rises(const FillingGroup& group, bool weighted) {
    return !group.frozen && (group.weight > 0) == weighted;
  }
  // Groups of weight 0 rise at the same rate.
  static double weightOf(const FillingGroup& group) { return group.weight > 0 ? group.weight : 1; }

  double used(std::size_t resource) const {
    double sum = 0;
    for (const FillingGroup& group : groups_)
      if (group.uses(resource)) sum += group.share * group.each[resource];
    return sum;
  }

  void freezeAtExhaustion() {
    for (std::size_t resource = 0; resource < kResources; ++resource) {
      if (used(resource) < 1 - kEpsilon) continue;
      for (FillingGroup& group : groups_)
        if (group.uses(resource)) group.frozen = true;
    }
  }

  // The next level at which a group's demand is met, a group leaves its fixed part, or a resource is
  // exhausted.
  double nextLevel(double level, bool weighted) const {
    double next = kNever;
    ResourceShares speed{};
    for (const FillingGroup& group : groups_) {
      if (!rises(group, weighted)) continue;
      const double weight = weightOf(group);
      if (weight * level + kEpsilon < group.share) {
        next = std::min(next, group.share / weight);  // stays at its fixed part until then
        continue;
      }
      next = std::min(next, group.demandShare / weight);
      for (std::size_t resource = 0; resource < kResources; ++resource)
        if (group.uses(resource)) speed[resource] += weight * group.each[resource];
    }
    for (std::size_t resource = 0; resource < kResources; ++resource)
      if (speed[resource] > 0) next = std::min(next, level + (1 - used(resource)) / speed[resource]);
    return std::max(next, level);
  }

  std::vector<FillingGroup> groups_;
};

}  // namespace

bool GroupShare::granted() const { return entitled >= demand - kEpsilon; }

double dominantShare(const Resources& amount, const Resources& capacity) {
  const ResourceShares resourceShares = sharesOf(amount, capacity);
  return *std::max_element(resourceShares.begin(), resourceShares.end());
}

std::vector<GroupShare> allocateFairShares(const Resources& capacity, const std::vector<GroupLoad>& groups) {
  std::vector<FillingGroup> rising;
  std::vector<GroupShare> out;
  for (const GroupLoad& group : groups) {
    const ResourceShares resourceShares = sharesOf(group.demand, capacity);
    const double demand = *std::max_element(resourceShares.begin(), resourceShares.end());
    out.push_back(GroupShare{0, dominantShare(group.running, capacity), demand});
    FillingGroup next;
    next.weight = group.weight;
    // A demand for a resource that no machine has cannot be met at all.
    if (demand > 0 && demand < kNever) {
      next.demandShare = demand;
      next.fixedShare = std::min(demand, dominantShare(group.fixed, capacity));
      for (std::size_t resource = 0; resource < kResources; ++resource)
        next.each[resource] = resourceShares[resource] / demand;
    }
    rising.push_back(next);
  }
  ProgressiveFilling filling(std::move(rising));
  filling.run(true);
  filling.run(false);
  for (std::size_t i = 0; i < out.size(); ++i) out[i].entitled = filling.groups()[i].share;
  return out;
}

}  // namespace reachhoist::shares
