#include "service/controller.hpp"

#include <algorithm>
#include <utility>

namespace reachhoist::service {

namespace {
constexpr std::string_view kJobsPath = "/api/jobs";
constexpr std::string_view kAbortEnd = "/abort";
constexpr std::string_view kJobsPrefix = "jobs/";
constexpr const char* kCatalogKey = "catalog";
constexpr int kFullHeartbeats =
    5;  // every so many progress messages one names all jobs, in case one was lost
}  // namespace

void Context::event(Level of, std::string_view name, std::initializer_list<LogField> fields) const {
  if (!logs(of)) return;
  std::string line = "event=" + std::string(name);
  for (const LogField& field : fields) line.append(" ").append(field.key).append("=").append(field.value);
  logSink(of, line);
}

Controller::Controller(const config::Settings& settings, std::uint64_t seed, Level level,
                       Context::LogSink sink)
    : settings_(settings),
      context_(settings, level, std::move(sink)),
      jobFeed_(context_.state, std::string(kJobsPrefix), state::Urgency::place,
               wire::seconds(1.0 / (settings.state.requestsPerS *
                                    std::min(constants::kMaxPollBudgetShare,
                                             constants::kTotalPollBudgetShare /
                                                 static_cast<double>(settings.siblings.size() + 1)))),
               {[this](const auto& key, const Json* value, std::uint64_t revision) {
                  onJob(key, value, revision);
                },
                nullptr, nullptr}),
      leadership_(context_.state, settings, seed,
                  {[this](std::uint64_t term, const std::vector<std::uint64_t>& revisions) {
                     // Made in the next turn: this is called from within the leadership's own affairs.
                     leaderDue_ = true;
                     leaderTerm_ = term;
                     leaderPartitionRevisions_ = revisions;
                     context_.event(Level::info, "elected", {{"term", term}});
                   },
                   [this](const char* why) {
                     leaderDue_ = true;
                     leaderTerm_ = 0;
                     context_.event(Level::info, "deposed", {{"why", why}});
                   },
                   [this](std::uint64_t layout) {
                     context_.event(Level::error, "layout_refused",
                                    {{"found", layout}, {"readable", constants::kRecordLayout}});
                   }}),
      jobApi_(context_, jobFeed_, jobs_, leadership_,
              [this](auto change, const std::string& ref) { applied(change, ref); }) {
  if (settings.operators.shares.enabled) shares_ = std::make_unique<SharesFollower>(context_);
}

void Controller::at(Time now, std::int64_t wallMs) {
  context_.now = now;
  context_.wallMs = wallMs;
  const Time before = std::exchange(lastActive_, now);
  if (before != Time{} && now - before > constants::kStallThreshold) resumed(now - before);
}

void Controller::resumed(wire::Duration away) {
  context_.resumedAt = context_.now;
  context_.event(Level::info, "resumed", {{"away_s", wire::toSeconds(away)}});
  for (auto& [label, heard] : heard_) heard.at += away;
  context_.siblingHeardAt += away;
  context_.siblingConfirmedAt += away;
  if (leader_) leader_->resumed(away);
}

void Controller::start(Time now, std::int64_t wallMs) {
  at(now, wallMs);
  context_.event(Level::info, "start", {{"label", settings_.label}});
  jobFeed_.start(now);
  leadership_.start(now);
  if (shares_) shares_->start();
  fetchCatalog();
}

void Controller::tick(Time now, std::int64_t wallMs) {
  at(now, wallMs);
  if (leaderDue_) {
    leaderDue_ = false;
    if (leader_) {
      for (const std::string& ref : jobs_.open()) jobs_.find(ref)->endTracking();
      leader_.reset();
    }
    if (leaderTerm_ != 0)
      leader_ = std::make_unique<Leader>(context_, leadership_, jobFeed_, jobs_, leaderTerm_,
                                         leaderPartitionRevisions_);
  }
  leadership_.tick(now);
  // The leader's window for answering workers rests on this read as well as on the lease.
  if (leader_ && now >= nextConfirm_) {
    nextConfirm_ = now + constants::kLeadershipConfirmInterval;
    jobFeed_.confirm(now, [](bool) {});
  }
  jobFeed_.tick(now);
  jobApi_.tick();
  if (shares_) shares_->tick(leadership_.leading());
  if (leader_) leader_->tick();
  fetchCatalog();
  if (now >= nextHeartbeat_) sendHeartbeat();
  std::erase_if(relayRoutes_, [now](const auto& entry) {
    return now - entry.second.lastSeen > 2 * constants::kMaxRelayDuration;
  });
  for (auto relay = relays_.begin(); relay != relays_.end();) {
    if (relay->second.deadline > now) {
      ++relay;
      continue;
    }
    context_.later(relay->second.request);
    relay = relays_.erase(relay);
  }
  context_.state.pump(now);
}

Actions Controller::drain() {
  Actions out;
  out.calls = context_.calls.drain();
  out.replies = std::exchange(context_.replies, {});
  out.peers = std::exchange(context_.peerOut, {});
  return out;
}

void Controller::onResult(Time now, std::int64_t wallMs, std::uint64_t call, const wire::CallResult& result) {
  at(now, wallMs);
  context_.calls.complete(call, result);
  if (leader_ && !leaderDue_) leader_->advance();
}

void Controller::onJob(const std::string& key, const Json* value, std::uint64_t revision) {
  if (value == nullptr || !key.starts_with(kJobsPrefix)) return;
  const std::string ref = key.substr(kJobsPrefix.size());
  applied(jobs_.apply(ref, *value, revision), ref);
}

void Controller::applied(jobs::JobTable::Change change, const std::string& ref) {
  using Change = jobs::JobTable::Change;
  if (change == Change::malformed) context_.event(Level::error, "bad_record", {{"job", ref}});
  if (!leader_ || leaderDue_) return;
  if (change == Change::accepted) leader_->onJobAccepted(*jobs_.find(ref));
  if (change == Change::ended) leader_->onJobEnded(*jobs_.find(ref));
}

// --- requests ----------------------------------------------------------------------------------------------

void Controller::onRequest(Time now, std::int64_t wallMs, const Request& request) {
  at(now, wallMs);
  std::string_view path = request.target;
  path = path.substr(0, path.find('?'));
  const bool get = request.method == "GET";
  const bool post = request.method == "POST";
  const auto wrongMethod = [&] {
    context_.reply(request.number, 405, Json{{"error", "method not allowed"}});
  };
  if (path == "/healthz") {
    if (!get) return wrongMethod();
    const bool able = jobFeed_.ready() && context_.catalog.has_value() && !isIsolated();
    return able ? context_.reply(request.number, 200, Json{{"ok", true}}) : context_.later(request.number);
  }
  if (path == "/v1/report") {
    if (!post) return wrongMethod();
    return heartbeat(request.number, request.body);
  }
  if (path == kJobsPath) {
    if (!post) return wrongMethod();
    return jobApi_.submit(request.number, request.body);
  }
  if (path.starts_with(kJobsPath) && path.size() > kJobsPath.size() + 1 && path[kJobsPath.size()] == '/') {
    path.remove_prefix(kJobsPath.size() + 1);
    if (path.ends_with(kAbortEnd)) {
      if (!post) return wrongMethod();
      return jobApi_.abort(request.number, std::string(path.substr(0, path.size() - kAbortEnd.size())));
    }
    if (path.find('/') == std::string_view::npos) {
      if (!get) return wrongMethod();
      return jobApi_.query(request.number, std::string(path));
    }
  }
  context_.reply(request.number, 404, Json{{"error", "no such path"}});
}

void Controller::heartbeat(std::uint64_t request, const std::string& body) {
  const auto decoded = wire::decodeBody(body);
  const auto heartbeat = decoded ? wire::decodeHeartbeat(*decoded)
                                 : wire::Result<wire::WorkerHeartbeat>::failure(decoded.reason());
  if (!heartbeat) {
    context_.event(Level::info, "bad_report", {{"why", heartbeat.reason()}});
    return context_.reply(request, 400, Json{{"error", heartbeat.reason()}});
  }
  if (leadership_.leading()) {
    if (!leader_ || leaderDue_) return context_.later(request);
    auto answer = leader_->onHeartbeat(*heartbeat, Leader::Source::heartbeat);
    if (answer.status != 200) return context_.later(request);
    return context_.reply(request, 200, std::move(answer.body));
  }
  redirectOrRelay(request, *heartbeat, body);
}

void Controller::redirectOrRelay(std::uint64_t request, const wire::WorkerHeartbeat& heartbeat,
                                 const std::string& body) {
  const std::string leader = leaderLabel();
  if (leader.empty() || leader == settings_.label || settings_.sibling(leader) == nullptr)
    return context_.later(request);
  RelayRoute& route = relayRoutes_[heartbeat.host.text];
  if (route.leader != leader) route = RelayRoute{leader, {}, {}, {}};
  route.lastSeen = context_.now;
  // It has been commanded under this term, or was sent to the leader a moment ago, and is here all the same:
  // it can't reach the leader, but perhaps we can. Now and then it is sent back, in case the way is open
  // again.
  const bool left = heartbeat.token >= cluster::token(leadership_.term(), 0) ||
                    context_.now - route.redirectedAt < constants::kRedirectMemory;
  const bool enough =
      route.relayedSince != Time{} && context_.now - route.relayedSince > constants::kMaxRelayDuration;
  if (left && !enough) {
    // Without a link to the leader there is no way round through us either, but perhaps through the next
    // controller. Sent back to the leader, the worker would come to us again and again.
    const auto heard = heard_.find(leader);
    if (heard == heard_.end() || context_.now - heard->second.at >= constants::kPeerHeartbeatTimeout)
      return context_.later(request);
    if (route.relayedSince == Time{}) route.relayedSince = context_.now;
    const std::uint64_t number = nextRelay_++;
    relays_[number] = RelayOut{request, context_.now + constants::kRelayTimeout};
    context_.peerOut.push_back(PeerSend{leader, peer::Message{settings_.label, peer::Relay{number, body}}});
    return;
  }
  route.redirectedAt = context_.now;
  route.relayedSince = Time{};
  context_.reply(request, 421, Json{{"foreman", leader}});
}

// --- peers -------------------------------------------------------------------------------------------------

void Controller::onPeer(Time now, std::int64_t wallMs, const peer::Message& message) {
  at(now, wallMs);
  if (settings_.sibling(message.from) == nullptr) return;
  if (const auto* relay = std::get_if<peer::Relay>(&message.what)) return onRelay(message.from, *relay);
  if (const auto* answer = std::get_if<peer::Relayed>(&message.what)) return relayed(*answer);
  if (const auto* heartbeat = std::get_if<peer::Heartbeat>(&message.what))
    return onHeartbeat(message.from, *heartbeat);
  const auto& progress = std::get<peer::Progress>(message.what);
  if (progress.term < progressTerm_ || leader_) return;
  progressTerm_ = progress.term;
  for (const peer::JobProgress& shown : progress.jobs) {
    if (jobs::Job* job = jobs_.find(shown.ref); job != nullptr && job->open()) {
      job->displayedDone = shown.done;
      job->displayedRunning = shown.running;
    }
  }
}

void Controller::onRelay(const std::string& from, const peer::Relay& relay) {
  peer::Relayed answer{relay.number, 503, {}};
  const auto decoded = wire::decodeBody(relay.heartbeat);
  const auto heartbeat = decoded ? wire::decodeHeartbeat(*decoded)
                                 : wire::Result<wire::WorkerHeartbeat>::failure(decoded.reason());
  if (heartbeat && leader_ && !leaderDue_) {
    auto given = leader_->onHeartbeat(*heartbeat, Leader::Source::relay);
    if (context_.logs(Level::debug))
      context_.event(Level::debug, "relayed",
                     {{"machine", heartbeat->host.text}, {"through", from}, {"status", given.status}});
    answer.status = given.status;
    if (given.status == 200) answer.body = wire::encodeBody(given.body);
  }
  context_.peerOut.push_back(PeerSend{from, peer::Message{settings_.label, std::move(answer)}});
}

void Controller::relayed(const peer::Relayed& answer) {
  const auto found = relays_.find(answer.number);
  if (found == relays_.end()) return;
  const std::uint64_t request = found->second.request;
  relays_.erase(found);
  const auto body = wire::decodeBody(answer.body);
  if (answer.status != 200 || !body) return context_.later(request);
  context_.reply(request, 200, *body);
}

void Controller::onHeartbeat(const std::string& from, const peer::Heartbeat& heartbeat) {
  heard_[from] = Heard{context_.now, heartbeat.confirmed};
  context_.siblingHeardAt = context_.now;
  if (heartbeat.confirmed) context_.siblingConfirmedAt = context_.now;
  if (!heartbeat.leading || heartbeat.term <= announcedTerm_) return;
  announcedTerm_ = heartbeat.term;
  announcedLeader_ = from;
  // We may be the last to hear of it: as long as we answered workers 200, they would not look for the new
  // leader.
  if (leadership_.leading() && heartbeat.term > leadership_.term()) leadership_.resign("a sibling leads");
}

bool Controller::isIsolated() const {
  if (settings_.siblings.empty() || context_.now - jobFeed_.confirmedAt() < constants::kStateIsolationTimeout)
    return false;
  bool silent = true;
  for (const auto& [label, heard] : heard_) {
    if (context_.now - heard.at > constants::kPeerHeartbeatTimeout) continue;
    if (heard.confirmed) return true;
    silent = false;
  }
  return silent;
}

std::string Controller::leaderLabel() const {
  return announcedTerm_ > leadership_.term() ? announcedLeader_ : leadership_.leader();
}

void Controller::sendHeartbeat() {
  nextHeartbeat_ = context_.now + constants::kPeerHeartbeatInterval;
  const peer::Heartbeat heartbeat{leadership_.term(), leadership_.leading(),
                                  context_.now - jobFeed_.confirmedAt() < constants::kPeerHeartbeatTimeout};
  for (const config::Sibling& sibling : settings_.siblings)
    context_.peerOut.push_back(PeerSend{sibling.label, peer::Message{settings_.label, heartbeat}});
  if (!leader_) return;
  const peer::Progress progress = leader_->progress(++heartbeats_ % kFullHeartbeats == 0);
  // In parts, since a frame that is too large would be dropped whole, each time again.
  for (std::size_t from = 0; from < progress.jobs.size(); from += constants::kMaxJobsPerProgressMessage) {
    const std::size_t to = std::min(progress.jobs.size(), from + constants::kMaxJobsPerProgressMessage);
    const auto begin = progress.jobs.begin();
    const peer::Progress part{
        progress.term, {begin + static_cast<std::ptrdiff_t>(from), begin + static_cast<std::ptrdiff_t>(to)}};
    for (const config::Sibling& sibling : settings_.siblings)
      context_.peerOut.push_back(PeerSend{sibling.label, peer::Message{settings_.label, part}});
  }
}

// --- machine types -----------------------------------------------------------------------------------------

void Controller::fetchCatalog() {
  // Until they are known once; later the leader's cloud client keeps them current.
  if (context_.catalog || askingCatalog_ || context_.now < nextCatalog_) return;
  askingCatalog_ = true;
  wire::Call call;
  call.to = wire::Service::cloud;
  call.endpoint = settings_.endpoints.cloud;
  call.method = "GET";
  call.path = "/catalog";
  call.timeout = constants::kCloudCallTimeout;
  context_.calls.start(std::move(call), [this](const wire::CallResult& result) {
    askingCatalog_ = false;
    nextCatalog_ = context_.now + constants::kCatalogRetryInterval;
    auto catalog = wire::decodeCatalog(result.body);
    if (result.ok() && catalog) {
      context_.catalog = std::move(*catalog);
      // Kept so that a controller that starts during the cloud's outage can still decide.
      state::Transaction transaction;
      transaction.writes.push_back({kCatalogKey, wire::encodeCatalog(*context_.catalog), std::nullopt});
      context_.state.multi(context_.now, state::Urgency::rest, transaction, [](const auto&) {});
      return;
    }
    context_.state.get(
        context_.now, state::Urgency::place, kCatalogKey, [this](const wire::CallResult& stored) {
          const Json* value = wire::field(stored.body, "value");
          if (!stored.ok() || value == nullptr || context_.catalog) return;
          auto known = wire::decodeCatalog(*value);
          if (known) {
            context_.catalog = std::move(*known);
          } else {
            context_.event(Level::error, "bad_record", {{"key", kCatalogKey}, {"why", known.reason()}});
          }
        });
  });
}

}  // namespace reachhoist::service
