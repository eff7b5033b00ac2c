// Network partition detection over the machine table; see partition_detector.hpp.
#include "service/partition_detector.hpp"

namespace reachhoist::service {

using machines::Machine;
using machines::MachinePhase;

namespace {
// More than three quarters.
bool nearlyAll(int count, int total) { return count * 4 > total * 3; }
// More than half.
bool most(int count, int total) { return count * 2 > total; }
// Fewer than a tenth.
bool hardlyAny(int count, int total) { return count * 10 < total; }
// Whether so many machines of a zone suggest that the zone is partitioned.
bool suggestsPartition(int count, int up) { return count > 1 && count > up * constants::kZonePartitionShare; }
}  // namespace

void PartitionDetector::Count::add(const Count& other) {
  up += other.up;
  quiet += other.quiet;
  indirect += other.indirect;
  heard += other.heard;
}

PartitionDetector::Count PartitionDetector::countOf(const Machine& machine, Time now) const {
  const auto overdue =
      wire::seconds(settings_.workers.heartbeatIntervalS * constants::kOverdueHeartbeatIntervals + 0.5);
  Count out;
  out.up = 1;
  out.quiet = now - machine.contact.lastHeartbeatAt > overdue ? 1 : 0;
  out.indirect = out.quiet != 0 || now - machine.contact.lastDirectContactAt > overdue ? 1 : 0;
  out.heard = machine.lastHeartbeatSequence != 0 ? 1 : 0;
  return out;
}

void PartitionDetector::trackSince(Time& begin, bool holds, Time now) {
  if (!holds) {
    begin = Time{};
  } else if (begin == Time{}) {
    begin = now;
  }
}

void PartitionDetector::reset() {
  zones_.clear();
  doubtful_.clear();
  partitionedUntil_.clear();
  selfPartitioned_ = mostlyIndirect_ = false;
  selfPartitionedSince_ = unreachedSince_ = unheardSince_ = Time{};
}

void PartitionDetector::observe(const machines::MachineTable& machines, Time now) {
  std::map<std::string, Count> zones;
  Count all;
  for (const auto& [host, machine] : machines.all()) {
    if (machine.phase != MachinePhase::up && machine.phase != MachinePhase::draining) continue;
    const Count one = countOf(machine, now);
    zones[machine.zone].add(one);
    all.add(one);
  }
  observeZones(zones, now);
  observeFleet(all, now);
}

void PartitionDetector::observeZones(const std::map<std::string, Count>& zones, Time now) {
  // A network partition makes all machines of a zone quiet within a heartbeat interval. The zone counts as
  // partitioned for a while after that, since relay brings its machines back one by one.
  const auto rememberFor =
      wire::seconds(settings_.workers.heartbeatIntervalS * constants::kUnreachableHeartbeatIntervals);
  doubtful_.clear();
  for (const auto& [zone, count] : zones) {
    if (suggestsPartition(count.quiet, count.up)) partitionedUntil_[zone] = now + rememberFor;
    if (suggestsPartition(count.indirect, count.up)) doubtful_.insert(zone);
  }
  std::erase_if(partitionedUntil_, [now](const auto& entry) { return entry.second <= now; });
  zones_.clear();
  for (const auto& [zone, until] : partitionedUntil_) zones_.insert(zone);
}

void PartitionDetector::observeFleet(const Count& all, Time now) {
  selfPartitioned_ = nearlyAll(all.quiet, all.up);
  // Machines never heard from in this term may as well be dead, and then the next leader would do no better.
  const bool enough = all.up >= constants::kLeaderIsolationMinMachines;
  const bool mostHeard = most(all.heard, all.up);
  trackSince(selfPartitionedSince_, selfPartitioned_ && enough && mostHeard, now);
  mostlyIndirect_ = nearlyAll(all.indirect, all.up) && all.quiet < all.indirect && enough && mostHeard;
  trackSince(unreachedSince_, mostlyIndirect_ && all.indirect == all.up, now);
  trackSince(unheardSince_, enough && hardlyAny(all.heard, all.up), now);
}

}  // namespace reachhoist::service
