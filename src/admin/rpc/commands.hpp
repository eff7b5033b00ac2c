// The operators' commands: each one call to the daemon.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace reachhoist::admin {

struct CommandOptions {
  std::string address;
  double deadlineS = 10;
};

struct SetOptions {
  std::vector<std::string> shares;  // GROUP=WEIGHT
  std::vector<std::string> remove;
  std::optional<double> others;
  std::optional<std::uint64_t> expectedGeneration;
  std::string requestId;  // empty: a new one
  bool replace = false;
};

// Each returns the exit status: 0 done, 1 refused or no answer (said in one line on standard error).
int getShares(const CommandOptions& options);
int setShares(const CommandOptions& options, const SetOptions& change);
int showStatus(const CommandOptions& options);
int watchStatus(const CommandOptions& options);

}  // namespace reachhoist::admin
