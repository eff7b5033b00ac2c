#include "service/heartbeat_relay.hpp"

#include <random>

namespace reachhoist::service {

HeartbeatRelay::HeartbeatRelay(Context& context, const cluster::Leadership& leadership,
                               const SiblingMonitor& siblings, std::uint64_t seed)
    : context_(context),
      leadership_(leadership),
      siblings_(siblings),
      nextRelayNumber_(std::mt19937_64(seed)()) {}

void HeartbeatRelay::redirectOrRelay(std::uint64_t request, const wire::WorkerHeartbeat& heartbeat,
                                     const std::string& body) {
  const std::string leader = siblings_.leader();
  const config::Settings& settings = context_.settings;
  if (leader.empty() || leader == settings.label || settings.sibling(leader) == nullptr)
    return context_.replyTryAgain(request);
  WorkerRoute& route = routeOf(heartbeat.host.text, leader);
  if (cannotReachLeader(route, heartbeat) && !mustRetryDirectPath(route))
    return relay(request, heartbeat.host.text, route, body);
  redirect(request, route);
}

HeartbeatRelay::WorkerRoute& HeartbeatRelay::routeOf(const std::string& host, const std::string& leader) {
  WorkerRoute& route = routes_[host];
  if (route.leader != leader) route = WorkerRoute{leader, {}, {}, {}};
  route.lastHeartbeatAt = context_.now;
  return route;
}

bool HeartbeatRelay::cannotReachLeader(const WorkerRoute& route,
                                       const wire::WorkerHeartbeat& heartbeat) const {
  // The worker has received commands under this term, or was redirected a moment ago. It therefore has the
  // leader's address, and sent its heartbeat to this controller because the leader did not answer.
  return heartbeat.fencingToken >= cluster::fencingToken(leadership_.term(), 0) ||
         context_.now - route.redirectedAt < constants::kRedirectRetention;
}

bool HeartbeatRelay::mustRetryDirectPath(const WorkerRoute& route) const {
  // The network between the worker and the leader can have recovered since the relaying began.
  return route.relayedSince != Time{} && context_.now - route.relayedSince > constants::kMaxRelayDuration;
}

void HeartbeatRelay::relay(std::uint64_t request, const std::string& host, WorkerRoute& route,
                           const std::string& body) {
  // Without a link to the leader this controller cannot relay, but the controller that the worker tries next
  // can have one. After a redirect to the leader the worker would only return to this controller.
  if (!siblings_.isReachable(route.leader)) return context_.replyTryAgain(request);
  if (route.relayedSince == Time{}) route.relayedSince = context_.now;
  const std::uint64_t number = nextRelayNumber_++;
  pendingRelays_[number] = PendingRelay{request, host, route.leader, context_.now + constants::kRelayTimeout};
  logRelay("relay_sent", number, host);
  context_.sendTo(route.leader, peer::RelayRequest{number, body});
}

void HeartbeatRelay::redirect(std::uint64_t request, WorkerRoute& route) {
  route.redirectedAt = context_.now;
  route.relayedSince = Time{};
  context_.reply(request, http::kMisdirectedRequest, Json{{"foreman", route.leader}});
}

void HeartbeatRelay::onResponse(const std::string& from, const peer::RelayResponse& response) {
  const auto found = pendingRelays_.find(response.number);
  if (found == pendingRelays_.end() || found->second.leader != from)
    return context_.logEvent(LogLevel::info, "relay_answer_dropped",
                             {{"from", from}, {"number", response.number}});
  logRelay("relay_answered", response.number, found->second.host);
  const std::uint64_t request = found->second.request;
  pendingRelays_.erase(found);
  const auto body = wire::decodeBody(response.body);
  if (response.status != http::kOk || !body) return context_.replyTryAgain(request);
  context_.reply(request, http::kOk, *body);
}

void HeartbeatRelay::logRelay(std::string_view event, std::uint64_t number, const std::string& host) const {
  if (!context_.isLogged(LogLevel::debug)) return;
  context_.logEvent(LogLevel::debug, event, {{"machine", host}, {"number", number}});
}

void HeartbeatRelay::tick() {
  std::erase_if(routes_, [this](const auto& entry) {
    return context_.now - entry.second.lastHeartbeatAt > 2 * constants::kMaxRelayDuration;
  });
  expirePendingRelays();
}

void HeartbeatRelay::expirePendingRelays() {
  for (auto pending = pendingRelays_.begin(); pending != pendingRelays_.end();) {
    if (pending->second.deadline > context_.now) {
      ++pending;
      continue;
    }
    context_.replyTryAgain(pending->second.request);
    pending = pendingRelays_.erase(pending);
  }
}

}  // namespace reachhoist::service
