#include "state/key_watch.hpp"

namespace reachhoist::state {

KeyWatch::KeyWatch(Client& client, std::string key, Changed changed)
    : client_(client), key_(std::move(key)), changed_(std::move(changed)) {}

void KeyWatch::start(Time now) {
  now_ = now;
  to(State::reading);
  read();
}

void KeyWatch::tick(Time now) {
  now_ = now;
  if (callInFlight_ || now < retryAt_) return;
  if (state_ == State::reading) read();
  if (state_ == State::following) watch();
}

void KeyWatch::retry() { retryAt_ = now_ + constants::kStateBackoff; }

void KeyWatch::read() {
  callInFlight_ = true;
  client_.get(now_, Urgency::rest, key_,
              [this, alive = std::weak_ptr<int>(alive_)](const wire::CallResult& result) {
                if (!alive.lock()) return;
                callInFlight_ = false;
                onRead(result);
              });
}

void KeyWatch::onRead(const wire::CallResult& result) {
  if (result.status == 404) {
    const auto revision = wire::countField(result.body, "ledger");
    if (!revision) return retry();
    revision_ = *revision;
    notify(nullptr, 0);
  } else if (const auto revision = wire::countField(result.body, "stamp"); result.ok() && revision) {
    revision_ = *revision;
    notify(wire::field(result.body, "value"), *revision);
  } else {
    return retry();
  }
  to(State::following);
  watch();
}

void KeyWatch::watch() {
  callInFlight_ = true;
  client_.changes(now_, Urgency::rest, key_, revision_, constants::kWatchPollTimeout,
                  [this, alive = std::weak_ptr<int>(alive_)](const wire::CallResult& result) {
                    if (!alive.lock()) return;
                    callInFlight_ = false;
                    onChanges(result);
                  });
}

void KeyWatch::onChanges(const wire::CallResult& result) {
  // What has changed is no longer known there: the key is read anew.
  if (result.status == 410 || result.tooLarge) to(State::reading);
  const Json* events = wire::field(result.body, "news");
  const auto revision = wire::countField(result.body, "ledger");
  if (!result.ok() || events == nullptr || !events->is_array() || !revision) return retry();
  for (const Json& item : *events) {
    const std::uint64_t revision = wire::countField(item, "stamp").value_or(0);
    if (revision <= revision_) continue;
    if (wire::textField(item, "write") == key_) notify(wire::field(item, "value"), revision);
    if (wire::textField(item, "delete") == key_) notify(nullptr, revision);
  }
  revision_ = std::max(revision_, *revision);
  watch();
}

void KeyWatch::notify(const Json* value, std::uint64_t revision) {
  // A value that has been told already, found again by a second reading.
  if (value != nullptr && revision == toldRevision_) return;
  toldRevision_ = value == nullptr ? 0 : revision;
  changed_(value, toldRevision_);
}

}  // namespace reachhoist::state
