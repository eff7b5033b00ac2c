#include "fleet/boots.hpp"

#include <algorithm>

namespace reachhoist::fleet {

using machines::Machine;
using machines::MachinePhase;

void BootHistory::came(const std::string& machineType, const std::string& zone, Duration after, Time now) {
  add({machineType, zone}, Boot{now, after, true});
}

void BootHistory::gaveUp(const std::string& machineType, const std::string& zone, Time now) {
  add({machineType, zone}, Boot{now, {}, false});
}

void BootHistory::add(const Key& key, Boot boot) {
  auto& boots = boots_[key];
  boots.push_back(boot);
  if (boots.size() > constants::kBootsRemembered) boots.pop_front();
}

wire::Duration BootHistory::median(const Key& key, Time now) const {
  const auto found = boots_.find(key);
  if (found == boots_.end()) return {};
  std::vector<Duration> recent;
  for (const Boot& boot : found->second)
    if (boot.up && now - boot.at < constants::kBootMemory) recent.push_back(boot.after);
  if (recent.size() < constants::kBootsTelling) return {};
  const auto middle = recent.begin() + static_cast<std::ptrdiff_t>(recent.size() / 2);
  std::nth_element(recent.begin(), middle, recent.end());
  return *middle;
}

wire::Duration BootHistory::expected(const std::string& machineType, const std::string& zone, double bootS,
                                     Time now) const {
  const auto usual = wire::seconds(bootS * constants::kBootUsual);
  return std::max(usual,
                  wire::seconds(constants::kBootSpread * wire::toSeconds(median({machineType, zone}, now)))) +
         constants::kBootSlack;
}

wire::Duration BootHistory::patience(const std::string& machineType, const std::string& zone, double bootS,
                                     Time now) const {
  const Duration usual =
      std::max<Duration>(constants::kBootPatienceLeast, wire::seconds(bootS * constants::kBootPatience));
  return std::max(usual, constants::kBootPatienceTimes * median({machineType, zone}, now));
}

double BootHistory::costFactor(const std::string& machineType, const std::string& zone, Time now) const {
  const auto found = boots_.find({machineType, zone});
  if (found == boots_.end()) return 1;
  double up = 0;
  double all = 0;
  for (const Boot& boot : found->second) {
    if (now - boot.at >= constants::kBootMemory) continue;
    ++all;
    if (boot.up) ++up;
  }
  // One more success than were seen: a pool is never written off, and a single failure weighs little.
  return (all + 1) / (up + 1);
}

BootCohorts::BootCohorts(const std::vector<Machine*>& machines) {
  for (const Machine* machine : machines)
    if (machine->phase == MachinePhase::booting || machine->phase == MachinePhase::up)
      rented_[{machine->machineType, machine->zone}].push_back(
          Rented{machine->rentedAt, machine->phase == MachinePhase::up});
}

bool BootCohorts::leftBehind(const Machine& machine) const {
  const auto found = rented_.find({machine.machineType, machine.zone});
  if (found == rented_.end()) return false;
  std::size_t up = 0;
  std::size_t booting = 0;
  for (const Rented& other : found->second) {
    const auto apart = other.at - machine.rentedAt;
    if (apart < -constants::kBootCohort || apart > constants::kBootCohort) continue;
    ++(other.up ? up : booting);
  }
  return up > booting || up + booting < constants::kBootsTelling;
}

}  // namespace reachhoist::fleet
