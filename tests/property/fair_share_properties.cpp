// Properties of the division of shares, over random groups: RapidCheck with the seed that CMake passes.
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

constexpr double kSlack = 1e-6;
const Resources kCapacity{1000, 40, 4000};

double part(const Resources& amount, int resource) {
  const double parts[] = {amount.vcpus / kCapacity.vcpus, amount.accelerators / kCapacity.accelerators,
                          amount.memoryGb / kCapacity.memoryGb};
  return parts[resource];
}

Resources scaled(const Resources& amount, double by) {
  return Resources{amount.vcpus * by, amount.accelerators * by, amount.memoryGb * by};
}

rc::Gen<GroupLoad> anyGroup() {
  return rc::gen::apply(
      [](int weight, int cpus, int gpus, int memory, int fixedPercent) {
        GroupLoad load;
        load.weight = weight;
        load.demand =
            Resources{static_cast<double>(cpus), static_cast<double>(gpus), static_cast<double>(memory)};
        load.fixed = scaled(load.demand, fixedPercent / 100.0);
        return load;
      },
      rc::gen::inRange(0, 9), rc::gen::inRange(0, 1500), rc::gen::inRange(0, 60), rc::gen::inRange(0, 6000),
      rc::gen::element(0, 0, 0, 5, 10));
}

rc::Gen<std::vector<GroupLoad>> anyGroups() {
  // RapidCheck narrows ranges in its first cases; here every case is a full one.
  return rc::gen::resize(rc::kNominalSize,
                         rc::gen::mapcat(rc::gen::inRange<std::size_t>(1, 13), [](auto count) {
                           return rc::gen::container<std::vector<GroupLoad>>(count, anyGroup());
                         }));
}

using Allocator = std::function<std::vector<GroupShare>(const Resources&, const std::vector<GroupLoad>&)>;

// What a group is given of a resource.
double given(const GroupLoad& load, const GroupShare& share, int resource) {
  return share.demand > 0 ? part(load.demand, resource) * share.entitled / share.demand : 0;
}

double fixedShare(const GroupLoad& load) {
  return std::min(dominantShare(load.fixed, kCapacity), dominantShare(load.demand, kCapacity));
}

double sumOf(const std::vector<GroupLoad>& groups, const std::vector<GroupShare>& shares, int resource) {
  double sum = 0;
  for (std::size_t i = 0; i < groups.size(); ++i) sum += given(groups[i], shares[i], resource);
  return sum;
}

double fixedSum(const std::vector<GroupLoad>& groups, int resource) {
  double sum = 0;
  for (const GroupLoad& group : groups) sum += part(group.fixed, resource);
  return sum;
}

// The properties as predicates, so that a broken allocator can be shown to fail them.
bool staysWithinCapacity(const Allocator& allocate, const std::vector<GroupLoad>& groups) {
  const auto shares = allocate(kCapacity, groups);
  for (int resource = 0; resource < 3; ++resource)
    if (sumOf(groups, shares, resource) > std::max(1.0, fixedSum(groups, resource)) + kSlack) return false;
  return true;
}

bool staysBetweenFixedAndDemand(const Allocator& allocate, const std::vector<GroupLoad>& groups) {
  const auto shares = allocate(kCapacity, groups);
  for (std::size_t i = 0; i < groups.size(); ++i) {
    if (shares[i].entitled < fixedShare(groups[i]) - kSlack) return false;
    if (shares[i].entitled > shares[i].demand + kSlack) return false;
  }
  return true;
}

// A group that gets less than its demand is limited by a resource that is used up, and no group that uses
// this resource has more of it for its weight, apart from its fixed part.
bool isMaxMin(const Allocator& allocate, const std::vector<GroupLoad>& groups) {
  const auto shares = allocate(kCapacity, groups);
  const auto blocks = [&](std::size_t group, int resource) {
    if (part(groups[group].demand, resource) <= 0) return false;
    if (sumOf(groups, shares, resource) < 1 - kSlack) return false;
    for (std::size_t other = 0; other < groups.size(); ++other) {
      if (given(groups[other], shares[other], resource) <= kSlack) continue;
      if (shares[other].entitled <= fixedShare(groups[other]) + kSlack) continue;
      if (groups[group].weight > 0 && groups[other].weight == 0) return false;
      if (groups[group].weight == 0 && groups[other].weight > 0) continue;
      const double own = groups[group].weight > 0 ? groups[group].weight : 1;
      const double others = groups[other].weight > 0 ? groups[other].weight : 1;
      if (shares[other].entitled / others > shares[group].entitled / own + kSlack) return false;
    }
    return true;
  };
  for (std::size_t i = 0; i < groups.size(); ++i) {
    if (shares[i].entitled >= shares[i].demand - kSlack) continue;
    if (!blocks(i, 0) && !blocks(i, 1) && !blocks(i, 2)) return false;
  }
  return true;
}

