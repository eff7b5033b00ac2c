// One controller: events and time in, actions out. No sockets, no clocks of its own.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "cluster/leadership.hpp"
#include "service/context.hpp"
#include "service/job_api.hpp"
#include "service/leader.hpp"
#include "service/shares.hpp"

namespace reachhoist::service {

struct Request {
  std::uint64_t number = 0;
  std::string method;
  std::string target;
  std::string body;
};

// What the controller wants done; whoever runs it does it and reports back.
struct Actions {
  std::vector<wire::Call> calls;
  std::vector<Reply> replies;
  std::vector<PeerSend> peers;
};

class Controller {
 public:
  Controller(const config::Settings& settings, std::uint64_t seed, Level level, Context::LogSink sink);
  Controller(const Controller&) = delete;

  void start(Time now, std::int64_t wallMs);
  void onRequest(Time now, std::int64_t wallMs, const Request& request);
  void onResult(Time now, std::int64_t wallMs, std::uint64_t call, const wire::CallResult& result);
  void onPeer(Time now, std::int64_t wallMs, const peer::Message& message);
  // To be called every constants::kTickInterval.
  void tick(Time now, std::int64_t wallMs);
  Actions drain();

  bool leading() const { return leadership_.leading(); }

 private:
  void at(Time now, std::int64_t wallMs);
  // The process stood still for so long: nothing was heard, which says nothing about others.
  void resumed(wire::Duration away);
  void onJob(const std::string& key, const Json* value, std::uint64_t revision);
  void applied(jobs::JobTable::Change change, const std::string& ref);
  void heartbeat(std::uint64_t request, const std::string& body);
  void redirectOrRelay(std::uint64_t request, const wire::WorkerHeartbeat& heartbeat,
                       const std::string& body);
  void relayed(const peer::Relayed& relayed);
  void onRelay(const std::string& from, const peer::Relay& relay);
  void sendHeartbeat();
  void onHeartbeat(const std::string& from, const peer::Heartbeat& heartbeat);
  // Siblings have the state service, or all are out of reach as well, and we have not: users fare better
  // elsewhere.
  bool isIsolated() const;
  std::string leaderLabel() const;
  void fetchCatalog();

  const config::Settings& settings_;
  Context context_;
  jobs::JobTable jobs_;
  state::Feed jobFeed_;
  cluster::Leadership leadership_;
  JobApi jobApi_;
  std::unique_ptr<SharesFollower> shares_;  // none: the operators' file has no such block
  std::unique_ptr<Leader> leader_;
  std::uint64_t leaderTerm_ = 0;
  std::vector<std::uint64_t> leaderPartitionRevisions_;
  bool leaderDue_ = false;
  Time lastActive_{};
  Time nextConfirm_{};
  Time nextHeartbeat_{};
  int heartbeats_ = 0;
  std::uint64_t progressTerm_ = 0;
  struct Heard {
    Time at{};
    bool confirmed = false;
  };
  std::map<std::string, Heard> heard_;  // of siblings
  std::uint64_t announcedTerm_ = 0;     // the latest that a sibling said it leads under
  std::string announcedLeader_;

  struct RelayRoute {
    std::string leader;
    Time redirectedAt{};
    Time relayedSince{};  // unset: not relayed
    Time lastSeen{};
  };
  std::map<std::string, RelayRoute> relayRoutes_;  // by host: workers that came here though another owns them
  struct RelayOut {
    std::uint64_t request = 0;
    Time deadline{};
  };
  std::map<std::uint64_t, RelayOut> relays_;
  std::uint64_t nextRelay_ = 1;

  bool askingCatalog_ = false;
  Time nextCatalog_{};
};

}  // namespace reachhoist::service
