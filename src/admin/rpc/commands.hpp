// The operators' commands. Each command makes one call to the admin daemon.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace reachhoist::admin {

// Options of all commands.
struct CommandOptions {
  std::string address;    // of the daemon, in gRPC's notation
  double deadlineS = 10;  // seconds to wait for an answer; watchStatus() ignores it
};

// Options of setShares().
struct SetOptions {
  std::vector<std::string> shares;  // GROUP=WEIGHT: groups to add, or whose weight to replace
  std::vector<std::string> remove;  // names of the groups to remove
  std::optional<double> others;     // weight of all jobs that match no group; unchanged if empty
  // The change is refused if the table's generation is another one. If empty, any generation is accepted.
  std::optional<std::uint64_t> expectedGeneration;
  std::string requestId;  // a change with the same id is applied only once; a new id is chosen if empty
  bool replace = false;   // `shares` becomes the whole table
};

// Each command returns the exit status, which is 0 for success and 1 for failure. It reports a failure on
// standard error.

// Prints the stored table.
int getShares(const CommandOptions& options);
// Changes the stored table.
int setShares(const CommandOptions& options, const SetOptions& change);
// Prints the entitled, running and demanded share of each group.
int showStatus(const CommandOptions& options);
// Prints the same as showStatus() whenever it changes, until the daemon or the user ends the call.
int watchStatus(const CommandOptions& options);

}  // namespace reachhoist::admin
