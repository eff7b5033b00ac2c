#include "service/zone_cuts.hpp"

namespace reachhoist::service {

using machines::Machine;
using machines::MachinePhase;

bool ZoneCuts::quiet(const Machine& machine, Time now) const {
  return now - machine.lastHeard > wire::seconds(settings_.reportS * constants::kQuietReports + 0.5);
}

void ZoneCuts::observe(const machines::MachineTable& machines, Time now) {
  struct Count {
    int up = 0;
    int quiet = 0;
  };
  std::map<std::string, Count> zones;
  Count all;
  int heard = 0;
  for (const auto& [host, machine] : machines.all()) {
    if (machine.phase != MachinePhase::up && machine.phase != MachinePhase::draining) continue;
    Count& zone = zones[machine.zone];
    ++zone.up;
    ++all.up;
    if (machine.sequence != 0) ++heard;
    if (!quiet(machine, now)) continue;
    ++zone.quiet;
    ++all.quiet;
  }
  // A cut silences all of a zone within a report interval. It is believed for a while, since relay brings its
  // machines back one by one.
  const auto believed = wire::seconds(settings_.reportS * constants::kGoneReports);
  for (const auto& [zone, count] : zones)
    if (count.quiet > 1 && count.quiet > count.up * constants::kCutShare) until_[zone] = now + believed;
  std::erase_if(until_, [now](const auto& entry) { return entry.second <= now; });
  zones_.clear();
  for (const auto& [zone, until] : until_) zones_.insert(zone);
  selfCut_ = all.quiet * 4 > all.up * 3;
  // Machines that were never heard under this term may as well be dead, and then the next leader would do no
  // better.
  const bool sinceHeard = selfCut_ && all.up >= constants::kSelfCutLeast && heard * 2 > all.up;
  if (!sinceHeard) {
    selfCutSince_ = Time{};
  } else if (selfCutSince_ == Time{}) {
    selfCutSince_ = now;
  }
}

wire::Duration ZoneCuts::selfCutFor(Time now) const {
  return selfCutSince_ == Time{} ? wire::Duration{0} : now - selfCutSince_;
}

}  // namespace reachhoist::service
