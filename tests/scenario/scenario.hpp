// One scenario file (tests/scenarios/README.md): the settings of a simulated deployment, steps that are
// scheduled in it, and expectations.
#pragma once

#include <filesystem>
#include <istream>
#include <vector>

#include "scenario/script.hpp"

namespace scenario {

class Scenario {
 public:
  explicit Scenario(const std::filesystem::path& path);
  // Reads the lines of a scenario from the stream.
  explicit Scenario(std::istream& in);
  // Runs the scenario. Violated rules and unmet expectations fail the current test.
  void run() const;

 private:
  void read(std::istream& in);

  std::vector<Line> lines_;
};

}  // namespace scenario
