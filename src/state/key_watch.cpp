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
  if (calling_ || now < retryAt_) return;
  if (state_ == State::reading) read();
  if (state_ == State::following) watch();
}

void KeyWatch::retry() { retryAt_ = now_ + constants::kStateBackoff; }

void KeyWatch::read() {
  calling_ = true;
  client_.get(now_, Urgency::rest, key_,
              [this, alive = std::weak_ptr<int>(alive_)](const wire::CallResult& result) {
                if (!alive.lock()) return;
                calling_ = false;
                onRead(result);
              });
}

void KeyWatch::onRead(const wire::CallResult& result) {
  if (result.status == 404) {
    const auto ledger = wire::countField(result.body, "ledger");
    if (!ledger) return retry();
    ledger_ = *ledger;
    tell(nullptr, 0);
  } else if (const auto stamp = wire::countField(result.body, "stamp"); result.ok() && stamp) {
    ledger_ = *stamp;
    tell(wire::field(result.body, "value"), *stamp);
  } else {
    return retry();
  }
  to(State::following);
  watch();
}

void KeyWatch::watch() {
  calling_ = true;
  client_.changes(now_, Urgency::rest, key_, ledger_, constants::kWatchBlock,
                  [this, alive = std::weak_ptr<int>(alive_)](const wire::CallResult& result) {
                    if (!alive.lock()) return;
                    calling_ = false;
                    onChanges(result);
                  });
}

void KeyWatch::onChanges(const wire::CallResult& result) {
  // What has changed is no longer known there: the key is read anew.
  if (result.status == 410 || result.tooLarge) to(State::reading);
  const Json* news = wire::field(result.body, "news");
  const auto ledger = wire::countField(result.body, "ledger");
  if (!result.ok() || news == nullptr || !news->is_array() || !ledger) return retry();
  for (const Json& item : *news) {
    const std::uint64_t stamp = wire::countField(item, "stamp").value_or(0);
    if (stamp <= ledger_) continue;
    if (wire::textField(item, "write") == key_) tell(wire::field(item, "value"), stamp);
    if (wire::textField(item, "delete") == key_) tell(nullptr, stamp);
  }
  ledger_ = std::max(ledger_, *ledger);
  watch();
}

void KeyWatch::tell(const Json* value, std::uint64_t stamp) {
  // A value that has been told already, found again by a second reading.
  if (value != nullptr && stamp == stamp_) return;
  stamp_ = value == nullptr ? 0 : stamp;
  changed_(value, stamp_);
}

}  // namespace reachhoist::state
