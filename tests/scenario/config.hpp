// What a scenario's setting lines say about its world (tests/scenarios/README.md).
#pragma once

#include <filesystem>
#include <vector>

#include "scenario/script.hpp"
#include "standin/world.hpp"

namespace scenario {

struct Config {
  Config();

  std::filesystem::path records;  // of an earlier version, in the key-value store at the start; empty: none
  reachhoist::config::Settings settings;
  std::vector<standin::MachineTypeSpec> machineTypes;
  standin::KeyValueStore::Limits limits;
  std::uint64_t seed = 1;
  std::size_t controllers = 3;
  double endS = 120;
  bool large = false;  // too slow for the sanitizers
  double clockSlowdown = 0;
  bool lowerLimitsAnnounced = false;

  // Fills in what follows from the settings, once all lines have been read.
  void complete();
};

// Applies a setting line. False: the line is a step.
bool applySetting(Config& config, const Line& line);

}  // namespace scenario
