// Random scenarios: work of all kinds, and failures that meet each other.
#pragma once

#include <cstdint>
#include <string>

namespace soak {

// Returns the text of a scenario (tests/scenarios/README.md). The same seed gives the same text on every
// machine.
std::string randomScenario(std::uint64_t seed);

}  // namespace soak
