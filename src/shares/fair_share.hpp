// Weighted max-min fairness over the dominant resource (dominant resource fairness), by progressive filling:
// what each group is entitled to of the machines that are up. Pure arithmetic: no jobs, no machines.
#pragma once

#include <vector>

#include "wire/types.hpp"

namespace reachhoist::shares {

using wire::Resources;

// What one fair-share group uses and demands, in absolute resources.
struct GroupLoad {
  double weight = 0;  // relative to the other groups
  Resources running;  // of its placed attempts, except those that are being stopped
  Resources demand;   // of its running and waiting tasks
  Resources fixed;    // of the demand, what is served before fair shares apply
};

// One group's shares. All three are dominant shares, from 0 to 1: the largest part of any one resource.
struct GroupShare {
  double entitled = 0;
  double running = 0;
  double demand = 0;

  // Whether the group is entitled to all that it demands.
  bool granted() const;
};

// The largest part of any resource that the amount takes of the capacity.
double dominantShare(const Resources& amount, const Resources& capacity);

// The entitlement of each group, in the order of `groups`. Shares rise together, each by its weight, until
// the group's demand is met or a resource that it uses is exhausted. No share is below the group's fixed
// part. Groups of weight 0 divide what the others leave.
std::vector<GroupShare> allocateFairShares(const Resources& capacity, const std::vector<GroupLoad>& groups);

}  // namespace reachhoist::shares
