#include "scenario/scenario.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "scenario/config.hpp"
#include "scenario/steps.hpp"
#include "standin/earlier_version_records.hpp"

namespace scenario {

namespace {

standin::Json readJson(const std::filesystem::path& path) {
  std::ifstream in(path);
  return standin::Json::parse(in);
}

void loadStoredState(standin::World& world, const std::filesystem::path& path) {
  const standin::Json records = readJson(path);
  standin::EarlierVersionRecords(world, records).load();
}

}  // namespace

Scenario::Scenario(const std::filesystem::path& path) {
  std::ifstream in(path);
  read(in);
}

Scenario::Scenario(std::istream& in) { read(in); }

void Scenario::read(std::istream& in) {
  std::string lineText;
  for (int lineNumber = 1; std::getline(in, lineText); ++lineNumber) {
    std::istringstream words(lineText.substr(0, lineText.find('#')));
    Line line{lineNumber, {}};
    for (std::string word; words >> word;) line.words.push_back(word);
    if (!line.words.empty()) lines_.push_back(std::move(line));
  }
}

void Scenario::run() const {
  Config config;
  std::vector<Line> steps;
  for (const Line& line : lines_)
    if (!applySetting(config, line)) steps.push_back(line);
#ifdef SANITIZED
  if (config.skippedUnderSanitizers)
    GTEST_SKIP() << "too slow under the sanitizers; the build without them runs it";
#endif
  config.complete();
  standin::World world(config.settings, config.machineTypes, config.limits, config.seed);
  world.faults.clockSlowdown = config.clockSlowdown;
  if (config.lowerLimitsAnnounced) {
    // The controllers keep to the announced limits, while the key-value store still allows the current ones.
    world.baseSettings.stateLimits.maxValueKib = config.settings.stateLimits.maxValueKib;
    world.baseSettings.stateLimits.opsPerTransaction = config.settings.stateLimits.opsPerTransaction;
  }
  if (std::getenv("SCENARIO_LOG") != nullptr)
    world.log = [](const std::string& line) { std::cout << line << "\n"; };
  world.start();
  if (!config.storedState.empty()) loadStoredState(world, config.storedState);
  for (const Line& line : steps) scheduleStep(world, line);
  world.sim.runUntil(config.endS);
  world.checker.finish();
  for (const std::string& violation : world.checker.violations())
    ADD_FAILURE() << "violated rule: " << violation;
}

}  // namespace scenario
