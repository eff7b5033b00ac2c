// Probes: direct requests for the state of workers whose heartbeats don't arrive.
#pragma once

#include <string>

#include "service/leader/heartbeat_processor.hpp"
#include "service/leader/leader_state.hpp"
#include "service/leader/worker_commands.hpp"
#include "state/callback_guard.hpp"

namespace reachhoist::service {

// Probes workers within the limit on calls to workers. An answer proves that the worker is alive and
// reachable, but it does not renew the worker's lease.
class WorkerProber {
 public:
  WorkerProber(LeaderState& state, WorkerCommands& commands, HeartbeatProcessor& heartbeats)
      : state_(state), context_(state.context), commands_(commands), heartbeats_(heartbeats) {}
  WorkerProber(const WorkerProber&) = delete;

  // Probes the machine unless a probe is in flight, the last probe was not answered, or the limit is reached.
  void probeOverdue(Machine& machine);
  // Probes workers that have sent no heartbeat in this term. An earlier leader that has not yet noticed the
  // end of its term can still answer their heartbeats and keep them. A worker that sees this leader's token
  // ignores the earlier leader's answers and searches for this one.
  void sendTakeoverProbes();
  // Probes a sample of the workers whose heartbeats arrive only through siblings. Answers show that this
  // controller is not behind a network partition.
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
