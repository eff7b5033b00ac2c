// Watch of one key of the key-value store: reads it once, then follows its changes by revision. While the
// store is unreachable the last value remains valid, and calls are retried after a back-off.
#pragma once

#include <functional>
#include <string>

#include "state/callback_guard.hpp"
#include "state/client.hpp"

namespace reachhoist::state {

// Watch of a single key. Tells each new value (or deletion) once, in revision order.
class KeyWatch {
 public:
  // stopped: not begun. reading: the key is read as a whole. following: its changes are watched.
  enum class State { stopped, reading, following };
  // Called with each new value and its revision; a null value: there is no such key.
  using Changed = std::function<void(const Json* value, std::uint64_t revision)>;

  // Watches the key; changed is called for each of its values, from start() on.
  KeyWatch(Client& client, std::string key, Changed changed);
  KeyWatch(const KeyWatch&) = delete;

  // Reads the key and then follows it; call once, in state stopped.
  void start(Time now);
  // Retries a failed read or watch after the back-off; call on each tick of the event loop.
  void tick(Time now);

 private:
  void to(State next) { state_ = next; }
  void read();
  void onRead(const wire::CallResult& result);
  void watch();
  void onChanges(const wire::CallResult& result);
  void retry();
  void notify(const Json* value, std::uint64_t revision);

  Client& client_;
  std::string key_;
  Changed changed_;
  State state_ = State::stopped;
  std::uint64_t revision_ = 0;      // all changes up to here have been told
  std::uint64_t toldRevision_ = 0;  // of the value told last
  bool callInFlight_ = false;
  Time now_{};
  Time retryAt_{};
  CallbackGuard guard_;
};

}  // namespace reachhoist::state
