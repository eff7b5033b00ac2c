// Properties of the fair-share allocation, over random group loads. CMake passes the seed to RapidCheck.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>

#include "shares/fair_share.hpp"

namespace {

using namespace reachhoist;
using shares::allocateFairShares;
using shares::dominantShare;
using shares::GroupLoad;
using shares::GroupShare;
using wire::Resources;

constexpr double kTolerance = 1e-6;
const Resources kCapacity{1000, 40, 4000};

// The fraction that the amount takes of the capacity of one resource.
double fractionOfCapacity(const Resources& amount, int resource) {
  const double fractions[] = {amount.vcpus / kCapacity.vcpus, amount.accelerators / kCapacity.accelerators,
                              amount.memoryGb / kCapacity.memoryGb};
  return fractions[resource];
}

Resources scaled(const Resources& amount, double factor) {
  return Resources{amount.vcpus * factor, amount.accelerators * factor, amount.memoryGb * factor};
}

rc::Gen<GroupLoad> anyGroupLoad() {
  return rc::gen::apply(
      [](int weight, int cpus, int gpus, int memoryGb, int fixedPercent) {
        GroupLoad load;
        load.weight = weight;
        load.demand =
            Resources{static_cast<double>(cpus), static_cast<double>(gpus), static_cast<double>(memoryGb)};
        load.fixed = scaled(load.demand, fixedPercent / 100.0);
        return load;
      },
      rc::gen::inRange(0, 9), rc::gen::inRange(0, 1500), rc::gen::inRange(0, 60), rc::gen::inRange(0, 6000),
      rc::gen::element(0, 0, 0, 5, 10));
}

rc::Gen<std::vector<GroupLoad>> anyGroupLoads() {
  // RapidCheck starts with small values. A fixed size makes every case use the full ranges.
  return rc::gen::resize(rc::kNominalSize,
                         rc::gen::mapcat(rc::gen::inRange<std::size_t>(1, 13), [](auto count) {
                           return rc::gen::container<std::vector<GroupLoad>>(count, anyGroupLoad());
                         }));
}

using Allocator = std::function<std::vector<GroupShare>(const Resources&, const std::vector<GroupLoad>&)>;

// The fraction of a resource that the entitlement of a group takes.
double allocatedFraction(const GroupLoad& load, const GroupShare& share, int resource) {
  return share.demand > 0 ? fractionOfCapacity(load.demand, resource) * share.entitled / share.demand : 0;
}

// The dominant share of the fixed part of the demand.
double dominantShareOfFixedPart(const GroupLoad& load) {
  return std::min(dominantShare(load.fixed, kCapacity), dominantShare(load.demand, kCapacity));
}

// The fraction of a resource that the entitlements of all groups take.
double totalAllocatedFraction(const std::vector<GroupLoad>& groups, const std::vector<GroupShare>& shares,
                              int resource) {
  double sum = 0;
  for (std::size_t i = 0; i < groups.size(); ++i) sum += allocatedFraction(groups[i], shares[i], resource);
  return sum;
}

// The fraction of a resource that the fixed parts of all groups take.
double totalFixedFraction(const std::vector<GroupLoad>& groups, int resource) {
  double sum = 0;
  for (const GroupLoad& group : groups) sum += fractionOfCapacity(group.fixed, resource);
  return sum;
}

// The properties are predicates, so that another test can show that they reject incorrect allocators.

// The entitlements fit into the capacity, or into the sum of the fixed parts if this is larger.
bool isWithinCapacity(const Allocator& allocate, const std::vector<GroupLoad>& groups) {
  const auto shares = allocate(kCapacity, groups);
  for (int resource = 0; resource < 3; ++resource)
    if (totalAllocatedFraction(groups, shares, resource) >
        std::max(1.0, totalFixedFraction(groups, resource)) + kTolerance)
      return false;
  return true;
}

// The entitlement of each group is at least its fixed part and at most its demand.
bool isBetweenFixedPartAndDemand(const Allocator& allocate, const std::vector<GroupLoad>& groups) {
  const auto shares = allocate(kCapacity, groups);
  for (std::size_t i = 0; i < groups.size(); ++i) {
    if (shares[i].entitled < dominantShareOfFixedPart(groups[i]) - kTolerance) return false;
    if (shares[i].entitled > shares[i].demand + kTolerance) return false;
  }
  return true;
}

// Weighted max-min fairness: each group that gets less than its demand uses an exhausted resource, and no
// other group that uses this resource has a larger entitlement in proportion to its weight. Groups that get
// only their fixed part are excepted. Groups of weight 0 come after all others.
bool isMaxMinFair(const Allocator& allocate, const std::vector<GroupLoad>& groups) {
  const auto shares = allocate(kCapacity, groups);
  const auto isLimitedBy = [&](std::size_t group, int resource) {
    if (fractionOfCapacity(groups[group].demand, resource) <= 0) return false;
    if (totalAllocatedFraction(groups, shares, resource) < 1 - kTolerance) return false;
    for (std::size_t other = 0; other < groups.size(); ++other) {
      if (allocatedFraction(groups[other], shares[other], resource) <= kTolerance) continue;
      if (shares[other].entitled <= dominantShareOfFixedPart(groups[other]) + kTolerance) continue;
      if (groups[group].weight > 0 && groups[other].weight == 0) return false;
      if (groups[group].weight == 0 && groups[other].weight > 0) continue;
      const double groupWeight = groups[group].weight > 0 ? groups[group].weight : 1;
      const double otherWeight = groups[other].weight > 0 ? groups[other].weight : 1;
      if (shares[other].entitled / otherWeight > shares[group].entitled / groupWeight + kTolerance)
        return false;
    }
    return true;
  };
  for (std::size_t i = 0; i < groups.size(); ++i) {
    if (shares[i].entitled >= shares[i].demand - kTolerance) continue;
    if (!isLimitedBy(i, 0) && !isLimitedBy(i, 1) && !isLimitedBy(i, 2)) return false;
  }
  return true;
}

RC_GTEST_PROP(FairShareAllocation, StaysWithinCapacity, ()) {
  RC_ASSERT(isWithinCapacity(allocateFairShares, *anyGroupLoads()));
}

RC_GTEST_PROP(FairShareAllocation, EntitlementIsBetweenFixedPartAndDemand, ()) {
  RC_ASSERT(isBetweenFixedPartAndDemand(allocateFairShares, *anyGroupLoads()));
}

RC_GTEST_PROP(FairShareAllocation, IsWeightedMaxMinFair, ()) {
  RC_ASSERT(isMaxMinFair(allocateFairShares, *anyGroupLoads()));
}

RC_GTEST_PROP(FairShareAllocation, HigherWeightNeverReducesEntitlement, ()) {
  auto groups = *anyGroupLoads();
  const auto chosenGroup = *rc::gen::inRange<std::size_t>(0, groups.size());
  const double before = allocateFairShares(kCapacity, groups)[chosenGroup].entitled;
  groups[chosenGroup].weight += *rc::gen::inRange(1, 9);
  RC_ASSERT(allocateFairShares(kCapacity, groups)[chosenGroup].entitled >= before - kTolerance);
}

RC_GTEST_PROP(FairShareAllocation, DoesNotDependOnGroupOrder, ()) {
  const auto groups = *anyGroupLoads();
  auto rotatedGroups = groups;
  std::rotate(rotatedGroups.begin(),
              rotatedGroups.begin() +
                  *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(groups.size())),
              rotatedGroups.end());
  auto shares = allocateFairShares(kCapacity, groups);
  auto rotatedShares = allocateFairShares(kCapacity, rotatedGroups);
  const auto hasLowerEntitlement = [](const GroupShare& a, const GroupShare& b) {
    return a.entitled < b.entitled;
  };
  std::sort(shares.begin(), shares.end(), hasLowerEntitlement);
  std::sort(rotatedShares.begin(), rotatedShares.end(), hasLowerEntitlement);
  for (std::size_t i = 0; i < shares.size(); ++i)
    RC_ASSERT(std::abs(shares[i].entitled - rotatedShares[i].entitled) < kTolerance);
}

