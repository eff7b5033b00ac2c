// Pools and prices from the catalogue.
#include "fleet/pool_offers.hpp"

#include <algorithm>
#include <cmath>

namespace reachhoist::fleet {

double hourlyPrice(const wire::MachineType& machineType, bool spot) {
  return spot ? machineType.spotPricePerHour : machineType.onDemandPricePerHour;
}

int instancesInStep(double neededInstances) {
  const double count = std::floor(neededInstances / constants::kScaleOutStepDivisor);
  return static_cast<int>(std::clamp(count, 1.0, constants::kMaxScaleOutStepInstances));
}

std::vector<PoolOffer> offeredPools(const std::vector<wire::MachineType>& catalog) {
  std::vector<PoolOffer> offers;
  for (const wire::MachineType& machineType : catalog) {
    for (const std::string& zone : machineType.zones) {
      offers.push_back({cloud::PoolKey{machineType.name, zone, false}, &machineType});
      offers.push_back({cloud::PoolKey{machineType.name, zone, true}, &machineType});
    }
  }
  return offers;
}

}  // namespace reachhoist::fleet