RC_GTEST_PROP(Division, StaysWithinCapacity, ()) {
  RC_ASSERT(staysWithinCapacity(allocateFairShares, *anyGroups()));
}

RC_GTEST_PROP(Division, StaysBetweenFixedPartAndDemand, ()) {
  RC_ASSERT(staysBetweenFixedAndDemand(allocateFairShares, *anyGroups()));
}

RC_GTEST_PROP(Division, LeavesNobodyBelowWhileAnotherIsAbove, ()) {
  RC_ASSERT(isMaxMin(allocateFairShares, *anyGroups()));
}

RC_GTEST_PROP(Division, GivesNoLessForAHigherWeight, ()) {
  auto groups = *anyGroups();
  const auto which = *rc::gen::inRange<std::size_t>(0, groups.size());
  const double before = allocateFairShares(kCapacity, groups)[which].entitled;
  groups[which].weight += *rc::gen::inRange(1, 9);
  RC_ASSERT(allocateFairShares(kCapacity, groups)[which].entitled >= before - kSlack);
}

RC_GTEST_PROP(Division, DoesNotDependOnTheOrder, ()) {
  const auto groups = *anyGroups();
  auto turned = groups;
  std::rotate(
      turned.begin(),
      turned.begin() + *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(groups.size())),
      turned.end());
  auto shares = allocateFairShares(kCapacity, groups);
  auto same = allocateFairShares(kCapacity, turned);
  const auto less = [](const GroupShare& a, const GroupShare& b) { return a.entitled < b.entitled; };
  std::sort(shares.begin(), shares.end(), less);
  std::sort(same.begin(), same.end(), less);
  for (std::size_t i = 0; i < shares.size(); ++i)
    RC_ASSERT(std::abs(shares[i].entitled - same[i].entitled) < kSlack);
}

RC_GTEST_PROP(Division, IsUnchangedWhenWhatItGaveIsAskedFor, ()) {
  auto groups = *anyGroups();
  const auto shares = allocateFairShares(kCapacity, groups);
  for (std::size_t i = 0; i < groups.size(); ++i) {
    if (shares[i].demand <= 0) continue;
    groups[i].demand = groups[i].running = scaled(groups[i].demand, shares[i].entitled / shares[i].demand);
    groups[i].fixed = scaled(groups[i].fixed, 0);
  }
  const auto again = allocateFairShares(kCapacity, groups);
  for (std::size_t i = 0; i < groups.size(); ++i) RC_ASSERT(again[i].entitled <= shares[i].entitled + kSlack);
}

// Allocators with one fault each, which must not pass.
std::vector<GroupShare> forgetsCapacity(const Resources& capacity, const std::vector<GroupLoad>& groups) {
  auto shares = allocateFairShares(capacity, groups);
  for (GroupShare& share : shares) share.entitled = share.demand;
  return shares;
}

std::vector<GroupShare> forgetsWeights(const Resources& capacity, std::vector<GroupLoad> groups) {
  for (GroupLoad& group : groups) group.weight = 1;
  return allocateFairShares(capacity, groups);
}

std::vector<GroupShare> servesTheFirst(const Resources& capacity, const std::vector<GroupLoad>& groups) {
  auto shares = allocateFairShares(capacity, groups);
  if (shares.size() > 1) shares.back().entitled = fixedShare(groups.back());
  return shares;
}

bool holds(bool (*property)(const Allocator&, const std::vector<GroupLoad>&), const Allocator& allocator) {
  rc::detail::TestParams params;
  params.seed = 20261202;
  params.maxSuccess = 200;
  params.disableShrinking = true;
  const auto result = rc::detail::checkTestable([&] { RC_ASSERT(property(allocator, *anyGroups())); },
                                                rc::detail::TestMetadata{}, params);
  return result.template is<rc::detail::SuccessResult>();
}

TEST(DivisionProperties, ABrokenAllocatorFailsThem) {
  EXPECT_TRUE(holds(staysWithinCapacity, allocateFairShares));
  EXPECT_TRUE(holds(isMaxMin, allocateFairShares));
  EXPECT_FALSE(holds(staysWithinCapacity, forgetsCapacity));
  EXPECT_FALSE(holds(isMaxMin, forgetsWeights));
  EXPECT_FALSE(holds(isMaxMin, servesTheFirst));
}

}  // namespace
