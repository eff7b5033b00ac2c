#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <sstream>

#include "scenario/steps.hpp"

namespace scenario {

namespace {

using standin::World;

// Where an expectation stands in the script, and when it was checked.
std::string location(const World& world, const Line& line) {
  std::ostringstream out;
  out << "line " << line.number << " at " << world.sim.now() << " s";
  return out.str();
}

// --- quantities, which an operator and a number follow

using Measure = double (*)(World&, const Line&);

struct Quantity {
  Measure measure = nullptr;
  std::size_t operatorIndex = 3;  // in the words of the line; 4: the quantity takes an argument
};

double storedNumber(const World& world, const std::string& key, const std::string& field) {
  return static_cast<double>(world.store.value(key).value(field, 0));
}

double refusedInvalidSubmissions(World& world, const Line&) {
  const auto& statuses = world.users.invalidSubmissionStatus();
  return static_cast<double>(std::count_if(statuses.begin(), statuses.end(), [](const auto& entry) {
    return entry.second == 400 || entry.second == 422;
  }));
}

template <class Count>
double toReal(Count count) {
  return static_cast<double>(count);
}

const std::map<std::string, Quantity>& quantitiesByWord() {
  static const std::map<std::string, Quantity> kQuantities{
      {"running", {[](World& w, const Line& l) { return toReal(w.checker.onMachines(l.text(3))); }, 4}},
      {"submission-status",
       {[](World& w, const Line& l) { return toReal(w.users.submissionStatus(l.text(3))); }, 4}},
      {"cpus", {[](World& w, const Line& l) { return w.cpusOfClass(l.text(3)); }, 4}},
      {"task-starts", {[](World& w, const Line&) { return toReal(w.checker.starts()); }}},
      {"starts-after-cancel", {[](World& w, const Line&) { return toReal(w.checker.startsAfterCancel()); }}},
      {"instances-provisioned", {[](World& w, const Line&) { return toReal(w.cloud.provisioned()); }}},
      {"machines-up", {[](World& w, const Line&) { return toReal(w.aliveMachines()); }}},
      {"jobs-done", {[](World& w, const Line&) { return toReal(w.users.countInStage("done")); }}},
      {"gang-starts", {[](World& w, const Line&) { return toReal(w.gangs.starts()); }}},
      {"gang-checkpoints", {[](World& w, const Line&) { return toReal(w.gangs.saves()); }}},
      {"invalid-refused", {refusedInvalidSubmissions}},
      {"invalid-answered",
       {[](World& w, const Line&) { return toReal(w.users.invalidSubmissionStatus().size()); }}},
      {"cancelled-at-end", {[](World& w, const Line&) { return toReal(w.users.cancelledAtEnd()); }}},
      {"refused-for-size", {[](World& w, const Line&) { return toReal(w.store.refusedBySize()); }}},
      {"store-writes", {[](World& w, const Line&) { return toReal(w.store.changes()); }}},
      {"store-requests", {[](World& w, const Line&) { return toReal(w.store.requests()); }}},
      {"elections", {[](World& w, const Line&) { return toReal(w.counters.elections); }}},
      {"task-stops", {[](World& w, const Line&) { return toReal(w.counters.taskStops); }}},
      {"max-worker-calls", {[](World& w, const Line&) { return toReal(w.counters.workerCallsInFlightMax); }}},
      {"lost-leases", {[](World& w, const Line&) { return toReal(w.counters.leasesLost); }}},
      {"share-tables-refused", {[](World& w, const Line&) { return toReal(w.counters.shareTablesRefused); }}},
      {"layout", {[](World& w, const Line&) { return storedNumber(w, "leader-term", "layout"); }}},
      {"shares-generation",
       {[](World& w, const Line&) { return storedNumber(w, "shares/table", "generation"); }}},
      {"shares-reported-generation",
       {[](World& w, const Line&) { return storedNumber(w, "shares/status", "generation"); }}},
  };
  return kQuantities;
}

bool holds(double actual, const std::string& comparison, double expected) {
  if (comparison == "==") return actual == expected;
  if (comparison == ">=") return actual >= expected;
  return actual <= expected;
}

void expectQuantity(World& world, const Line& line, const Quantity& quantity) {
  const double actual = quantity.measure(world, line);
  const std::string& comparison = line.text(quantity.operatorIndex);
  const double expected = line.real(quantity.operatorIndex + 1);
  EXPECT_TRUE(holds(actual, comparison, expected)) << location(world, line) << ": " << line.text(2) << " is "
                                                   << actual << ", wanted " << comparison << " " << expected;
}

// --- other expectations

void expectStage(World& world, const Line& line) {
  EXPECT_EQ(world.users.lastStage(line.text(3)), line.text(4)) << location(world, line);
}

void expectVerdictOfEdit(World& world, const Line& line) {
  EXPECT_EQ(world.operators->verdict(line.text(3)), line.text(4)) << location(world, line);
}

void expectAllServed(World& world, const Line& line) {
  for (const std::string& unserved : world.checker.unserved())
    ADD_FAILURE() << location(world, line) << ": " << unserved;
}

using Expectation = void (*)(World&, const Line&);

const std::map<std::string, Expectation>& expectationsByWord() {
  static const std::map<std::string, Expectation> kExpectations{
      {"stage", expectStage},
      {"share-change", expectVerdictOfEdit},
      {"no-starvation", expectAllServed},
  };
  return kExpectations;
}

}  // namespace

void expect(World& world, const Line& line) {
  const std::string& word = line.text(2);
  if (const auto found = quantitiesByWord().find(word); found != quantitiesByWord().end())
    return expectQuantity(world, line, found->second);
  if (const auto found = expectationsByWord().find(word); found != expectationsByWord().end())
    return found->second(world, line);
  ADD_FAILURE() << location(world, line) << ": unknown expectation " << word;
}

}  // namespace scenario