RC_GTEST_PROP(FairShareAllocation, EntitlementsDoNotGrowWhenDemandIsReducedToThem, ()) {
  auto groups = *anyGroupLoads();
  const auto shares = allocateFairShares(kCapacity, groups);
  for (std::size_t i = 0; i < groups.size(); ++i) {
    if (shares[i].demand <= 0) continue;
    groups[i].demand = groups[i].running = scaled(groups[i].demand, shares[i].entitled / shares[i].demand);
    groups[i].fixed = scaled(groups[i].fixed, 0);
  }
  const auto secondShares = allocateFairShares(kCapacity, groups);
  for (std::size_t i = 0; i < groups.size(); ++i)
    RC_ASSERT(secondShares[i].entitled <= shares[i].entitled + kTolerance);
}

// Incorrect allocators, with one fault each. The predicates must reject them.

std::vector<GroupShare> ignoresCapacity(const Resources& capacity, const std::vector<GroupLoad>& groups) {
  auto shares = allocateFairShares(capacity, groups);
  for (GroupShare& share : shares) share.entitled = share.demand;
  return shares;
}

std::vector<GroupShare> ignoresWeights(const Resources& capacity, std::vector<GroupLoad> groups) {
  for (GroupLoad& group : groups) group.weight = 1;
  return allocateFairShares(capacity, groups);
}

std::vector<GroupShare> limitsLastGroupToFixedPart(const Resources& capacity,
                                                   const std::vector<GroupLoad>& groups) {
  auto shares = allocateFairShares(capacity, groups);
  if (shares.size() > 1) shares.back().entitled = dominantShareOfFixedPart(groups.back());
  return shares;
}

// Whether the property holds for random loads. The seed is fixed.
bool holdsForRandomLoads(bool (*property)(const Allocator&, const std::vector<GroupLoad>&),
                         const Allocator& allocator) {
  rc::detail::TestParams params;
  params.seed = 20261202;
  params.maxSuccess = 200;
  params.disableShrinking = true;
  const auto result = rc::detail::checkTestable([&] { RC_ASSERT(property(allocator, *anyGroupLoads())); },
                                                rc::detail::TestMetadata{}, params);
  return result.template is<rc::detail::SuccessResult>();
}

TEST(FairShareProperties, RejectIncorrectAllocators) {
  EXPECT_TRUE(holdsForRandomLoads(isWithinCapacity, allocateFairShares));
  EXPECT_TRUE(holdsForRandomLoads(isMaxMinFair, allocateFairShares));
  EXPECT_FALSE(holdsForRandomLoads(isWithinCapacity, ignoresCapacity));
  EXPECT_FALSE(holdsForRandomLoads(isMaxMinFair, ignoresWeights));
  EXPECT_FALSE(holdsForRandomLoads(isMaxMinFair, limitsLastGroupToFixedPart));
}

}  // namespace
