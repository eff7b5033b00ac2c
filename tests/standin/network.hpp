// Network partitions of a simulated world.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "standin/simulation.hpp"

namespace standin {

// How a partition treats messages: it drops all of them, or delays some of them until it ends.
enum class PartitionMode { drop, delay };

// A partition between two zones, in both directions.
struct ZonePartition {
  std::string zoneA;
  std::string zoneB;
  double untilS = 0;
  PartitionMode mode = PartitionMode::drop;
};

// The partitions in force. Each ends after the given duration. Controllers are identified by their labels.
class Network {
 public:
  static constexpr double kHopS = 0.002;  // one-way latency between any two processes

  explicit Network(const Simulation& sim) : sim_(sim) {}

  void partitionZones(const std::string& zoneA, const std::string& zoneB, double durationS,
                      PartitionMode mode);
  // Starts a partition between the controller and its siblings.
  void partitionFromPeers(const std::string& controller, double durationS);
  // Starts a partition between the controller and all workers.
  void partitionFromWorkers(const std::string& controller, double durationS);

  // Returns the first partition between the zones that has not ended, or null.
  const ZonePartition* partitionBetween(const std::string& zoneA, const std::string& zoneB) const;
  bool areZonesPartitioned(const std::string& zoneA, const std::string& zoneB) const {
    return partitionBetween(zoneA, zoneB) != nullptr;
  }
  bool isPartitionedFromPeers(const std::string& controller) const;
  bool isPartitionedFromWorkers(const std::string& controller) const;

 private:
  using Deadlines = std::map<std::string, double>;  // end of the partition by label of the controller
  bool isInForce(const Deadlines& deadlines, const std::string& controller) const;

  const Simulation& sim_;
  std::vector<ZonePartition> zonePartitions_;
  Deadlines fromPeersUntilS_;
  Deadlines fromWorkersUntilS_;
};

}  // namespace standin
