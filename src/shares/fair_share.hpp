// Weighted max-min fairness over the dominant resource, by progressive filling: what each group is entitled
// to of the machines that are up. Pure arithmetic: no jobs, no machines.
#pragma once

#include <vector>

#include "wire/types.hpp"

namespace reachhoist::shares {

using wire::Resources;

// What one fair-share group has and asks for, in absolute resources.
struct GroupLoad {
  double weight = 0;
  Resources running;  // placed, and not on its way out
  Resources demand;   // running and waiting
  Resources fixed;    // of the demand, what ranks above shares and is served first
};

// All three as dominant shares: the largest part that it takes of any one resource.
struct GroupShare {
  double entitled = 0;
  double running = 0;
  double demand = 0;

  // It is entitled to all that it asks for.
  bool granted() const;
};

// The largest part of any resource that the amount takes of the capacity.
double dominantShare(const Resources& amount, const Resources& capacity);

// Groups rise together, each by its weight, until their demand is met or a resource that they use is used up.
// None is held below its fixed part. Groups of weight 0 share what the others leave.
std::vector<GroupShare> allocateFairShares(const Resources& capacity, const std::vector<GroupLoad>& groups);

}  // namespace reachhoist::shares
