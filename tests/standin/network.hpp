// Network partitions of a simulated world.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "standin/sim.hpp"

namespace standin {

// What happens to messages into a partition: delayed ones may arrive when it ends.
enum class PartitionMode { drop, delay };

// A partition between two zones, in both directions.
struct ZonePartition {
  std::string zoneA;
  std::string zoneB;
  double untilS = 0;
  PartitionMode mode = PartitionMode::drop;
};

// Which parts of the network can't reach each other. Partitions end by themselves after the given seconds;
// controllers are named by their labels.
class Network {
 public:
  static constexpr double kHopS = 0.002;  // one way between any two processes

  explicit Network(const Sim& sim) : sim_(sim) {}

  void partitionZones(const std::string& zoneA, const std::string& zoneB, double seconds, PartitionMode mode);
  // Between the controller and its siblings.
  void partitionFromPeers(const std::string& controller, double seconds);
  // Between the controller and all workers.
  void partitionFromWorkers(const std::string& controller, double seconds);

  // The first partition between the zones that has not ended, or null.
  const ZonePartition* partitionBetween(const std::string& zoneA, const std::string& zoneB) const;
  bool zonesPartitioned(const std::string& zoneA, const std::string& zoneB) const {
    return partitionBetween(zoneA, zoneB) != nullptr;
  }
  bool partitionedFromPeers(const std::string& controller) const;
  bool partitionedFromWorkers(const std::string& controller) const;

 private:
  using Deadlines = std::map<std::string, double>;  // by label of the controller
  bool inForce(const Deadlines& deadlines, const std::string& controller) const;

  const Sim& sim_;
  std::vector<ZonePartition> zonePartitions_;
  Deadlines fromPeersUntilS_;
  Deadlines fromWorkersUntilS_;
};

}  // namespace standin
