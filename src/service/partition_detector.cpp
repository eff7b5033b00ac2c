// Network partition detection over the machine table; see partition_detector.hpp.
#include "service/partition_detector.hpp"

namespace reachhoist::service {

using machines::Machine;
using machines::MachinePhase;

namespace {
// Nearly all: three quarters.
bool nearlyAll(int part, int whole) { return part * 4 > whole * 3; }
}  // namespace

void PartitionDetector::Count::add(const Count& other) {
  up += other.up;
  quiet += other.quiet;
  indirect += other.indirect;
  heard += other.heard;
}

PartitionDetector::Count PartitionDetector::countOf(const Machine& machine, Time now) const {
  const auto overdue =
      wire::seconds(settings_.workers.heartbeatIntervalS * constants::kOverdueAfterHeartbeats + 0.5);
  Count out;
  out.up = 1;
  out.quiet = now - machine.lastHeartbeatAt > overdue ? 1 : 0;
  out.indirect = out.quiet != 0 || now - machine.lastDirectContactAt > overdue ? 1 : 0;
  out.heard = machine.sequence != 0 ? 1 : 0;
  return out;
}

void PartitionDetector::keep(Time& begin, bool holds, Time now) {
  if (!holds) {
    begin = Time{};
  } else if (begin == Time{}) {
    begin = now;
  }
}

void PartitionDetector::reset() {
  zones_.clear();
  doubtful_.clear();
  until_.clear();
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
  // A cut silences all of a zone within a report interval. It is believed for a while, since relay brings its
  // machines back one by one.
  const auto believed =
      wire::seconds(settings_.workers.heartbeatIntervalS * constants::kUnreachableHeartbeatLimit);
  doubtful_.clear();
  for (const auto& [zone, count] : zones) {
    if (count.quiet > 1 && count.quiet > count.up * constants::kZonePartitionShare)
      until_[zone] = now + believed;
    if (count.indirect > 1 && count.indirect > count.up * constants::kZonePartitionShare)
      doubtful_.insert(zone);
  }
  std::erase_if(until_, [now](const auto& entry) { return entry.second <= now; });
  zones_.clear();
  for (const auto& [zone, until] : until_) zones_.insert(zone);
  selfPartitioned_ = nearlyAll(all.quiet, all.up);
  // Machines that were never heard under this term may as well be dead, and then the next leader would do no
  // better.
  const bool enough = all.up >= constants::kLeaderIsolationMinMachines;
  const bool mostHeard = all.heard * 2 > all.up;
  keep(selfPartitionedSince_, selfPartitioned_ && enough && mostHeard, now);
  mostlyIndirect_ = nearlyAll(all.indirect, all.up) && all.quiet < all.indirect && enough && mostHeard;
  keep(unreachedSince_, mostlyIndirect_ && all.indirect == all.up, now);
  keep(unheardSince_, enough && all.heard * 10 < all.up, now);
}

}  // namespace reachhoist::service
