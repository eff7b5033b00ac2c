// Network partition detection: which zones seem partitioned from this controller, and whether the controller
// itself is partitioned from the fleet, inferred from machines whose heartbeats have stopped or arrive only
// by way of sibling controllers.
#pragma once

#include <map>
#include <set>
#include <string>

#include "machines/machines.hpp"

namespace reachhoist::service {

// Detects network partitions of zones and of this controller from the machine table. Not thread-safe.
class PartitionDetector {
 public:
  using Time = wire::Time;

  explicit PartitionDetector(const config::Settings& settings) : settings_(settings) {}

  // Updates the conclusions from the present state of all machines.
  void observe(const machines::MachineTable& machines, Time now);
  // Drops all conclusions: this process was not listening.
  void reset();

  // Zones that count as partitioned: most of their machines are quiet, or were a short time ago.
  const std::set<std::string>& zones() const { return zones_; }
  bool isPartitioned(const std::string& zone) const { return zones_.contains(zone); }
  // Most machines of the zone are quiet or heard through siblings only: the others may soon be as well.
  bool isSuspected(const std::string& zone) const { return isPartitioned(zone) || doubtful_.contains(zone); }
  // Nearly all machines are quiet, wherever they are: it is this controller that is partitioned.
  bool isSelfPartitioned() const { return selfPartitioned_; }
  // For how long that has been so with machines that had been heard from; zero if it is not so.
  wire::Duration selfPartitionedFor(Time now) const { return since(selfPartitionedSince_, now); }
  // Nearly all machines are quiet or heard through siblings.
  bool isMostlyIndirect() const { return mostlyIndirect_; }
  // For how long no machine has been heard or reached directly, while siblings hear some.
  wire::Duration withoutDirectContactFor(Time now) const { return since(unreachedSince_, now); }
  // For how long hardly any machine has been heard from at all, though many should be there.
  wire::Duration withoutHeartbeatsFor(Time now) const { return since(unheardSince_, now); }

 private:
  struct Count {
    int up = 0;        // machines that are up or draining
    int quiet = 0;     // whose heartbeat is overdue
    int indirect = 0;  // quiet, or heard through siblings only
    int heard = 0;     // heard from in this term
    void add(const Count& other);
  };
  Count countOf(const machines::Machine& machine, Time now) const;
  static wire::Duration since(Time begin, Time now) {
    return begin == Time{} ? wire::Duration{0} : now - begin;
  }
  // Keeps the time since which a condition holds; unset while it does not.
  static void trackSince(Time& begin, bool holds, Time now);
  void observeZones(const std::map<std::string, Count>& zones, Time now);
  void observeFleet(const Count& all, Time now);

  const config::Settings& settings_;
  std::set<std::string> zones_;
  std::set<std::string> doubtful_;
  std::map<std::string, Time> partitionedUntil_;  // by zone
  bool selfPartitioned_ = false;
  bool mostlyIndirect_ = false;
  Time selfPartitionedSince_{};
  Time unreachedSince_{};
  Time unheardSince_{};
};

}  // namespace reachhoist::service
