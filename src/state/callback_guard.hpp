// Protects objects from callbacks that are called after the object was destroyed.
#pragma once

#include <memory>
#include <utility>

#include "wire/exchange.hpp"

namespace reachhoist::state {

// An object that starts calls owns a guard and wraps its callbacks with it. The wrapped callbacks do nothing
// after the guard was revoked or destroyed.
class CallbackGuard {
 public:
  CallbackGuard() = default;
  CallbackGuard(const CallbackGuard&) = delete;
  CallbackGuard& operator=(const CallbackGuard&) = delete;

  // Returns a callback that forwards its arguments until the guard is revoked or destroyed.
  template <class Callback>
  auto wrap(Callback callback) const {
    return
        [callback = std::move(callback), alive = std::weak_ptr<const int>(alive_)](const auto&... results) {
          if (!alive.expired()) callback(results...);
        };
  }
  // Disables all callbacks that were wrapped so far.
  void revoke() { alive_ = std::make_shared<const int>(0); }

 private:
  std::shared_ptr<const int> alive_ = std::make_shared<const int>(0);
};

}  // namespace reachhoist::state
