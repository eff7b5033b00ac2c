#include "service/zone_cuts.hpp"

namespace reachhoist::service {

using machines::Machine;
using machines::MachinePhase;

namespace {
// Nearly all: three quarters.
bool nearlyAll(int part, int whole) { return part * 4 > whole * 3; }
}  // namespace

void ZoneCuts::Count::add(const Count& other) {
  up += other.up;
  quiet += other.quiet;
  indirect += other.indirect;
  heard += other.heard;
}

ZoneCuts::Count ZoneCuts::countOf(const Machine& machine, Time now) const {
  const auto overdue = wire::seconds(settings_.reportS * constants::kQuietReports + 0.5);
  Count out;
  out.up = 1;
  out.quiet = now - machine.lastHeard > overdue ? 1 : 0;
  out.indirect = out.quiet != 0 || now - machine.lastDirect > overdue ? 1 : 0;
  out.heard = machine.sequence != 0 ? 1 : 0;
  return out;
}

void ZoneCuts::keep(Time& begin, bool holds, Time now) {
  if (!holds) {
    begin = Time{};
  } else if (begin == Time{}) {
    begin = now;
  }
}

void ZoneCuts::reset() {
  zones_.clear();
  doubtful_.clear();
  until_.clear();
  selfCut_ = mostlyIndirect_ = false;
  selfCutSince_ = unreachedSince_ = unheardSince_ = Time{};
}

void ZoneCuts::observe(const machines::MachineTable& machines, Time now) {
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
  const auto believed = wire::seconds(settings_.reportS * constants::kGoneReports);
  doubtful_.clear();
  for (const auto& [zone, count] : zones) {
    if (count.quiet > 1 && count.quiet > count.up * constants::kCutShare) until_[zone] = now + believed;
    if (count.indirect > 1 && count.indirect > count.up * constants::kCutShare) doubtful_.insert(zone);
  }
  std::erase_if(until_, [now](const auto& entry) { return entry.second <= now; });
  zones_.clear();
  for (const auto& [zone, until] : until_) zones_.insert(zone);
  selfCut_ = nearlyAll(all.quiet, all.up);
  // Machines that were never heard under this term may as well be dead, and then the next leader would do no
  // better.
  const bool enough = all.up >= constants::kSelfCutLeast;
  const bool mostHeard = all.heard * 2 > all.up;
  keep(selfCutSince_, selfCut_ && enough && mostHeard, now);
  mostlyIndirect_ = nearlyAll(all.indirect, all.up) && all.quiet < all.indirect && enough && mostHeard;
  keep(unreachedSince_, mostlyIndirect_ && all.indirect == all.up, now);
  keep(unheardSince_, enough && all.heard * 10 < all.up, now);
}

}  // namespace reachhoist::service
