#include "scenario/steps.hpp"

#include <gtest/gtest.h>

namespace scenario {

namespace {

using standin::World;

// The controller whose Nth write below a prefix has just been applied crashes before it gets the answer.
void scheduleCrashAfterWrite(World& world, const Line& line) {
  const double restartAfterS = Options(line, 3).real("restart-after", 2);
  world.store.addAppliedListener([&world, prefix = line.word(1), left = line.integer(2), restartAfterS](
                                     const std::string& client, const std::string& key) mutable {
    if (key.starts_with(prefix) && left > 0 && --left == 0) world.controllers.crash(client, restartAfterS);
  });
}

void scheduleAction(World& world, const Line& line) {
  const std::string& action = line.word(2);
  const double at = line.real(1);
  if (action == "submit-many") return scheduleManySubmissions(world, line);
  if (action == "submit")
    return world.sim.at(at, [&world, job = parseJob(line)] { world.users.submit(job); });
  world.sim.at(at, [&world, line] { performAction(world, line); });
}

}  // namespace

void scheduleStep(World& world, const Line& line) {
  const std::string& step = line.word(0);
  if (step == "crash-after-write") return scheduleCrashAfterWrite(world, line);
  if (step == "at") return scheduleAction(world, line);
  if (step == "expect") return world.sim.at(line.real(1), [&world, line] { checkExpectation(world, line); });
  ADD_FAILURE() << "line " << line.lineNumber << ": unknown step " << step;
}

}  // namespace scenario
