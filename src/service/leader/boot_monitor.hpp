// Monitors the boot times of machines and detects machines whose boot does not finish.
#pragma once

#include "fleet/boot_times.hpp"
#include "service/leader/leader_state.hpp"
#include "service/leader/machine_lifecycle.hpp"

namespace reachhoist::service {

// Records the boot times of machines and decommissions machines whose boot has timed out.
class BootMonitor {
 public:
  BootMonitor(LeaderState& state, MachineLifecycle& lifecycle)
      : state_(state), context_(state.context), lifecycle_(lifecycle) {}
  BootMonitor(const BootMonitor&) = delete;

  // Records the boot time of a machine that has sent its first heartbeat.
  void recordBoot(const Machine& machine);
  // Checks for boot timeouts every constants::kScaleOutInterval.
  void tick();
  const fleet::BootHistory& history() const { return history_; }

 private:
  void decommissionTimedOut();
  // The boot time of the machine's type according to the catalogue, or 0 if the type is not in it.
  double nominalBootTimeS(const Machine& machine) const;

  LeaderState& state_;
  Context& context_;
  MachineLifecycle& lifecycle_;
  fleet::BootHistory history_;
  Time nextCheckAt_{};
};

}  // namespace reachhoist::service
