// The pools that the catalogue offers, and their prices.
#pragma once

#include <vector>

#include "cloud/client.hpp"

namespace reachhoist::fleet {

// A pool that the catalogue offers, with the machine type of its instances. The catalogue owns the type.
struct PoolOffer {
  cloud::PoolKey key;
  const wire::MachineType* machineType = nullptr;
};

// The price of one instance per hour: the market price for spot instances, the on-demand price otherwise.
double hourlyPrice(const wire::MachineType& machineType, bool spot);

// The number of instances to request of the chosen pool before the pools are compared again, given the number
// that is still needed. It is 1 up to twice constants::kScaleOutStepDivisor and grows with the need, so that
// the number of comparisons grows with its logarithm.
int instancesInStep(double neededInstances);

// Every pool that the catalogue offers: one on-demand and one spot pool per machine type and zone.
std::vector<PoolOffer> offeredPools(const std::vector<wire::MachineType>& catalog);

}  // namespace reachhoist::fleet
