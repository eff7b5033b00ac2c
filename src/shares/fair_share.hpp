// Dominant resource fairness (weighted max-min fairness over each group's dominant resource), computed by
// progressive filling. The result is the entitlement of each group to the capacity of the machines that are
// up. This file computes with resources only and does not depend on jobs or machines.
#pragma once

#include <vector>

#include "wire/types.hpp"

namespace reachhoist::shares {

using wire::Resources;

// The usage and the demand of one fair-share group, in absolute resources.
struct GroupLoad {
  double weight = 0;  // relative to the weights of the other groups
  Resources running;  // resources of the placed attempts, except those that are being stopped
  Resources demand;   // resources of the running and the waiting tasks
  Resources fixed;    // part of the demand that the group gets regardless of its weight
};

// The shares of one group. All three are dominant shares: the largest part, from 0 to 1, that the group takes
// of any one resource.
struct GroupShare {
  double entitled = 0;
  double running = 0;
  double demand = 0;

  // Whether the group is entitled to all that it demands.
  bool isDemandCovered() const;
};

// The dominant share of the amount: the largest part that it takes of any resource of the capacity.
double dominantShare(const Resources& amount, const Resources& capacity);

// Computes the shares of each group, in the order of `groups`. The entitlements rise together, each in
// proportion to its group's weight, until the group's demand is met or a resource that the group uses is
// exhausted. No entitlement is below the group's fixed part. Groups of weight 0 divide what the other groups
// leave.
std::vector<GroupShare> allocateFairShares(const Resources& capacity, const std::vector<GroupLoad>& groups);

}  // namespace reachhoist::shares
