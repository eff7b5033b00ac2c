// How long machines take to boot, and which ones never finish.
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

  // The machine has sent its first heartbeat.
  void recordBoot(const Machine& machine);
  // Looks for boot time-outs every constants::kScaleOutInterval.
  void tick();
  const fleet::BootHistory& history() const { return history_; }

 private:
  void detectTimeouts();
  // By the catalogue, in seconds; 0 if the type is not known.
  double nominalBootS(const Machine& machine) const;

  LeaderState& state_;
  Context& context_;
  MachineLifecycle& lifecycle_;
  fleet::BootHistory history_;
  Time nextCheckAt_{};
};

}  // namespace reachhoist::service
