#include "service/controller.hpp"

#include <algorithm>
#include <utility>

#include "service/election_log.hpp"
#include "service/request_router.hpp"

namespace reachhoist::service {

namespace {

constexpr std::string_view kJobsPrefix = "jobs/";

// Returns the minimum time between two confirming reads of the job feed. Each controller spends a share of
// the key-value store's request rate on them, and the sum over all controllers is bounded as well.
wire::Duration minConfirmInterval(const config::Settings& settings) {
  const auto controllers = static_cast<double>(settings.siblings.size() + 1);
  const double share =
      std::min(constants::kMaxPollBudgetShare, constants::kTotalPollBudgetShare / controllers);
  return wire::seconds(1.0 / (settings.stateLimits.requestsPerS * share));
}

wire::Result<wire::WorkerHeartbeat> decodeHeartbeatBody(const std::string& body) {
  const auto decoded = wire::decodeBody(body);
  if (!decoded) return wire::Result<wire::WorkerHeartbeat>::failure(decoded.reason());
  return wire::decodeHeartbeat(*decoded);
}

}  // namespace

Controller::Controller(const config::Settings& settings, std::uint64_t seed, LogLevel level,
                       Context::LogSink sink)
    : settings_(settings),
      context_(settings, level, std::move(sink)),
      jobFeed_(context_.state, std::string(kJobsPrefix), state::Urgency::placement,
               minConfirmInterval(settings), jobFeedHandlers()),
      leadership_(context_.state, settings, seed, leadershipHandlers()),
      siblings_(context_, leadership_),
      heartbeatRelay_(context_, leadership_, siblings_, seed),
      progressPublisher_(context_),
      progressReceiver_(jobs_),
      catalogLoader_(context_),
      jobApi_(context_, jobFeed_, jobs_, leadership_,
              [this](auto change, const std::string& ref) { onJobChange(change, ref); }) {
  if (settings.operators.shares.enabled) shares_ = std::make_unique<ShareTableFollower>(context_);
}

// --- callbacks of the components ---------------------------------------------------------------------------

state::Feed::Handlers Controller::jobFeedHandlers() {
  const auto onEntry = [this](const std::string& key, const Json* value, std::uint64_t revision) {
    onJobRecord(key, value, revision);
  };
  return {onEntry, nullptr, nullptr};
}

cluster::Leadership::Handlers Controller::leadershipHandlers() {
  // A change of leadership takes effect in the next tick, because Leadership calls these handlers while it
  // changes its own state.
  const auto elected = [this](std::uint64_t term, const std::vector<std::uint64_t>& partitionRevisions) {
    pendingLeadershipChange_ = LeadershipChange{term, partitionRevisions};
    context_.logEvent(LogLevel::info, "elected", {{"term", term}});
  };
  const auto deposed = [this](const char* reason) {
    pendingLeadershipChange_ = LeadershipChange{};
    context_.logEvent(LogLevel::info, "deposed", {{"why", reason}, {"known_term", leadership_.term()}});
  };
  const auto layoutUnsupported = [this](std::uint64_t layout) {
    context_.logEvent(LogLevel::error, "layout_unsupported",
                      {{"found", layout}, {"readable", constants::kRecordLayout}});
  };
  const auto observed = [this](const cluster::ElectionEvent& event) { logElectionEvent(context_, event); };
  return {elected, deposed, layoutUnsupported, observed};
}

void Controller::onJobRecord(const std::string& key, const Json* value, std::uint64_t revision) {
  if (value == nullptr || !key.starts_with(kJobsPrefix)) return;
  const std::string ref = key.substr(kJobsPrefix.size());
  onJobChange(jobs_.apply(ref, *value, revision), ref);
}

void Controller::onJobChange(jobs::JobTable::Change change, const std::string& ref) {
  using Change = jobs::JobTable::Change;
  if (change == Change::malformed) context_.logEvent(LogLevel::error, "bad_record", {{"job", ref}});
  Leader* leader = activeLeader();
  if (leader == nullptr) return;
  if (change == Change::accepted) leader->onJobAccepted(*jobs_.find(ref));
  if (change == Change::ended) leader->onJobEnded(*jobs_.find(ref));
}

// --- time --------------------------------------------------------------------------------------------------

void Controller::beginEvent(Time now, std::int64_t wallClockMs) {
  context_.now = now;
  context_.wallClockMs = wallClockMs;
  const Time previousEventAt = std::exchange(lastEventAt_, now);
  if (previousEventAt != Time{} && now - previousEventAt > constants::kStallThreshold)
    onResumed(now - previousEventAt);
}

void Controller::onResumed(wire::Duration suspendedFor) {
  context_.resumedAt = context_.now;
  context_.logEvent(LogLevel::info, "resumed", {{"away_s", wire::toSeconds(suspendedFor)}});
  siblings_.onResumed(suspendedFor);
  if (leader_) leader_->onResumed(suspendedFor);
}

void Controller::start(Time now, std::int64_t wallClockMs) {
  beginEvent(now, wallClockMs);
  context_.logEvent(LogLevel::info, "start", {{"label", settings_.label}});
  jobFeed_.start(now);
  leadership_.start(now);
  if (shares_) shares_->start();
  catalogLoader_.tick();
}

void Controller::tick(Time now, std::int64_t wallClockMs) {
  beginEvent(now, wallClockMs);
  applyLeadershipChange();
  leadership_.tick(now);
  // The leader can answer workers only while both its last confirming read and its lease are recent.
  if (leader_ && now >= nextConfirmAt_) {
    nextConfirmAt_ = now + constants::kLeadershipConfirmInterval;
    jobFeed_.confirm(now, [](bool) {});
  }
  jobFeed_.tick(now);
  jobApi_.tick();
  if (shares_) shares_->tick(leadership_.isLeading());
  if (leader_) leader_->tick();
  catalogLoader_.tick();
  if (now >= nextHeartbeatAt_) sendHeartbeat();
  heartbeatRelay_.tick();
  context_.state.pump(now);
}

Actions Controller::drain() {
  Actions actions;
  actions.calls = context_.calls.drain();
  actions.responses = std::exchange(context_.responses, {});
  actions.peerMessages = std::exchange(context_.peerMessages, {});
  return actions;
}

void Controller::onResult(Time now, std::int64_t wallClockMs, std::uint64_t call,
                          const wire::CallResult& result) {
  beginEvent(now, wallClockMs);
  context_.calls.complete(call, result);
  if (Leader* leader = activeLeader()) leader->advance();
}

// --- leadership --------------------------------------------------------------------------------------------

void Controller::applyLeadershipChange() {
  if (!pendingLeadershipChange_) return;
  const LeadershipChange change = *std::exchange(pendingLeadershipChange_, std::nullopt);
  if (leader_) {
    for (const std::string& ref : jobs_.openJobs()) jobs_.find(ref)->endTracking();
    leader_.reset();
  }
  if (change.term == 0) return;
  leader_ = std::make_unique<Leader>(context_, leadership_, jobFeed_, jobs_, change.term,
                                     change.partitionRevisions);
}

Leader* Controller::activeLeader() const { return pendingLeadershipChange_ ? nullptr : leader_.get(); }

// --- requests ----------------------------------------------------------------------------------------------

void Controller::onRequest(Time now, std::int64_t wallClockMs, const Request& request) {
  beginEvent(now, wallClockMs);
  const Route route = routeRequest(request.method, request.target);
  switch (route.endpoint) {
    case Endpoint::healthCheck:
      return answerHealthCheck(request.number);
    case Endpoint::workerHeartbeat:
      return onWorkerHeartbeat(request.number, request.body);
    case Endpoint::submitJob:
      return jobApi_.submit(request.number, request.body);
    case Endpoint::queryJob:
      return jobApi_.query(request.number, route.jobRef);
    case Endpoint::abortJob:
      return jobApi_.abort(request.number, route.jobRef);
    case Endpoint::methodNotAllowed:
      return context_.replyError(request.number, http::kMethodNotAllowed, "method not allowed");
    case Endpoint::notFound:
      return context_.replyError(request.number, http::kNotFound, "no such path");
  }
}

void Controller::answerHealthCheck(std::uint64_t request) {
  const bool healthy =
      jobFeed_.isReady() && context_.catalog.has_value() && !siblings_.isIsolated(jobFeed_.confirmedAt());
  if (!healthy) return context_.replyTryAgain(request);
  context_.reply(request, http::kOk, Json{{"ok", true}});
}

void Controller::onWorkerHeartbeat(std::uint64_t request, const std::string& body) {
  const auto heartbeat = decodeHeartbeatBody(body);
  if (!heartbeat) {
    context_.logEvent(LogLevel::info, "bad_heartbeat", {{"why", heartbeat.reason()}});
    return context_.replyError(request, http::kBadRequest, heartbeat.reason());
  }
  if (!leadership_.isLeading()) return heartbeatRelay_.redirectOrRelay(request, *heartbeat, body);
  Leader* leader = activeLeader();
  if (leader == nullptr) return context_.replyTryAgain(request);
  auto response = leader->onHeartbeat(*heartbeat, HeartbeatSource::worker);
  if (response.status != http::kOk) return context_.replyTryAgain(request);
  context_.reply(request, http::kOk, std::move(response.body));
}

// --- messages between controllers --------------------------------------------------------------------------

void Controller::onPeerMessage(Time now, std::int64_t wallClockMs, const peer::Message& message) {
  beginEvent(now, wallClockMs);
  if (settings_.sibling(message.from) == nullptr) return;
  std::visit([&](const auto& payload) { handlePeerPayload(message.from, payload); }, message.payload);
}

void Controller::handlePeerPayload(const std::string& from, const peer::RelayRequest& request) {
  peer::RelayResponse response{request.number, http::kServiceUnavailable, {}};
  const auto heartbeat = decodeHeartbeatBody(request.heartbeat);
  Leader* leader = activeLeader();
  if (heartbeat && leader != nullptr) {
    const auto answer = leader->onHeartbeat(*heartbeat, HeartbeatSource::siblingRelay);
    if (context_.isLogged(LogLevel::debug))
      context_.logEvent(LogLevel::debug, "relayed",
                        {{"machine", heartbeat->host.text},
                         {"through", from},
                         {"number", request.number},
                         {"status", answer.status}});
    response.status = answer.status;
    if (answer.status == http::kOk) response.body = wire::encodeBody(answer.body);
  }
  context_.sendTo(from, std::move(response));
}

void Controller::handlePeerPayload(const std::string& from, const peer::RelayResponse& response) {
  heartbeatRelay_.onResponse(from, response);
}

void Controller::handlePeerPayload(const std::string& /*from*/, const peer::Progress& progress) {
  // The leader counts the tasks itself, so it ignores progress from a sibling.
  if (leader_) return;
  progressReceiver_.apply(progress);
}

void Controller::handlePeerPayload(const std::string& from, const peer::Heartbeat& heartbeat) {
  const bool isNewLeader = siblings_.onHeartbeat(from, heartbeat);
  // The sibling's heartbeat can arrive before this controller finds the new leader in the key-value store. As
  // long as this controller answers workers with 200, they do not look for the new leader.
  if (isNewLeader && leadership_.isLeading() && heartbeat.term > leadership_.term())
    leadership_.resign("a sibling leads under a later term");
}

void Controller::sendHeartbeat() {
  nextHeartbeatAt_ = context_.now + constants::kPeerHeartbeatInterval;
  const bool storeConfirmed = context_.now - jobFeed_.confirmedAt() < constants::kPeerHeartbeatTimeout;
  context_.broadcast(peer::Heartbeat{leadership_.term(), leadership_.isLeading(), storeConfirmed});
  if (leader_) progressPublisher_.publish(*leader_);
}

}  // namespace reachhoist::service
