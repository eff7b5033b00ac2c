// One scenario: its text sets up a world, schedules what happens in it and says what must be the case
// (tests/scenarios/README.md).
#pragma once

#include <filesystem>
#include <vector>

#include "scenario/script.hpp"

namespace scenario {

class Scenario {
 public:
  explicit Scenario(const std::filesystem::path& path);
  // Plays it; broken rules and expectations are failures of the current test.
  void run() const;

 private:
  std::vector<Line> lines_;
};

}  // namespace scenario
