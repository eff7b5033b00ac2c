// Boot history and launch cohorts.
#include "fleet/boot_times.hpp"

#include <algorithm>

namespace reachhoist::fleet {

using machines::Machine;
using machines::MachinePhase;

void BootHistory::recordBoot(const std::string& machineType, const std::string& zone, Duration startupLatency,
                             Time now) {
  add({machineType, zone}, Boot{now, startupLatency, true});
}

void BootHistory::recordBootTimeout(const std::string& machineType, const std::string& zone, Time now) {
  add({machineType, zone}, Boot{now, {}, false});
}

void BootHistory::add(const Key& key, Boot boot) {
  auto& boots = records_[key];
  boots.push_back(boot);
  if (boots.size() > constants::kMaxBootsPerPool) boots.pop_front();
}

wire::Duration BootHistory::medianBootTime(const Key& key, Time now) const {
  const auto found = records_.find(key);
  if (found == records_.end()) return {};
  std::vector<Duration> recent;
  for (const Boot& boot : found->second)
    if (boot.succeeded && now - boot.recordedAt < constants::kBootHistoryWindow)
      recent.push_back(boot.startupLatency);
  if (recent.size() < constants::kMinBootSamples) return {};
  const auto middle = recent.begin() + static_cast<std::ptrdiff_t>(recent.size() / 2);
  std::nth_element(recent.begin(), middle, recent.end());
  return *middle;
}

wire::Duration BootHistory::expectedBootTime(const std::string& machineType, const std::string& zone,
                                             double nominalBootTimeS, Time now) const {
  const auto expected = wire::seconds(nominalBootTimeS * constants::kExpectedBootFactor);
  return std::max(expected, wire::seconds(constants::kMedianBootExpectedFactor *
                                          wire::toSeconds(medianBootTime({machineType, zone}, now)))) +
         constants::kFirstHeartbeatSlack;
}

wire::Duration BootHistory::bootTimeout(const std::string& machineType, const std::string& zone,
                                        double nominalBootTimeS, Time now) const {
  const Duration timeout = std::max<Duration>(
      constants::kMinBootTimeout, wire::seconds(nominalBootTimeS * constants::kBootTimeoutFactor));
  return std::max(timeout, constants::kMedianBootTimeoutFactor * medianBootTime({machineType, zone}, now));
}

double BootHistory::costFactor(const std::string& machineType, const std::string& zone, Time now) const {
  const auto found = records_.find({machineType, zone});
  if (found == records_.end()) return 1;
  double succeededBoots = 0;
  double recentBoots = 0;
  for (const Boot& boot : found->second) {
    if (now - boot.recordedAt >= constants::kBootHistoryWindow) continue;
    ++recentBoots;
    if (boot.succeeded) ++succeededBoots;
  }
  // One success is added to those recorded, so that no pool is excluded for good and a single failure weighs
  // little.
  return (recentBoots + 1) / (succeededBoots + 1);
}

BootCohorts::BootCohorts(const std::vector<Machine*>& machines) {
  for (const Machine* machine : machines)
    if (machine->phase == MachinePhase::booting || machine->phase == MachinePhase::up)
      launches_[{machine->machineType, machine->zone}].push_back(
          Launch{machine->provisionedAt, machine->phase == MachinePhase::up});
}

bool BootCohorts::lagsCohort(const Machine& machine) const {
  const auto found = launches_.find({machine.machineType, machine.zone});
  if (found == launches_.end()) return false;
  std::size_t up = 0;
  std::size_t booting = 0;
  for (const Launch& other : found->second) {
    const auto offset = other.requestedAt - machine.provisionedAt;
    if (offset < -constants::kBootCohortWindow || offset > constants::kBootCohortWindow) continue;
    ++(other.isUp ? up : booting);
  }
  return up > booting || up + booting < constants::kMinBootSamples;
}

}  // namespace reachhoist::fleet
