// Pools and prices from the catalogue.
#include "fleet/pool_offers.hpp"

namespace reachhoist::fleet {

double hourlyPrice(const wire::MachineType& machineType, bool spot) {
  return spot ? machineType.spotPricePerHour : machineType.onDemandPricePerHour;
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
