// Dominant resource fairness by progressive filling; see fair_share.hpp.
#include "shares/fair_share.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace reachhoist::shares {

namespace {

constexpr double kEpsilon = 1e-9;  // as a share: covers rounding errors of sums
constexpr std::size_t kResourceCount = 3;
constexpr double kInfinity = std::numeric_limits<double>::infinity();
using ResourceShares = std::array<double, kResourceCount>;

ResourceShares sharesOf(const Resources& amount, const Resources& capacity) {
  const auto share = [](double used, double available) {
    if (used <= 0) return 0.0;
    return available > 0 ? used / available : kInfinity;
  };
  return {share(amount.vcpus, capacity.vcpus), share(amount.accelerators, capacity.accelerators),
          share(amount.memoryGb, capacity.memoryGb)};
}

// The state of one group during progressive filling.
struct FillingGroup {
  double weight = 0;
  double fixedShare = 0;           // dominant share of its fixed part
  double demandShare = 0;          // dominant share of its demand
  double share = 0;                // dominant share that it has reached
  ResourceShares usagePerShare{};  // usage of each resource for a dominant share of 1
  bool frozen = false;             // its share rises no further

  bool uses(std::size_t resource) const { return usagePerShare[resource] > kEpsilon; }
};

class ProgressiveFilling {
 public:
  explicit ProgressiveFilling(std::vector<FillingGroup> groups) : groups_(std::move(groups)) {
    for (FillingGroup& group : groups_) {
      group.share = group.fixedShare;
      group.frozen = group.demandShare - group.share <= kEpsilon;
    }
  }

  // Raises the shares of the groups that have a weight (`weighted`), or of those that have none, until all of
  // them are frozen.
  void run(bool weighted) {
    double level = 0;
    for (;;) {
      freezeUsersOfExhaustedResources();
      const double next = nextLevel(level, weighted);
      if (next == kInfinity) return;
      for (FillingGroup& group : groups_)
        if (isRising(group, weighted))
          group.share = std::clamp(rateOf(group) * next, group.share, group.demandShare);
      for (FillingGroup& group : groups_)
        if (group.demandShare - group.share <= kEpsilon) group.frozen = true;
      level = next;
    }
  }

  const std::vector<FillingGroup>& groups() const { return groups_; }

 private:
  static bool isRising(const FillingGroup& group, bool weighted) {
    return !group.frozen && (group.weight > 0) == weighted;
  }
  // The shares of groups of weight 0 all rise at the same rate.
  static double rateOf(const FillingGroup& group) { return group.weight > 0 ? group.weight : 1; }

  double used(std::size_t resource) const {
    double sum = 0;
    for (const FillingGroup& group : groups_)
      if (group.uses(resource)) sum += group.share * group.usagePerShare[resource];
    return sum;
  }

  void freezeUsersOfExhaustedResources() {
    for (std::size_t resource = 0; resource < kResourceCount; ++resource) {
      if (used(resource) < 1 - kEpsilon) continue;
      for (FillingGroup& group : groups_)
        if (group.uses(resource)) group.frozen = true;
    }
  }

  // The lowest level from `level` on at which the demand of a group is met, the share of a group begins to
  // rise above its fixed part, or a resource is exhausted.
  double nextLevel(double level, bool weighted) const {
    double next = kInfinity;
    ResourceShares usagePerLevel{};
    for (const FillingGroup& group : groups_) {
      if (!isRising(group, weighted)) continue;
      const double rate = rateOf(group);
      if (rate * level + kEpsilon < group.share) {
        next = std::min(next, group.share / rate);  // the share stays at the fixed part up to this level
        continue;
      }
      next = std::min(next, group.demandShare / rate);
      for (std::size_t resource = 0; resource < kResourceCount; ++resource)
        if (group.uses(resource)) usagePerLevel[resource] += rate * group.usagePerShare[resource];
    }
    for (std::size_t resource = 0; resource < kResourceCount; ++resource)
      if (usagePerLevel[resource] > 0)
        next = std::min(next, level + (1 - used(resource)) / usagePerLevel[resource]);
    return std::max(next, level);
  }

  std::vector<FillingGroup> groups_;
};

}  // namespace

bool GroupShare::isDemandCovered() const { return entitled >= demand - kEpsilon; }

double dominantShare(const Resources& amount, const Resources& capacity) {
  const ResourceShares resourceShares = sharesOf(amount, capacity);
  return *std::max_element(resourceShares.begin(), resourceShares.end());
}

std::vector<GroupShare> allocateFairShares(const Resources& capacity, const std::vector<GroupLoad>& groups) {
  std::vector<FillingGroup> fillingGroups;
  std::vector<GroupShare> shares;
  for (const GroupLoad& group : groups) {
    const ResourceShares resourceShares = sharesOf(group.demand, capacity);
    const double demand = *std::max_element(resourceShares.begin(), resourceShares.end());
    shares.push_back(GroupShare{0, dominantShare(group.running, capacity), demand});
    FillingGroup fillingGroup;
    fillingGroup.weight = group.weight;
    // A group is entitled to nothing if its demand includes a resource that no machine has.
    if (demand > 0 && demand < kInfinity) {
      fillingGroup.demandShare = demand;
      fillingGroup.fixedShare = std::min(demand, dominantShare(group.fixed, capacity));
      for (std::size_t resource = 0; resource < kResourceCount; ++resource)
        fillingGroup.usagePerShare[resource] = resourceShares[resource] / demand;
    }
    fillingGroups.push_back(fillingGroup);
  }
  ProgressiveFilling filling(std::move(fillingGroups));
  filling.run(true);
  filling.run(false);
  for (std::size_t i = 0; i < shares.size(); ++i) shares[i].entitled = filling.groups()[i].share;
  return shares;
}

}  // namespace reachhoist::shares
