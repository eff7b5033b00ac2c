// One controller of the cluster as a deterministic state machine. It takes events with their times and
// returns actions. It has no sockets and no clocks; Runtime or a simulation provides them.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "service/catalog_loader.hpp"
#include "service/context.hpp"
#include "service/heartbeat_relay.hpp"
#include "service/job_api.hpp"
#include "service/job_progress.hpp"
#include "service/leader.hpp"
#include "service/share_table_follower.hpp"
#include "service/sibling_monitor.hpp"

namespace reachhoist::service {

// An HTTP request of a user or a worker.
struct Request {
  std::uint64_t number = 0;  // identifies the request in its Response
  std::string method;
  std::string target;  // path, optionally with a query string
  std::string body;
};

// The output of a controller. The caller carries out the calls and reports their results with onResult().
struct Actions {
  std::vector<wire::Call> calls;
  std::vector<Response> responses;
  std::vector<OutgoingPeerMessage> peerMessages;
};

// Composes the components that every controller has, and the Leader while this controller leads. Each event
// takes the steady time and the wall-clock time (milliseconds since the Unix epoch). Controller is not
// thread-safe.
class Controller {
 public:
  // `settings` must outlive the controller. `seed` seeds the random jitter of elections and the numbers of
  // relayed heartbeats, and differs from process to process. `sink` receives the log lines up to `level`.
  Controller(const config::Settings& settings, std::uint64_t seed, LogLevel level, Context::LogSink sink);
  Controller(const Controller&) = delete;

  // Starts all components. It must be called once, before any other event.
  void start(Time now, std::int64_t wallClockMs);
  // Handles an HTTP request. The response can follow in a later drain().
  void onRequest(Time now, std::int64_t wallClockMs, const Request& request);
  // Handles the result of a call that drain() returned.
  void onResult(Time now, std::int64_t wallClockMs, std::uint64_t call, const wire::CallResult& result);
  // Handles a message of a sibling; messages of unknown senders are ignored.
  void onPeerMessage(Time now, std::int64_t wallClockMs, const peer::Message& message);
  // Drives timeouts and periodic work. It must be called every constants::kTickInterval.
  void tick(Time now, std::int64_t wallClockMs);
  // Returns and clears the queued actions. It must be called after each event.
  Actions drain();

  // Returns whether this controller leads.
  bool isLeading() const { return leadership_.isLeading(); }

 private:
  // An election, or a loss of leadership, that has not taken effect yet.
  struct LeadershipChange {
    std::uint64_t term = 0;  // 0 if this controller no longer leads
    std::vector<std::uint64_t> partitionRevisions;
  };

  // --- Callbacks of the components
  state::Feed::Handlers jobFeedHandlers();
  cluster::Leadership::Handlers leadershipHandlers();
  void onJobRecord(const std::string& key, const Json* value, std::uint64_t revision);
  void onJobChange(jobs::JobTable::Change change, const std::string& ref);

  // --- Time
  void beginEvent(Time now, std::int64_t wallClockMs);
  void onResumed(wire::Duration suspendedFor);

  // --- Leadership
  void applyLeadershipChange();
  // Returns the leader, or null if there is none or if a change of leadership has not taken effect yet.
  Leader* activeLeader() const;

  // --- Requests
  void answerHealthCheck(std::uint64_t request);
  void onWorkerHeartbeat(std::uint64_t request, const std::string& body);

  // --- Messages between controllers
  void handlePeerPayload(const std::string& from, const peer::RelayRequest& request);
  void handlePeerPayload(const std::string& from, const peer::RelayResponse& response);
  void handlePeerPayload(const std::string& from, const peer::Progress& progress);
  void handlePeerPayload(const std::string& from, const peer::Heartbeat& heartbeat);
  void sendHeartbeat();

  const config::Settings& settings_;
  Context context_;
  jobs::JobTable jobs_;
  state::Feed jobFeed_;
  cluster::Leadership leadership_;
  SiblingMonitor siblings_;
  HeartbeatRelay heartbeatRelay_;
  ProgressPublisher progressPublisher_;
  ProgressReceiver progressReceiver_;
  CatalogLoader catalogLoader_;
  JobApi jobApi_;
  std::unique_ptr<ShareTableFollower> shares_;  // null if fair shares are not configured
  std::unique_ptr<Leader> leader_;              // null if this controller does not lead
  std::optional<LeadershipChange> pendingLeadershipChange_;
  Time lastEventAt_{};
  Time nextConfirmAt_{};
  Time nextHeartbeatAt_{};
};

}  // namespace reachhoist::service
