// Plays each scenario file as a test of its own; tests/scenarios/README.md describes their language.
#include "scenario/scenario.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>

namespace {

namespace fs = std::filesystem;

class Scenarios : public testing::TestWithParam<fs::path> {};

TEST_P(Scenarios, KeepsTheRulesAndWhatItExpects) { scenario::Scenario(GetParam()).run(); }

std::vector<fs::path> files() {
  std::vector<fs::path> out;
  for (const auto& entry : fs::directory_iterator(SCENARIO_DIR))
    if (entry.path().extension() == ".txt") out.push_back(entry.path());
  std::sort(out.begin(), out.end());
  return out;
}

INSTANTIATE_TEST_SUITE_P(Files, Scenarios, testing::ValuesIn(files()), [](const auto& info) {
  std::string label = info.param.stem().string();
  for (char& c : label)
    if (std::isalnum(static_cast<unsigned char>(c)) == 0) c = '_';
  return label;
});

}  // namespace
