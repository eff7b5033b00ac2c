#include "standin/network.hpp"

namespace standin {

void Network::partitionZones(const std::string& zoneA, const std::string& zoneB, double durationS,
                             PartitionMode mode) {
  zonePartitions_.push_back(ZonePartition{zoneA, zoneB, sim_.now() + durationS, mode});
}

void Network::partitionFromPeers(const std::string& controller, double durationS) {
  fromPeersUntilS_[controller] = sim_.now() + durationS;
}

void Network::partitionFromWorkers(const std::string& controller, double durationS) {
  fromWorkersUntilS_[controller] = sim_.now() + durationS;
}

const ZonePartition* Network::partitionBetween(const std::string& zoneA, const std::string& zoneB) const {
  for (const ZonePartition& partition : zonePartitions_) {
    if (sim_.now() >= partition.untilS) continue;
    const bool matches = partition.zoneA == zoneA && partition.zoneB == zoneB;
    const bool matchesReversed = partition.zoneA == zoneB && partition.zoneB == zoneA;
    if (matches || matchesReversed) return &partition;
  }
  return nullptr;
}

bool Network::isPartitionedFromPeers(const std::string& controller) const {
  return isInForce(fromPeersUntilS_, controller);
}

bool Network::isPartitionedFromWorkers(const std::string& controller) const {
  return isInForce(fromWorkersUntilS_, controller);
}

bool Network::isInForce(const Deadlines& deadlines, const std::string& controller) const {
  const auto found = deadlines.find(controller);
  return found != deadlines.end() && sim_.now() < found->second;
}

}  // namespace standin
