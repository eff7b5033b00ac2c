#include "state/feed.hpp"

#include "state/answers.hpp"
#include "wire/http_status.hpp"

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
  // Also when nobody waits: a failing store is probed, and the view is kept fresh.
  const auto stale = failing_ ? constants::kStateBackoff : constants::kMaxFeedStaleness;
  if (!waiting_.empty() || (state_ == State::following && now - lastConfirmAt_ > stale)) sendConfirm();
}

void Feed::list() {
  listInFlight_ = true;
  if (atFirstPage_) listedFrom_ = now_;
  client_.list(now_, urgency_, prefix_, lastListedKey_, guard_.wrap([this](const wire::CallResult& result) {
    listInFlight_ = false;
    onPage(result);
  }));
}

void Feed::onPage(const wire::CallResult& result) {
  const auto page = decodePage(result);
  if (!page) return retryLater();
  if (atFirstPage_) {
    // Changes during the listing are replayed from the first page's revision on.
    revision_ = page->revision;
    if (handlers_.listingBegins) handlers_.listingBegins();
  }
  atFirstPage_ = false;
  for (const KeyValue& entry : page->entries) {
    lastListedKey_ = entry.key;
    handlers_.entry(entry.key, entry.value, entry.revision);
  }
  if (page->more) return list();
  everListed_ = true;
  // Only now: the entries of the later pages were not known before.
  confirmedAt_ = std::max(confirmedAt_, listedFrom_);
  to(State::following);
  if (handlers_.caughtUp) handlers_.caughtUp();
  if (!watchInFlight_) watch();
}

bool Feed::applyChanges(const wire::CallResult& result) {
  const auto batch = decodeWatch(result);
  if (!batch) return false;
  const std::uint64_t known = revision_;
  revision_ = std::max(revision_, batch->revision);
  for (const KeyValue& event : batch->events)
    if (event.revision > known) handlers_.entry(event.key, event.value, event.revision);
  if (handlers_.caughtUp) handlers_.caughtUp();
  return true;
}

// The changes are no longer kept by the store, or exceed the size limit of an answer: another watch would
// fail in the same way. Pages of a listing are bounded.
bool Feed::mustList(const wire::CallResult& result) {
  return result.status == http::kGone || result.responseTooLarge;
}

void Feed::retryLater() { retryAt_ = now_ + constants::kStateBackoff; }

void Feed::watch() {
  watchInFlight_ = true;
  client_.watch(now_, urgency_, prefix_, revision_, constants::kWatchPollTimeout,
                guard_.wrap([this](const wire::CallResult& result) {
                  watchInFlight_ = false;
                  onChanges(result);
                }));
}

void Feed::onChanges(const wire::CallResult& result) {
  if (state_ != State::following) return;
  if (mustList(result)) return start(now_);
  if (!applyChanges(result)) return retryLater();
  watch();
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
  client_.watch(now_, Urgency::lease, prefix_, revision_, std::chrono::milliseconds(0),
                guard_.wrap([this, sent, batch = std::exchange(waiting_, {})](
                                const wire::CallResult& result) { onConfirmed(sent, batch, result); }));
}

void Feed::onConfirmed(Time sent, const std::vector<Confirmed>& batch, const wire::CallResult& result) {
  confirmInFlight_ = false;
  if (mustList(result)) start(now_);
  // A listing begun meanwhile starts from a later revision: the changes in this answer would be skipped, and
  // their keys may be on a page that has not been read.
  const bool ok = state_ == State::following && applyChanges(result);
  failing_ =
      !ok && !result.responseTooLarge && (result.status == 0 || result.status == http::kServiceUnavailable);
  if (failing_) failWaiting();
  if (ok) confirmedAt_ = std::max(confirmedAt_, sent);
  for (const Confirmed& done : batch) done(ok);
}

}  // namespace reachhoist::state
