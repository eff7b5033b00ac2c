// Processes worker heartbeats: updates the machines and task attempts they report, and answers them with
// commands.
#pragma once

#include "service/leader/attempt_tracker.hpp"
#include "service/leader/boot_monitor.hpp"
#include "service/leader/instance_inventory.hpp"
#include "service/leader/leader_state.hpp"
#include "service/leader/machine_lifecycle.hpp"
#include "service/leader/worker_commands.hpp"

namespace reachhoist::service {

// The answer to a heartbeat: an HTTP status and, with status 200, the body that renews the worker's lease.
struct HeartbeatResponse {
  int status = 503;
  Json body;
};

// Applies heartbeats to the machine table, in order of worker incarnation and sequence number.
class HeartbeatProcessor {
 public:
  HeartbeatProcessor(LeaderState& state, WorkerCommands& commands, MachineLifecycle& lifecycle,
                     AttemptTracker& attempts, BootMonitor& bootMonitor, InstanceInventory& inventory)
      : state_(state),
        context_(state.context),
        commands_(commands),
        lifecycle_(lifecycle),
        attempts_(attempts),
        bootMonitor_(bootMonitor),
        inventory_(inventory) {}
  HeartbeatProcessor(const HeartbeatProcessor&) = delete;

  // Handles a heartbeat that was sent to this controller or relayed by a sibling. Answers 200 only if this
  // leader can renew the worker's lease.
  HeartbeatResponse onHeartbeat(const wire::WorkerHeartbeat& heartbeat, HeartbeatSource source);
  // Applies the content of a heartbeat, or of a worker's answer to a direct call, unless a newer one has been
  // applied.
  void apply(Machine& machine, const wire::WorkerHeartbeat& heartbeat, HeartbeatSource source);

 private:
  // Whether this leader can answer the worker that sent the heartbeat.
  bool canAnswer(const wire::WorkerHeartbeat& heartbeat) const;
  Machine& findOrAdd(const std::string& host);
  void applyMachineFields(Machine& machine, const wire::WorkerHeartbeat& heartbeat);
  void onNewIncarnation(Machine& machine, const wire::WorkerHeartbeat& heartbeat);
  void applyFencingToken(Machine& machine, const wire::WorkerHeartbeat& heartbeat);
  void applySpotNotice(Machine& machine, const wire::WorkerHeartbeat& heartbeat);
  // Adds an attempt that the worker reports but the machine table does not contain, so that it is stopped.
  Attempt& addUnknownAttempt(Machine& machine, const wire::TaskStatus& status);
  // Releases attempts that the heartbeat proves absent from the machine.
  void reconcileMissingAttempts(Machine& machine, const wire::WorkerHeartbeat& heartbeat);
  // Releases the attempt, which the heartbeat with this sequence number does not list, if that proves it
  // absent.
  void reconcileMissingAttempt(Machine& machine, Attempt& attempt, std::uint64_t sequence);

  LeaderState& state_;
  Context& context_;
  WorkerCommands& commands_;
  MachineLifecycle& lifecycle_;
  AttemptTracker& attempts_;
  BootMonitor& bootMonitor_;
  InstanceInventory& inventory_;
};

}  // namespace reachhoist::service
