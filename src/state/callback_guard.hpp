// Protects objects from callbacks that come after the object's end.
#pragma once

#include <memory>
#include <utility>

#include "wire/exchange.hpp"

namespace reachhoist::state {

// Held by an object that starts calls. The callbacks that it wraps do nothing once the guard was revoked or
// destroyed.
class CallbackGuard {
 public:
  CallbackGuard() = default;
  CallbackGuard(const CallbackGuard&) = delete;
  CallbackGuard& operator=(const CallbackGuard&) = delete;

  // A callback that passes its result on while the guard holds.
  template <class Callback>
  auto wrap(Callback callback) const {
    return
        [callback = std::move(callback), alive = std::weak_ptr<const int>(alive_)](const auto&... results) {
          if (!alive.expired()) callback(results...);
        };
  }
  // Disables all callbacks wrapped so far.
  void revoke() { alive_ = std::make_shared<const int>(0); }

 private:
  std::shared_ptr<const int> alive_ = std::make_shared<const int>(0);
};

}  // namespace reachhoist::state
