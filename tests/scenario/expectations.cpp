#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <sstream>

#include "scenario/steps.hpp"

namespace scenario {

namespace {

using standin::World;

// The line number of an expectation and the time of its check.
std::string location(const World& world, const Line& line) {
  std::ostringstream description;
  description << "line " << line.lineNumber << " at " << world.sim.now() << " s";
  return description.str();
}

// --- quantities, each followed by an operator and a number

using Measure = double (*)(World&, const Line&);

struct Quantity {
  Measure measure = nullptr;
  std::size_t operatorIndex = 3;  // index in the words of the line; 4 if the quantity takes an argument
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
      {"running", {[](World& w, const Line& l) { return toReal(w.checker.runningTaskCount(l.word(3))); }, 4}},
      {"submission-status",
       {[](World& w, const Line& l) { return toReal(w.users.submissionStatus(l.word(3))); }, 4}},
      {"cpus", {[](World& w, const Line& l) { return w.cpusOfClass(l.word(3)); }, 4}},
      {"task-starts", {[](World& w, const Line&) { return toReal(w.checker.taskStartCount()); }}},
      {"starts-after-cancel", {[](World& w, const Line&) { return toReal(w.checker.startsAfterCancel()); }}},
      {"instances-provisioned", {[](World& w, const Line&) { return toReal(w.cloud.provisionedCount()); }}},
      {"machines-up", {[](World& w, const Line&) { return toReal(w.aliveMachines()); }}},
      {"jobs-done", {[](World& w, const Line&) { return toReal(w.users.countInStage("done")); }}},
      {"gang-starts", {[](World& w, const Line&) { return toReal(w.gangs.startCount()); }}},
      {"gang-checkpoints", {[](World& w, const Line&) { return toReal(w.gangs.checkpointCount()); }}},
      {"invalid-refused", {refusedInvalidSubmissions}},
      {"invalid-answered",
       {[](World& w, const Line&) { return toReal(w.users.invalidSubmissionStatus().size()); }}},
      {"cancelled-at-end", {[](World& w, const Line&) { return toReal(w.users.cancelledAtEnd()); }}},
      {"refused-for-size", {[](World& w, const Line&) { return toReal(w.store.refusedBySize()); }}},
      {"store-writes", {[](World& w, const Line&) { return toReal(w.store.writeCount()); }}},
      {"store-requests", {[](World& w, const Line&) { return toReal(w.store.requestCount()); }}},
      {"elections", {[](World& w, const Line&) { return toReal(w.counters.elections); }}},
      {"task-stops", {[](World& w, const Line&) { return toReal(w.counters.taskStops); }}},
      {"max-worker-calls", {[](World& w, const Line&) { return toReal(w.counters.workerCallsInFlightMax); }}},
      {"repeated-commands", {[](World& w, const Line&) { return toReal(w.counters.repeatedCommands); }}},
      {"repeated-requests", {[](World& w, const Line&) { return toReal(w.counters.repeatedRequests); }}},
      {"late-relays", {[](World& w, const Line&) { return toReal(w.counters.lateRelays); }}},
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

bool comparisonHolds(double actual, const std::string& comparison, double expected) {
  if (comparison == "==") return actual == expected;
  if (comparison == ">=") return actual >= expected;
  return actual <= expected;
}

void expectQuantity(World& world, const Line& line, const Quantity& quantity) {
  const double actual = quantity.measure(world, line);
  const std::string& comparison = line.word(quantity.operatorIndex);
  const double expected = line.real(quantity.operatorIndex + 1);
  EXPECT_TRUE(comparisonHolds(actual, comparison, expected))
      << location(world, line) << ": " << line.word(2) << " is " << actual << ", expected " << comparison
      << " " << expected;
}

// --- other expectations

void expectStage(World& world, const Line& line) {
  EXPECT_EQ(world.users.lastStage(line.word(3)), line.word(4)) << location(world, line);
}

void expectShareChangeVerdict(World& world, const Line& line) {
  EXPECT_EQ(world.operators->verdict(line.word(3)), line.word(4)) << location(world, line);
}

void expectNoStarvation(World& world, const Line& line) {
  for (const std::string& starved : world.checker.starvedGroups())
    ADD_FAILURE() << location(world, line) << ": " << starved;
}

using Expectation = void (*)(World&, const Line&);

const std::map<std::string, Expectation>& expectationsByWord() {
  static const std::map<std::string, Expectation> kExpectations{
      {"stage", expectStage},
      {"share-change", expectShareChangeVerdict},
      {"no-starvation", expectNoStarvation},
  };
  return kExpectations;
}

}  // namespace

void checkExpectation(World& world, const Line& line) {
  const std::string& word = line.word(2);
  if (const auto found = quantitiesByWord().find(word); found != quantitiesByWord().end())
    return expectQuantity(world, line, found->second);
  if (const auto found = expectationsByWord().find(word); found != expectationsByWord().end())
    return found->second(world, line);
  ADD_FAILURE() << location(world, line) << ": unknown expectation " << word;
}

}  // namespace scenario
