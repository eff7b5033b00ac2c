// Watch of one key of the key-value store. The watch reads the key once and then follows its changes by
// revision. While the store is unreachable, the last value remains valid and calls are retried after a
// back-off.
#pragma once

#include <functional>
#include <string>

#include "state/callback_guard.hpp"
#include "state/client.hpp"

namespace reachhoist::state {

// Watches a single key and reports each new value or deletion once, in revision order.
class KeyWatch {
 public:
  // stopped: start() has not been called. reading: the key is being read. following: its changes are being
  // watched.
  enum class State { stopped, reading, following };
  // Called with each new value and its revision. The value is null if the key does not exist.
  using ChangeCallback = std::function<void(const Json* value, std::uint64_t revision)>;

  // `onChange` is called for each value of the key after start().
  KeyWatch(Client& client, std::string key, ChangeCallback onChange);
  KeyWatch(const KeyWatch&) = delete;

  // Reads the key and then follows its changes. It must be called once.
  void start(Time now);
  // Retries a failed read or watch after the back-off. It must be called on each tick of the event loop.
  void tick(Time now);

 private:
  void transitionTo(State next) { state_ = next; }
  void read();
  void onRead(const wire::CallResult& result);
  void watch();
  void onChanges(const wire::CallResult& result);
  void scheduleRetry();
  void report(const Json* value, std::uint64_t revision);

  Client& client_;
  std::string key_;
  ChangeCallback onChange_;
  State state_ = State::stopped;
  std::uint64_t revision_ = 0;          // all changes up to this revision have been reported
  std::uint64_t reportedRevision_ = 0;  // mod revision of the last reported value
  bool callInFlight_ = false;
  Time now_{};
  Time retryAt_{};
  CallbackGuard guard_;
};

}  // namespace reachhoist::state
