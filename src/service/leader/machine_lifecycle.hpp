// The last phases of a machine: draining, decommissioning by a durable record, and release to the cloud.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cloud/client.hpp"
#include "service/leader/gang_coordinator.hpp"
#include "service/leader/leader_state.hpp"
#include "state/committer.hpp"

namespace reachhoist::service {

// The key of the stored list of hosts that are being released.
inline constexpr const char* kDecommissioningKey = "retiring";

// Which tasks a drain stops. `graceful` stops only services, which continue on other machines at once; all
// other tasks run to their end.
enum class DrainMode { stopAll, graceful };

// Drains and decommissions machines; see machines::MachinePhase for the phases.
class MachineLifecycle {
 public:
  MachineLifecycle(LeaderState& state, GangCoordinator& gangs, cloud::Client& cloud);
  MachineLifecycle(const MachineLifecycle&) = delete;

  // Fills in the machine's capacity, image cache size and pull rate from the catalogue, if it has been read.
  void applyMachineType(Machine& machine) const;

  // Stops placing work on the machine; processEmptyMachines() decommissions it once it is empty. `why` is
  // logged.
  void drain(Machine& machine, const char* why, DrainMode mode = DrainMode::stopAll);
  // Gives the machine up together with all attempts on it. `why` is logged.
  void decommission(Machine& machine, const char* why);
  // Stops all tasks that won't end before the cloud reclaims the spot instance.
  void evictForSpotNotice(Machine& machine);

  // Decommissions empty draining machines, and drains empty spot instances that have a spot notice.
  void processEmptyMachines();
  // Continues the transaction in flight, for example with a retry.
  void tick() { committer_.tick(context_.now); }
  // Begins the transaction that records the machines to be released, if there are new ones. When it has been
  // applied, the machines are released to the cloud.
  void writeDecommissioning();
  // Sets the revision of the stored record, which has been loaded.
  void setStoredRevision(std::uint64_t revision) { revision_ = revision; }

 private:
  void onDecommissioningWritten(const std::vector<std::string>& hosts, const state::Outcome& outcome);

  LeaderState& state_;
  Context& context_;
  GangCoordinator& gangs_;
  cloud::Client& cloud_;
  // Decommissioning has its own writer, as urgent as placements: until a machine is released it costs money,
  // and the work that ran on it waits.
  state::Committer committer_;
  std::uint64_t revision_ = 0;  // of the stored record
};

}  // namespace reachhoist::service
