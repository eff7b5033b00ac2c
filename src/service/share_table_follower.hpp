// The share table on a controller. Every controller follows the stored record; the leader writes the first
// one from the operators' file.
#pragma once

#include <cstdint>
#include <optional>

#include "service/context.hpp"
#include "shares/table.hpp"
#include "state/callback_guard.hpp"
#include "state/key_watch.hpp"

namespace reachhoist::service {

// Keeps Context::shares up to date with the stored share table. If an invalid record is stored, the last
// valid table stays in force.
class ShareTableFollower {
 public:
  explicit ShareTableFollower(Context& context);
  // Begins to watch the stored record. It must be called once.
  void start() { watch_.start(context_.now); }
  // Drives the watch and, on the leader, writes the table of the operators' file if no table or an older one
  // is stored. It must be called every constants::kTickInterval.
  void tick(bool isLeading);

 private:
  void onRecord(const Json* value, std::uint64_t revision);
  void refuse(const config::FieldError& problem);
  void writeConfiguredTable();

  Context& context_;
  shares::Table configuredTable_;  // from the operators' file
  state::KeyWatch watch_;
  std::optional<std::uint64_t> storedGeneration_;  // 0 if none is stored; unset until it is read
  std::uint64_t storedRevision_ = 0;               // mod revision of the stored record
  bool writeInFlight_ = false;
  Time retryAt_{};
  state::CallbackGuard guard_;
};

}  // namespace reachhoist::service
