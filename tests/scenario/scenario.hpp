// One scenario: a world that its text sets up, acts on and looks at (tests/scenarios/README.md).
#pragma once

#include <filesystem>
#include <string>
#include <vector>

#include "scenario/script.hpp"
#include "standin/world.hpp"

namespace scenario {

namespace fs = std::filesystem;
using standin::JobPlan;
using standin::Json;
using standin::MachineTypeSpec;
using standin::World;

class Scenario {
 public:
  explicit Scenario(const fs::path& path);
  void run();

 private:
  // settings.cpp: what the world is like. False: the line is a step.
  bool set(const Line& line);
  // jobs.cpp: what users submit.
  JobPlan job(const Line& line) const;
  static void crowd(World& world, const Line& line);
  // actions.cpp: what happens, and when.
  std::string nodeName(const World& world, const std::string& word) const;
  void schedule(World& world, const Line& line);
  void act(World& world, const Line& line) const;
  // expectations.cpp: what must be the case.
  void expect(World& world, const Line& line) const;

  std::vector<Line> lines_;
  fs::path records_;  // of another version, found in the state service at the start
  reachhoist::config::Settings settings_;
  std::vector<MachineTypeSpec> machineTypes_;
  standin::StateService::Limits limits_;
  std::uint64_t seed_ = 1;
  std::size_t controllers_ = 3;
  double end_ = 120;
  bool large_ = false;
  double drift_ = 0;
  bool next_ = false;
};

}  // namespace scenario
