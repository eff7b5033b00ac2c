// Steps and expectations of scenarios, which are scheduled at their time in a simulated deployment.
#pragma once

#include "scenario/script.hpp"
#include "standin/world.hpp"

namespace scenario {

// Schedules a line that is not a setting. An unknown word fails the current test.
void scheduleStep(standin::World& world, const Line& line);

// actions.cpp: carries out the action of an "at" line now.
void performAction(standin::World& world, const Line& line);

// expectations.cpp: checks an "expect" line now.
void checkExpectation(standin::World& world, const Line& line);

// jobs.cpp: parses the job of an "at T submit" line.
standin::JobPlan parseJob(const Line& line);
// jobs.cpp: schedules the similar jobs of an "at T submit-many" line.
void scheduleManySubmissions(standin::World& world, const Line& line);

// share_actions.cpp: sends an operator's change of shares.
void changeShares(standin::World& world, const Line& line);
// share_actions.cpp: replaces the share table in the key-value store, by an invalid one for most kinds.
void overwriteShareTable(standin::World& world, const Line& line);

}  // namespace scenario
