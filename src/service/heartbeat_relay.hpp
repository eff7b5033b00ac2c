// Handling of worker heartbeats that reach a controller that does not lead. The controller redirects the
// worker to the leader, or relays the heartbeat over the peer link if the worker cannot reach the leader
// itself.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "cluster/leadership.hpp"
#include "service/context.hpp"
#include "service/sibling_monitor.hpp"

namespace reachhoist::service {

// The follower's side of the relay. The leader's side is in Controller.
class HeartbeatRelay {
 public:
  // `seed` must differ from those of earlier processes of this controller, because the leader's answers to
  // heartbeats that they relayed can arrive here.
  HeartbeatRelay(Context& context, const cluster::Leadership& leadership, const SiblingMonitor& siblings,
                 std::uint64_t seed);

  // Answers a worker's heartbeat. The answer is 421 with the leader's label for a redirect, the leader's own
  // answer for a relayed heartbeat, and 503 if this controller has no path to the leader. `body` is the
  // request's body as received.
  void redirectOrRelay(std::uint64_t request, const wire::WorkerHeartbeat& heartbeat,
                       const std::string& body);
  // Forwards the answer of the sibling `from` to a relayed heartbeat to the worker. Drops an answer to
  // another process, from another sibling, or after the time limit.
  void onResponse(const std::string& from, const peer::RelayResponse& response);
  // Drops the routes of workers that no longer send heartbeats, and answers 503 to relayed heartbeats that
  // the leader has not answered in time.
  void tick();

 private:
  // The recent handling of one worker's heartbeats.
  struct WorkerRoute {
    std::string leader;
    Time redirectedAt{};
    Time relayedSince{};  // unset if the heartbeats are not relayed
    Time lastHeartbeatAt{};
  };
  // A relayed heartbeat that the leader has not answered yet.
  struct PendingRelay {
    std::uint64_t request = 0;
    std::string host;    // of the worker
    std::string leader;  // that the heartbeat was relayed to
    Time deadline{};
  };

  WorkerRoute& routeOf(const std::string& host, const std::string& leader);
  bool cannotReachLeader(const WorkerRoute& route, const wire::WorkerHeartbeat& heartbeat) const;
  bool mustRetryDirectPath(const WorkerRoute& route) const;
  void relay(std::uint64_t request, const std::string& host, WorkerRoute& route, const std::string& body);
  void redirect(std::uint64_t request, WorkerRoute& route);
  void logRelay(std::string_view event, std::uint64_t number, const std::string& host) const;
  void expirePendingRelays();

  Context& context_;
  const cluster::Leadership& leadership_;
  const SiblingMonitor& siblings_;
  std::map<std::string, WorkerRoute> routes_;            // by the worker's host
  std::map<std::uint64_t, PendingRelay> pendingRelays_;  // by the relay's number
  // Starts at a random number, so that no two processes of this controller use the same ones.
  std::uint64_t nextRelayNumber_;
};

}  // namespace reachhoist::service
