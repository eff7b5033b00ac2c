// Steps of scenarios: what happens in a world, and what is expected of it, at which time.
#pragma once

#include "scenario/script.hpp"
#include "standin/world.hpp"

namespace scenario {

// Schedules a line that is no setting. An unknown word is a failure of the current test.
void scheduleStep(standin::World& world, const Line& line);

// actions.cpp: carries out the action of an "at" line now.
void act(standin::World& world, const Line& line);

// expectations.cpp: checks an "expect" line now.
void expect(standin::World& world, const Line& line);

// jobs.cpp: the job of an "at T submit" line.
standin::JobPlan parseJob(const Line& line);
// jobs.cpp: schedules the similar jobs of an "at T submit-many" line.
void scheduleCrowd(standin::World& world, const Line& line);

// share_actions.cpp: an operator's change of shares.
void setShares(standin::World& world, const Line& line);
// share_actions.cpp: a share table, possibly an invalid one, that appears in the key-value store.
void storeShares(standin::World& world, const Line& line);

}  // namespace scenario
