// The ways between a worker and the leader.
#pragma once

namespace reachhoist::service {

// How the state of a worker reached this leader: in a heartbeat from the worker itself, in a heartbeat that a
// sibling relayed, or in the worker's answer to a direct call.
enum class HeartbeatSource { worker, siblingRelay, directCall };

}  // namespace reachhoist::service
