// The last phases of a machine: it is drained, decommissioned by a durable record, and released to the cloud.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cloud/client.hpp"
#include "service/leader/gang_coordinator.hpp"
#include "service/leader/leader_state.hpp"
#include "state/committer.hpp"

namespace reachhoist::service {

// Stored key of the hosts that are being released.
inline constexpr const char* kDecommissioningKey = "retiring";

// Which tasks a drain stops. graceful: only services, which go on elsewhere at once; the others may end.
enum class DrainMode { stopAll, graceful };

// Drains and decommissions machines; see machines::MachinePhase for the phases.
class MachineLifecycle {
 public:
  MachineLifecycle(LeaderState& state, GangCoordinator& gangs, cloud::Client& cloud);
  MachineLifecycle(const MachineLifecycle&) = delete;

  // Fills in the capacity of the machine from the catalogue, once that is known.
  void applyMachineType(Machine& machine) const;

  // The machine gets no new work; once it is empty, advance() decommissions it. `why` is logged.
  void drain(Machine& machine, const char* why, DrainMode mode = DrainMode::stopAll);
  // Gives the machine up, with whatever runs on it. `why` is logged.
  void decommission(Machine& machine, const char* why);
  // The cloud is about to take the spot instance back: stops all tasks that won't end before.
  void evictForSpotNotice(Machine& machine);

  // Decommissions drained machines that are empty, and drains spot instances under notice that are empty.
  void advance();
  // Goes on with the transaction in flight.
  void tick() { committer_.tick(context_.now); }
  // Begins the transaction that records the machines to be released, if there are new ones; when it has been
  // applied they are released to the cloud.
  void writeDecommissioning();
  // The stored record has been loaded and has this revision.
  void loadedRecord(std::uint64_t revision) { revision_ = revision; }

 private:
  void onDecommissioningWritten(const std::vector<std::string>& hosts, const state::Outcome& outcome);

  LeaderState& state_;
  Context& context_;
  GangCoordinator& gangs_;
  cloud::Client& cloud_;
  // A writer of its own, as urgent as placements: until it is released a machine costs money, and the work
  // that ran on it waits.
  state::Committer committer_;
  std::uint64_t revision_ = 0;  // of the stored record
};

}  // namespace reachhoist::service
