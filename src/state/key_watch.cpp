#include "state/key_watch.hpp"

#include "state/answers.hpp"
#include "wire/http_status.hpp"

namespace reachhoist::state {

KeyWatch::KeyWatch(Client& client, std::string key, ChangeCallback onChange)
    : client_(client), key_(std::move(key)), onChange_(std::move(onChange)) {}

void KeyWatch::start(Time now) {
  now_ = now;
  transitionTo(State::reading);
  read();
}

void KeyWatch::tick(Time now) {
  now_ = now;
  if (callInFlight_ || now < retryAt_) return;
  if (state_ == State::reading) read();
  if (state_ == State::following) watch();
}

void KeyWatch::scheduleRetry() { retryAt_ = now_ + constants::kStateBackoff; }

void KeyWatch::read() {
  callInFlight_ = true;
  client_.get(now_, Urgency::background, key_, guard_.wrap([this](const wire::CallResult& result) {
    callInFlight_ = false;
    onRead(result);
  }));
}

void KeyWatch::onRead(const wire::CallResult& result) {
  const auto read = decodeRead(result);
  if (!read) return scheduleRetry();
  revision_ = read->revision;
  report(read->value, read->revision);
  transitionTo(State::following);
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
  // The store no longer keeps the changes, or they exceed the size limit, so the key is read again.
  if (result.status == http::kGone || result.responseTooLarge) transitionTo(State::reading);
  const auto batch = decodeWatch(result);
  if (!batch) return scheduleRetry();
  for (const KeyValue& event : batch->events)
    if (event.key == key_ && event.revision > revision_) report(event.value, event.revision);
  revision_ = std::max(revision_, batch->revision);
  watch();
}

void KeyWatch::report(const Json* value, std::uint64_t revision) {
  // A second read can return a value that has already been reported.
  if (value != nullptr && revision == reportedRevision_) return;
  reportedRevision_ = value == nullptr ? 0 : revision;
  onChange_(value, reportedRevision_);
}

}  // namespace reachhoist::state
