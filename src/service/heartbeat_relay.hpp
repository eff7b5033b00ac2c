// Handling of worker heartbeats that reach a controller which doesn't lead: redirect to the leader, or relay
// over the peer link when the worker can't reach the leader itself.
#pragma once

#include <map>
#include <string>

#include "cluster/leadership.hpp"
#include "service/context.hpp"
#include "service/sibling_monitor.hpp"

namespace reachhoist::service {

// The follower's side of the relay; the leader's side is in Controller.
class HeartbeatRelay {
 public:
  HeartbeatRelay(Context& context, const cluster::Leadership& leadership, const SiblingMonitor& siblings);

  // Answers a worker's heartbeat: 421 with the leader's label, or 503 when no way to the leader is known, or,
  // when it is relayed, what the leader answers. `body` is the request's body as received.
  void redirectOrRelay(std::uint64_t request, const wire::WorkerHeartbeat& heartbeat,
                       const std::string& body);
  // Takes the leader's answer to a relayed heartbeat and passes it to the worker.
  void onResponse(const peer::RelayResponse& response);
  // Forgets workers that stay away, and answers 503 for relayed heartbeats that got no answer in time.
  void tick();

 private:
  // How the heartbeats of one worker have been handled lately.
  struct WorkerRoute {
    std::string leader;
    Time redirectedAt{};
    Time relayedSince{};  // unset: not relayed
    Time lastSeen{};
  };
  // A heartbeat that was relayed and not answered yet.
  struct PendingRelay {
    std::uint64_t request = 0;
    Time deadline{};
  };

  WorkerRoute& routeOf(const std::string& host, const std::string& leader);
  bool cannotReachLeader(const WorkerRoute& route, const wire::WorkerHeartbeat& heartbeat) const;
  bool mustRetryDirectPath(const WorkerRoute& route) const;
  void relay(std::uint64_t request, WorkerRoute& route, const std::string& body);
  void redirect(std::uint64_t request, WorkerRoute& route);
  void expirePending();

  Context& context_;
  const cluster::Leadership& leadership_;
  const SiblingMonitor& siblings_;
  std::map<std::string, WorkerRoute> routes_;      // by the worker's host
  std::map<std::uint64_t, PendingRelay> pending_;  // by the relay's number
  std::uint64_t nextNumber_ = 1;
};

}  // namespace reachhoist::service
