// Follows one key: reads it once, then watches it. Without the state service the last value stays known.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "state/client.hpp"

namespace reachhoist::state {

class KeyWatch {
 public:
  // stopped: not begun. reading: the key is read as a whole. following: its changes are watched.
  enum class State { stopped, reading, following };
  // A null value: there is no such key.
  using Changed = std::function<void(const Json* value, std::uint64_t stamp)>;

  KeyWatch(Client& client, std::string key, Changed changed);
  KeyWatch(const KeyWatch&) = delete;

  void start(Time now);
  void tick(Time now);

 private:
  void to(State next) { state_ = next; }
  void read();
  void onRead(const wire::CallResult& result);
  void watch();
  void onChanges(const wire::CallResult& result);
  void retry();
  void tell(const Json* value, std::uint64_t stamp);

  Client& client_;
  std::string key_;
  Changed changed_;
  State state_ = State::stopped;
  std::uint64_t ledger_ = 0;  // everything up to here has been taken
  std::uint64_t stamp_ = 0;   // of the value told last
  bool calling_ = false;
  Time now_{};
  Time retryAt_{};
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace reachhoist::state
