#include <gtest/gtest.h>

#include <sstream>

#include "scenario/scenario.hpp"

namespace scenario {

void Scenario::expect(World& world, const Line& line) const {
  const auto& words = line.words;
  const std::string& what = words.at(2);
  std::ostringstream where;
  where << "line " << line.number << " at " << world.sim.now() << " s";
  const auto compare = [&](double actual, std::size_t from) {
    const double wanted = std::stod(words.at(from + 1));
    const std::string& how = words.at(from);
    const bool good = how == "==" ? actual == wanted : how == ">=" ? actual >= wanted : actual <= wanted;
    EXPECT_TRUE(good) << where.str() << ": " << what << " is " << actual << ", wanted " << how << " "
                      << wanted;
  };
  if (what == "running") {
    compare(static_cast<double>(world.checker.onMachines(words.at(3))), 4);
  } else if (what == "stage") {
    EXPECT_EQ(world.stage[words.at(3)], words.at(4)) << where.str();
  } else if (what == "answer") {
    compare(world.accepted.contains(words.at(3)) ? world.accepted.at(words.at(3)) : 0, 4);
  } else if (what == "starts") {
    compare(static_cast<double>(world.checker.starts()), 3);
  } else if (what == "rented") {
    compare(static_cast<double>(world.rented), 3);
  } else if (what == "done") {
    double done = 0;
    for (const auto& [ref, stage] : world.stage) done += stage == "done" ? 1 : 0;
    compare(done, 3);
  } else if (what == "gang-starts") {
    compare(static_cast<double>(world.gangStarts), 3);
  } else if (what == "gang-saves") {
    compare(static_cast<double>(world.gangSaves), 3);
  } else if (what == "layout") {
    compare(static_cast<double>(world.state.value("leader-term").value("layout", 0)), 3);
  } else if (what == "refused-size") {
    compare(static_cast<double>(world.state.refusedBySize()), 3);
  } else if (what == "late-starts") {
    compare(static_cast<double>(world.checker.startsAfterCancel()), 3);
  } else if (what == "refused") {
    double refused = 0;
    for (const auto& [ref, status] : world.refusals) refused += status == 400 || status == 422 ? 1 : 0;
    compare(refused, 3);
  } else if (what == "odd") {
    compare(static_cast<double>(world.refusals.size()), 3);
  } else if (what == "ended-and-cancelled") {
    compare(static_cast<double>(world.cancelledAtEnd.size()), 3);
  } else if (what == "changes") {
    compare(static_cast<double>(world.state.changes()), 3);
  } else if (what == "requests") {
    compare(static_cast<double>(world.state.requests()), 3);
  } else if (what == "elections") {
    compare(static_cast<double>(world.elections), 3);
  } else if (what == "cpus") {
    compare(world.cpusOfClass(words.at(3)), 4);
  } else if (what == "stops") {
    compare(static_cast<double>(world.stops), 3);
  } else if (what == "edit") {
    EXPECT_EQ(world.operators->told(words.at(3)), words.at(4)) << where.str();
  } else if (what == "shares-generation") {
    compare(static_cast<double>(world.state.value("shares/table").value("generation", 0)), 3);
  } else if (what == "shares-reported") {
    compare(static_cast<double>(world.state.value("shares/status").value("generation", 0)), 3);
  } else if (what == "shares-refused") {
    compare(static_cast<double>(world.sharesRefused), 3);
  } else if (what == "served") {
    for (const std::string& broken : world.checker.unserved()) ADD_FAILURE() << where.str() << ": " << broken;
  } else if (what == "calls") {
    compare(static_cast<double>(world.workerCallsMost), 3);
  } else if (what == "lost-leases") {
    compare(static_cast<double>(world.leasesLost), 3);
  } else if (what == "up") {
    double up = 0;
    for (const auto& [host, worker] : world.workers) up += worker->alive() ? 1 : 0;
    compare(up, 3);
  } else {
    ADD_FAILURE() << where.str() << ": unknown expectation " << what;
  }
}

}  // namespace scenario
