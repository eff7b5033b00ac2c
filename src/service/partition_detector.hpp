// Network partition detection. The detector infers which zones are partitioned from this controller, and
// whether the controller itself is partitioned from the fleet. The evidence is machines whose heartbeats have
// stopped or arrive only through sibling controllers.
#pragma once

#include <map>
#include <set>
#include <string>

#include "machines/machines.hpp"

namespace reachhoist::service {

// Detects network partitions of zones and of this controller from the machine table. It is not thread-safe.
class PartitionDetector {
 public:
  using Time = wire::Time;

  explicit PartitionDetector(const config::Settings& settings) : settings_(settings) {}

  // Updates the conclusions from the current state of all machines.
  void observe(const machines::MachineTable& machines, Time now);
  // Drops all conclusions, for a process that was suspended and received nothing meanwhile.
  void reset();

  // Returns the zones that count as partitioned: more than half of their machines have an overdue heartbeat,
  // or had one a short time ago.
  const std::set<std::string>& partitionedZones() const { return partitionedZones_; }
  bool isPartitioned(const std::string& zone) const { return partitionedZones_.contains(zone); }
  // Returns whether the zone is partitioned, or more than half of its machines are without direct contact.
  // The heartbeats of the other machines can stop soon in either case.
  bool isSuspected(const std::string& zone) const {
    return isPartitioned(zone) || suspectedZones_.contains(zone);
  }
  // Returns whether more than three quarters of all machines, in whatever zone, have an overdue heartbeat.
  // Then this controller is the one that is partitioned.
  bool isSelfPartitioned() const { return selfPartitioned_; }
  // Returns for how long isSelfPartitioned() has held while more than half of the machines have sent a
  // heartbeat in this term; zero if that does not hold.
  wire::Duration selfPartitionedFor(Time now) const { return elapsedSince(selfPartitionedSince_, now); }
  // Returns whether more than three quarters of all machines are without direct contact, some of them with
  // heartbeats through siblings, in a fleet that is large enough to judge by.
  bool isMostlyIndirect() const { return mostlyIndirect_; }
  // Returns for how long this controller has had direct contact with no machine while siblings relay the
  // heartbeats of some; zero if that does not hold.
  wire::Duration withoutDirectContactFor(Time now) const {
    return elapsedSince(withoutDirectContactSince_, now);
  }
  // Returns for how long fewer than a tenth of the machines have sent any heartbeat in this term although the
  // fleet is large enough to judge by; zero if that does not hold.
  wire::Duration withoutHeartbeatsFor(Time now) const { return elapsedSince(withoutHeartbeatsSince_, now); }

 private:
  // Machines by the recency of their contact with this controller.
  struct MachineCounts {
    int up = 0;                    // machines that are up or draining
    int overdue = 0;               // those whose heartbeat is overdue
    int withoutDirectContact = 0;  // those that are overdue, or in contact through siblings only
    int reported = 0;              // those that have sent a heartbeat in this term
    void add(const MachineCounts& other);
  };
  MachineCounts countsOf(const machines::Machine& machine, Time now) const;
  static wire::Duration elapsedSince(Time begin, Time now) {
    return begin == Time{} ? wire::Duration{0} : now - begin;
  }
  // Sets `begin` to the time since which a condition has held, and unsets it when the condition does not
  // hold.
  static void updateBegin(Time& begin, bool holds, Time now);
  void observeZones(const std::map<std::string, MachineCounts>& countsByZone, Time now);
  void observeFleet(const MachineCounts& fleet, Time now);

  const config::Settings& settings_;
  std::set<std::string> partitionedZones_;
  std::set<std::string> suspectedZones_;
  std::map<std::string, Time> partitionedUntil_;  // by zone
  bool selfPartitioned_ = false;
  bool mostlyIndirect_ = false;
  Time selfPartitionedSince_{};
  Time withoutDirectContactSince_{};
  Time withoutHeartbeatsSince_{};
};

}  // namespace reachhoist::service
