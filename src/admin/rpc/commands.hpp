// The operators' commands. Each is one call to the admin daemon.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace reachhoist::admin {

// Options of all commands.
struct CommandOptions {
  std::string address;    // of the daemon, as gRPC takes it
  double deadlineS = 10;  // seconds to wait for an answer; watchStatus() has no deadline
};

// Options of setShares().
struct SetOptions {
  std::vector<std::string> shares;                  // GROUP=WEIGHT, to add or replace
  std::vector<std::string> remove;                  // groups
  std::optional<double> others;                     // weight of all work in no group; none: unchanged
  std::optional<std::uint64_t> expectedGeneration;  // none: any
  std::string requestId;                            // makes a repetition idempotent; empty: a new one
  bool replace = false;                             // `shares` becomes the whole table
};

// Each command returns the exit status: 0 for success, 1 for a failure, which it reports in one line on
// standard error.

// Prints the stored table.
int getShares(const CommandOptions& options);
// Changes the stored table.
int setShares(const CommandOptions& options, const SetOptions& change);
// Prints what each group is entitled to, runs and demands.
int showStatus(const CommandOptions& options);
// Prints the same whenever it changes, until the daemon or the user ends it.
int watchStatus(const CommandOptions& options);

}  // namespace reachhoist::admin
