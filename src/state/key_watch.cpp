#include "state/key_watch.hpp"

#include "state/answers.hpp"
#include "wire/http_status.hpp"

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
  client_.get(now_, Urgency::background, key_, guard_.wrap([this](const wire::CallResult& result) {
    callInFlight_ = false;
    onRead(result);
  }));
}

void KeyWatch::onRead(const wire::CallResult& result) {
  const auto read = decodeRead(result);
  if (!read) return retry();
  revision_ = read->revision;
  notify(read->value, read->revision);
  to(State::following);
  watch();
}

void KeyWatch::watch() {
  callInFlight_ = true;
  client_.watch(now_, Urgency::background, key_, revision_, constants::kWatchPollTimeout,
                guard_.wrap([this](const wire::CallResult& result) {
                  callInFlight_ = false;
                  onChanges(result);
                }));
}

void KeyWatch::onChanges(const wire::CallResult& result) {
  // The store no longer keeps the changes, or they exceed the size limit: the key is read anew.
  if (result.status == http::kGone || result.responseTooLarge) to(State::reading);
  const auto batch = decodeWatch(result);
  if (!batch) return retry();
  for (const KeyValue& event : batch->events)
    if (event.key == key_ && event.revision > revision_) notify(event.value, event.revision);
  revision_ = std::max(revision_, batch->revision);
  watch();
}

void KeyWatch::notify(const Json* value, std::uint64_t revision) {
  // A second read may return a value that has been told already.
  if (value != nullptr && revision == toldRevision_) return;
  toldRevision_ = value == nullptr ? 0 : revision;
  changed_(value, toldRevision_);
}

}  // namespace reachhoist::state
