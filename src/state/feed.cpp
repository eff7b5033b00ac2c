#include "state/feed.hpp"

namespace reachhoist::state {

Feed::Feed(Client& client, std::string prefix, Urgency urgency, wire::Duration confirmGap, Handlers handlers)
    : client_(client),
      prefix_(std::move(prefix)),
      urgency_(urgency),
      confirmGap_(confirmGap),
      handlers_(std::move(handlers)) {}

void Feed::start(Time now) {
  now_ = now;
  to(State::listing);
  lastListedKey_.clear();
  atFirstPage_ = true;
  list();
}

void Feed::tick(Time now) {
  now_ = now;
  if (now >= retryAt_) {
    if (state_ == State::listing && !listInFlight_) list();
    if (state_ == State::following && !watchInFlight_) watch();
  }
  // Nobody may be waiting: a failing service is tried all the same, and what is known is kept fresh.
  const auto stale = failing_ ? constants::kStateBackoff : constants::kMaxFeedStaleness;
  if (!waiting_.empty() || (state_ == State::following && now - lastConfirmAt_ > stale)) sendConfirm();
}

void Feed::list() {
  listInFlight_ = true;
  if (atFirstPage_) listedFrom_ = now_;
  client_.list(now_, urgency_, prefix_, lastListedKey_,
               [this, alive = std::weak_ptr<int>(alive_)](const wire::CallResult& result) {
                 if (!alive.lock()) return;
                 listInFlight_ = false;
                 onPage(result);
               });
}

void Feed::onPage(const wire::CallResult& result) {
  const Json* pairs = wire::field(result.body, "pairs");
  const auto revision = wire::countField(result.body, "ledger");
  if (!result.ok() || pairs == nullptr || !pairs->is_array() || !revision) {
    retryAt_ = now_ + constants::kStateBackoff;
    return;
  }
  if (atFirstPage_) {
    // Changes during the listing are replayed from the first page's revision on.
    revision_ = *revision;
    if (handlers_.listingBegins) handlers_.listingBegins();
  }
  atFirstPage_ = false;
  for (const Json& pair : *pairs) {
    const auto key = wire::textField(pair, "key");
    const Json* value = wire::field(pair, "value");
    if (!key || value == nullptr) continue;
    lastListedKey_ = *key;
    handlers_.entry(*key, value, wire::countField(pair, "stamp").value_or(0));
  }
  if (wire::flagField(result.body, "more").value_or(false) && !pairs->empty()) return list();
  everListed_ = true;
  // Only now: what is on the later pages was not known before.
  confirmedAt_ = std::max(confirmedAt_, listedFrom_);
  to(State::following);
  if (handlers_.caughtUp) handlers_.caughtUp();
  if (!watchInFlight_) watch();
}

bool Feed::applyChanges(const Json& answer) {
  const Json* events = wire::field(answer, "news");
  const auto revision = wire::countField(answer, "ledger");
  if (events == nullptr || !events->is_array() || !revision) return false;
  const std::uint64_t known = revision_;
  revision_ = std::max(revision_, *revision);
  for (const Json& item : *events) {
    const std::uint64_t revision = wire::countField(item, "stamp").value_or(0);
    if (revision <= known) continue;
    if (const auto written = wire::textField(item, "write")) {
      if (const Json* value = wire::field(item, "value")) handlers_.entry(*written, value, revision);
    } else if (const auto deleted = wire::textField(item, "delete")) {
      handlers_.entry(*deleted, nullptr, revision);
    }
  }
  if (handlers_.caughtUp) handlers_.caughtUp();
  return true;
}

// What has changed is no longer known there, or is more than one answer may hold: asked again, it would be
// the same. Pages of keys are bounded.
bool Feed::mustList(const wire::CallResult& result) { return result.status == 410 || result.tooLarge; }

void Feed::watch() {
  watchInFlight_ = true;
  client_.changes(now_, urgency_, prefix_, revision_, constants::kWatchPollTimeout,
                  [this, alive = std::weak_ptr<int>(alive_)](const wire::CallResult& result) {
                    if (!alive.lock()) return;
                    watchInFlight_ = false;
                    if (state_ != State::following) return;
                    if (mustList(result)) return start(now_);
                    if (!result.ok() || !applyChanges(result.body)) {
                      retryAt_ = now_ + constants::kStateBackoff;
                      return;
                    }
                    watch();
                  });
}

void Feed::confirm(Time now, Confirmed done) {
  now_ = now;
  if (failing_) return done(false);
  waiting_.push_back(std::move(done));
  sendConfirm();
}

void Feed::failWaiting() {
  for (const Confirmed& done : std::exchange(waiting_, {})) done(false);
}

void Feed::sendConfirm() {
  if (confirmInFlight_) return;
  if (state_ != State::following) return failWaiting();
  if (now_ < nextConfirm_) return;
  confirmInFlight_ = true;
  nextConfirm_ = now_ + confirmGap_;
  lastConfirmAt_ = now_;
  const Time sent = now_;
  client_.changes(now_, Urgency::lease, prefix_, revision_, std::chrono::milliseconds(0),
                  [this, sent, batch = std::exchange(waiting_, {}),
                   alive = std::weak_ptr<int>(alive_)](const wire::CallResult& result) {
                    if (!alive.lock()) return;
                    confirmInFlight_ = false;
                    if (mustList(result)) start(now_);
                    // A listing begun meanwhile starts from a later revision: what this answer brings would
                    // be passed over, and its keys may stand on a page that has not been read.
                    const bool ok = state_ == State::following && result.ok() && applyChanges(result.body);
                    failing_ = !ok && !result.tooLarge && (result.status == 0 || result.status == 503);
                    if (failing_) failWaiting();
                    if (ok) confirmedAt_ = std::max(confirmedAt_, sent);
                    for (const Confirmed& done : batch) done(ok);
                  });
}

}  // namespace reachhoist::state
