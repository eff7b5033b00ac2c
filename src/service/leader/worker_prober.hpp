// Direct requests for the state of workers that are not heard from.
#pragma once

#include <string>

#include "service/leader/heartbeat_processor.hpp"
#include "service/leader/leader_state.hpp"
#include "service/leader/worker_commands.hpp"
#include "state/callback_guard.hpp"

namespace reachhoist::service {

// Probes workers within the limit on calls to workers. An answer proves that the worker is alive and
// reachable but does not renew its lease.
class WorkerProber {
 public:
  WorkerProber(LeaderState& state, WorkerCommands& commands, HeartbeatProcessor& heartbeats)
      : state_(state), context_(state.context), commands_(commands), heartbeats_(heartbeats) {}
  WorkerProber(const WorkerProber&) = delete;

  // Probes the machine, unless a probe is in flight, the last one was not answered, or the limit is reached.
  void probeOverdue(Machine& machine);
  // Probes workers not heard from in this term. Those that an earlier leader still answers would stay with it
  // for as long as it believes itself to lead; a worker that sees this leader's token drops the earlier
  // leader's answers and looks for this one.
  void sendTakeoverProbes();
  // Probes a sample of the workers heard through siblings only: answers show that this controller is not
  // behind a network partition.
  void probeRelayed();

 private:
  void probe(Machine& machine);
  void onProbeAnswer(const std::string& host, const wire::CallResult& result);

  LeaderState& state_;
  Context& context_;
  WorkerCommands& commands_;
  HeartbeatProcessor& heartbeats_;
  state::CallbackGuard guard_;
};

}  // namespace reachhoist::service
