// Stores the sizing state in the key-value store for the next leader.
#pragma once

#include "fleet/sizing.hpp"
#include "service/leader/leader_state.hpp"
#include "state/callback_guard.hpp"

namespace reachhoist::service {

// Loads the sizing state once and saves it every constants::kSizingStateSaveInterval.
class SizingStateStore {
 public:
  SizingStateStore(LeaderState& state, fleet::Sizing& sizing)
      : state_(state), context_(state.context), sizing_(sizing) {}
  SizingStateStore(const SizingStateStore&) = delete;

  // Starts to load the stored copy. No component waits for it: until it has been loaded, sizing follows the
  // queues.
  void load();
  // Saves a copy when it is due.
  void tick();

 private:
  LeaderState& state_;
  Context& context_;
  fleet::Sizing& sizing_;
  Time nextSaveAt_{};
  state::CallbackGuard guard_;
};

}  // namespace reachhoist::service
