// The pools that the catalogue offers.
#include "fleet/pool_offers.hpp"

namespace reachhoist::fleet {

double hourlyPrice(const wire::MachineType& machineType, bool spot) {
  return spot ? machineType.spotPricePerHour : machineType.onDemandPricePerHour;
}

std::vector<PoolOffer> offeredPools(const std::vector<wire::MachineType>& catalog) {
  std::vector<PoolOffer> out;
  for (const wire::MachineType& machineType : catalog) {
    for (const std::string& zone : machineType.zones) {
      out.push_back({cloud::PoolKey{machineType.name, zone, false}, &machineType});
      out.push_back({cloud::PoolKey{machineType.name, zone, true}, &machineType});
    }
  }
  return out;
}

}  // namespace reachhoist::fleet
