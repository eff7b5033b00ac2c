#include "standin/network.hpp"

namespace standin {

void Network::partitionZones(const std::string& zoneA, const std::string& zoneB, double seconds,
                             PartitionMode mode) {
  zonePartitions_.push_back(ZonePartition{zoneA, zoneB, sim_.now() + seconds, mode});
}

void Network::partitionFromPeers(const std::string& controller, double seconds) {
  fromPeersUntilS_[controller] = sim_.now() + seconds;
}

void Network::partitionFromWorkers(const std::string& controller, double seconds) {
  fromWorkersUntilS_[controller] = sim_.now() + seconds;
}

const ZonePartition* Network::partitionBetween(const std::string& zoneA, const std::string& zoneB) const {
  for (const ZonePartition& partition : zonePartitions_) {
    if (sim_.now() >= partition.untilS) continue;
    const bool same = partition.zoneA == zoneA && partition.zoneB == zoneB;
    const bool reversed = partition.zoneA == zoneB && partition.zoneB == zoneA;
    if (same || reversed) return &partition;
  }
  return nullptr;
}

bool Network::partitionedFromPeers(const std::string& controller) const {
  return inForce(fromPeersUntilS_, controller);
}

bool Network::partitionedFromWorkers(const std::string& controller) const {
  return inForce(fromWorkersUntilS_, controller);
}

bool Network::inForce(const Deadlines& deadlines, const std::string& controller) const {
  const auto found = deadlines.find(controller);
  return found != deadlines.end() && sim_.now() < found->second;
}

}  // namespace standin
