#include "state/feed.hpp"

#include "state/answers.hpp"
#include "wire/http_status.hpp"

namespace reachhoist::state {

Feed::Feed(Client& client, std::string prefix, Urgency urgency, wire::Duration minConfirmInterval,
           Handlers handlers)
    : client_(client),
      prefix_(std::move(prefix)),
      urgency_(urgency),
      minConfirmInterval_(minConfirmInterval),
      handlers_(std::move(handlers)) {}

void Feed::start(Time now) {
  now_ = now;
  transitionTo(State::listing);
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
  // A confirming read is also sent when no caller waits. It probes a failing store and keeps the view fresh.
  const auto maxConfirmAge = failing_ ? constants::kStateBackoff : constants::kMaxFeedStaleness;
  if (!pendingConfirms_.empty() || (state_ == State::following && now - lastConfirmAt_ > maxConfirmAge))
    sendConfirm();
}

void Feed::list() {
  listInFlight_ = true;
  if (atFirstPage_) listingStartedAt_ = now_;
  client_.list(now_, urgency_, prefix_, lastListedKey_, guard_.wrap([this](const wire::CallResult& result) {
    listInFlight_ = false;
    onPage(result);
  }));
}

void Feed::onPage(const wire::CallResult& result) {
  const auto page = decodePage(result);
  if (!page) return scheduleRetry();
  if (atFirstPage_) {
    // Changes during the listing are replayed from the first page's revision on.
    revision_ = page->revision;
    if (handlers_.onListingStart) handlers_.onListingStart(page->revision);
  }
  atFirstPage_ = false;
  for (const KeyValue& entry : page->entries) {
    lastListedKey_ = entry.key;
    handlers_.onEntry(entry.key, entry.value, entry.revision);
  }
  if (page->hasMore) return list();
  hasListed_ = true;
  // The time is set only here, because before the last page the view lacks the entries of later pages.
  confirmedAt_ = std::max(confirmedAt_, listingStartedAt_);
  transitionTo(State::following);
  if (handlers_.onCaughtUp) handlers_.onCaughtUp();
  if (!watchInFlight_) watch();
}

bool Feed::applyChanges(const wire::CallResult& result) {
  const auto batch = decodeWatch(result);
  if (!batch) return false;
  const std::uint64_t previousRevision = revision_;
  revision_ = std::max(revision_, batch->revision);
  for (const KeyValue& event : batch->events)
    if (event.revision > previousRevision) handlers_.onEntry(event.key, event.value, event.revision);
  if (handlers_.onCaughtUp) handlers_.onCaughtUp();
  return true;
}

// The store no longer keeps the changes, or they exceed the size limit of an answer. Another watch would fail
// in the same way, whereas the pages of a listing are bounded.
bool Feed::requiresListing(const wire::CallResult& result) {
  return result.status == http::kGone || result.responseTooLarge;
}

void Feed::scheduleRetry() { retryAt_ = now_ + constants::kStateBackoff; }

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
  if (requiresListing(result)) return start(now_);
  if (!applyChanges(result)) return scheduleRetry();
  watch();
}

void Feed::confirm(Time now, ConfirmCallback done) {
  now_ = now;
  if (failing_) return done(false);
  pendingConfirms_.push_back(std::move(done));
  sendConfirm();
}

void Feed::failPendingConfirms() {
  for (const ConfirmCallback& done : std::exchange(pendingConfirms_, {})) done(false);
}

void Feed::sendConfirm() {
  if (confirmInFlight_) return;
  if (state_ != State::following) return failPendingConfirms();
  if (now_ < nextConfirmAt_) return;
  confirmInFlight_ = true;
  nextConfirmAt_ = now_ + minConfirmInterval_;
  lastConfirmAt_ = now_;
  const Time sentAt = now_;
  client_.watch(now_, Urgency::lease, prefix_, revision_, std::chrono::milliseconds(0),
                guard_.wrap([this, sentAt, batch = std::exchange(pendingConfirms_, {})](
                                const wire::CallResult& result) { onConfirmed(sentAt, batch, result); }));
}

void Feed::onConfirmed(Time sentAt, const std::vector<ConfirmCallback>& batch,
                       const wire::CallResult& result) {
  confirmInFlight_ = false;
  if (requiresListing(result)) start(now_);
  // A listing that began meanwhile starts from a later revision. The changes in this answer would be skipped,
  // and their keys can be on a page that has not been read yet.
  const bool ok = state_ == State::following && applyChanges(result);
  failing_ =
      !ok && !result.responseTooLarge && (result.status == 0 || result.status == http::kServiceUnavailable);
  if (failing_) failPendingConfirms();
  if (ok) confirmedAt_ = std::max(confirmedAt_, sentAt);
  for (const ConfirmCallback& done : batch) done(ok);
}

}  // namespace reachhoist::state
