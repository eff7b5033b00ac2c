// The share table on a controller: every controller follows the stored record, the leader writes it first.
#pragma once

#include <cstdint>
#include <optional>

#include "service/context.hpp"
#include "shares/table.hpp"
#include "state/callback_guard.hpp"
#include "state/key_watch.hpp"

namespace reachhoist::service {

// Keeps Context::shares up to date with the stored share table. The last valid table stays in force whatever
// is stored after it.
class ShareTableFollower {
 public:
  explicit ShareTableFollower(Context& context);
  // Begins to watch the stored record; call once.
  void start() { watch_.start(context_.now); }
  // To be called every constants::kTickInterval. A leader writes the table of the operators' file if none or
  // an older one is stored.
  void tick(bool leads);

 private:
  void onRecord(const Json* value, std::uint64_t revision);
  void refuse(const config::FieldError& problem);
  void writeConfigured();

  Context& context_;
  shares::Table configured_;  // from the operators' file
  state::KeyWatch watch_;
  std::optional<std::uint64_t> storedGeneration_;  // 0: none is stored; unset: not known yet
  std::uint64_t revision_ = 0;                     // of the stored record
  bool writing_ = false;
  Time retryAt_{};
  state::CallbackGuard guard_;
};

}  // namespace reachhoist::service
