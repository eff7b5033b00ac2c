// Runs each scenario file as a test that is named after the file. tests/scenarios/README.md describes their
// language.
#include "scenario/scenario.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>

namespace {

namespace fs = std::filesystem;

class Scenarios : public testing::TestWithParam<fs::path> {};

TEST_P(Scenarios, ViolatesNoRuleAndMeetsItsExpectations) { scenario::Scenario(GetParam()).run(); }

std::vector<fs::path> scenarioFiles() {
  std::vector<fs::path> paths;
  for (const auto& entry : fs::directory_iterator(SCENARIO_DIR))
    if (entry.path().extension() == ".txt") paths.push_back(entry.path());
  std::sort(paths.begin(), paths.end());
  return paths;
}

INSTANTIATE_TEST_SUITE_P(Files, Scenarios, testing::ValuesIn(scenarioFiles()), [](const auto& info) {
  std::string testName = info.param.stem().string();
  for (char& c : testName)
    if (std::isalnum(static_cast<unsigned char>(c)) == 0) c = '_';
  return testName;
});

}  // namespace
