// Network partition detection over the machine table; see partition_detector.hpp.
#include "service/partition_detector.hpp"

namespace reachhoist::service {

using machines::Machine;
using machines::MachinePhase;

namespace {
bool isOverThreeQuarters(int count, int total) { return count * 4 > total * 3; }
bool isOverHalf(int count, int total) { return count * 2 > total; }
bool isUnderTenth(int count, int total) { return count * 10 < total; }
// Returns whether `count` machines without contact, of `up` in a zone, suggest that the zone is partitioned.
bool suggestsPartition(int count, int up) { return count > 1 && count > up * constants::kZonePartitionShare; }
}  // namespace

void PartitionDetector::MachineCounts::add(const MachineCounts& other) {
  up += other.up;
  overdue += other.overdue;
  withoutDirectContact += other.withoutDirectContact;
  reported += other.reported;
}

PartitionDetector::MachineCounts PartitionDetector::countsOf(const Machine& machine, Time now) const {
  const auto overdueAfter =
      wire::seconds(settings_.workers.heartbeatIntervalS * constants::kOverdueHeartbeatIntervals + 0.5);
  MachineCounts counts;
  counts.up = 1;
  counts.overdue = now - machine.contact.lastHeartbeatAt > overdueAfter ? 1 : 0;
  counts.withoutDirectContact =
      counts.overdue != 0 || now - machine.contact.lastDirectContactAt > overdueAfter ? 1 : 0;
  counts.reported = machine.lastHeartbeatSequence != 0 ? 1 : 0;
  return counts;
}

void PartitionDetector::updateBegin(Time& begin, bool holds, Time now) {
  if (!holds) {
    begin = Time{};
  } else if (begin == Time{}) {
    begin = now;
  }
}

void PartitionDetector::reset() {
  partitionedZones_.clear();
  suspectedZones_.clear();
  partitionedUntil_.clear();
  selfPartitioned_ = mostlyIndirect_ = false;
  selfPartitionedSince_ = withoutDirectContactSince_ = withoutHeartbeatsSince_ = Time{};
}

void PartitionDetector::observe(const machines::MachineTable& machines, Time now) {
  std::map<std::string, MachineCounts> countsByZone;
  MachineCounts fleet;
  for (const auto& [host, machine] : machines.all()) {
    if (machine.phase != MachinePhase::up && machine.phase != MachinePhase::draining) continue;
    const MachineCounts counts = countsOf(machine, now);
    countsByZone[machine.zone].add(counts);
    fleet.add(counts);
  }
  observeZones(countsByZone, now);
  observeFleet(fleet, now);
}

void PartitionDetector::observeZones(const std::map<std::string, MachineCounts>& countsByZone, Time now) {
  // In a network partition, the heartbeats of all machines of a zone become overdue within one heartbeat
  // interval. The zone still counts as partitioned for a while after that, because relays restore the contact
  // with its machines one by one.
  const auto rememberFor =
      wire::seconds(settings_.workers.heartbeatIntervalS * constants::kUnreachableHeartbeatIntervals);
  suspectedZones_.clear();
  for (const auto& [zone, counts] : countsByZone) {
    if (suggestsPartition(counts.overdue, counts.up)) partitionedUntil_[zone] = now + rememberFor;
    if (suggestsPartition(counts.withoutDirectContact, counts.up)) suspectedZones_.insert(zone);
  }
  std::erase_if(partitionedUntil_, [now](const auto& entry) { return entry.second <= now; });
  partitionedZones_.clear();
  for (const auto& [zone, until] : partitionedUntil_) partitionedZones_.insert(zone);
}

void PartitionDetector::observeFleet(const MachineCounts& fleet, Time now) {
  selfPartitioned_ = isOverThreeQuarters(fleet.overdue, fleet.up);
  // Machines that have sent no heartbeat in this term can be dead, and then another leader would have no
  // contact with them either.
  const bool hasEnoughMachines = fleet.up >= constants::kLeaderIsolationMinMachines;
  const bool mostReported = isOverHalf(fleet.reported, fleet.up);
  updateBegin(selfPartitionedSince_, selfPartitioned_ && hasEnoughMachines && mostReported, now);
  mostlyIndirect_ = isOverThreeQuarters(fleet.withoutDirectContact, fleet.up) &&
                    fleet.overdue < fleet.withoutDirectContact && hasEnoughMachines && mostReported;
  updateBegin(withoutDirectContactSince_, mostlyIndirect_ && fleet.withoutDirectContact == fleet.up, now);
  updateBegin(withoutHeartbeatsSince_, hasEnoughMachines && isUnderTenth(fleet.reported, fleet.up), now);
}

}  // namespace reachhoist::service
