// Plays random scenarios, in which failures of all kinds meet. The environment variables SOAK_FIRST_SEED and
// SOAK_COUNT choose them.
#include <gtest/gtest.h>

#include <cstdlib>
#include <sstream>

#include "scenario/scenario.hpp"
#include "soak/random_scenario.hpp"

namespace {

std::uint64_t environmentNumber(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::stoull(text);
}

TEST(Soak, RandomFailuresViolateNoRule) {
  const std::uint64_t first = environmentNumber("SOAK_FIRST_SEED", 1);
  const std::uint64_t count = environmentNumber("SOAK_COUNT", 20);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const std::string text = soak::randomScenario(seed);
    std::istringstream lines(text);
    scenario::Scenario(lines).run();
    if (testing::Test::HasFailure()) FAIL() << "seed " << seed << " failed:\n" << text;
  }
}

}  // namespace
