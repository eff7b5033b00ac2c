// The setting lines of a scenario, applied to the configuration of its deployment
// (tests/scenarios/README.md).
#pragma once

#include <filesystem>
#include <vector>

#include "scenario/script.hpp"
#include "standin/world.hpp"

namespace scenario {

struct Config {
  Config();

  std::filesystem::path storedState;  // records of an earlier version, in the store at the start; empty: none
  reachhoist::config::Settings settings;
  std::vector<standin::MachineTypeSpec> machineTypes;
  standin::KeyValueStore::Limits limits;
  std::uint64_t seed = 1;
  std::size_t controllers = 3;
  double endS = 120;
  bool skippedUnderSanitizers = false;
  double clockSlowdown = 0;  // share by which the clocks of controllers and workers run slow
  bool lowerLimitsAnnounced = false;

  // Fills in the settings that depend on others. Called once all lines have been applied.
  void complete();
};

// Applies a setting line. Returns false if the line is not a setting.
bool applySetting(Config& config, const Line& line);

}  // namespace scenario
