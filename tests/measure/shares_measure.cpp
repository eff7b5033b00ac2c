// Measures fair shares in virtual time: the convergence after a change of the share table (its duration and
// bound, the number of stopped tasks, the lost work), and the wall time of a placement round. This program is
// not a test. docs/limits.md has its figures.
//   shares_measure converge MACHINES [unsaved] | decide MACHINES
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>

#include "property/share_fleet.hpp"
#include "shares/convergence.hpp"
#include "standin/share_setup.hpp"
#include "standin/world.hpp"

namespace {

using namespace reachhoist;
using standin::JobPlan;
using standin::World;

constexpr double kCpusPerMachine = 16;
constexpr double kTaskCpus = 2;
constexpr double kTaskRunS = 300;
constexpr double kChangeAtS = 240;
constexpr double kWatchStepS = 0.25;
constexpr double kWatchDurationS = 400;
constexpr double kCheckpointDurationS = 2;
constexpr double kCheckpointIntervalS = 20;
constexpr double kImageSizeGb = 1;
constexpr double kImagePullGbPerS = 0.8;

config::Settings settings() {
  config::Settings result = standin::twoClassSettings({"a", "b", "c"}, 5, "10.0.0.1:1", 300);
  result.workers.heartbeatIntervalS = 4;
  result.workers.leaseS = 22;
  result.workers.cancelS = 42;
  result.cloudLimits.listLagS = 6;
  result.cloudLimits.requestsPerS = 4;
  result.processLimits.maxConnections = 6000;
  result.label = "unset";
  result.endpoints.cloud = "cloud";
  result.endpoints.state = "state";
  result.initialSize = result.initialPartitions = 5;
  auto& shares = result.operators.shares;
  shares.enabled = true;
  shares.groups = {{"class:survey", 3}, {"class:recon", 1}};
  return result;
}

standin::MachineTypeSpec machineType(const std::vector<std::string>& zones, int machines) {
  wire::MachineType type;
  type.name = "shuttle";
  type.capacity = {kCpusPerMachine, 0, 128};
  type.imagePullGbPerS = kImagePullGbPerS;
  type.spotPricePerHour = 0.5;
  type.nominalBootTimeS = 25;
  type.zones = zones;
  return standin::onDemandOnly(type, (machines + 2) / 3);
}

standin::KeyValueStore::Limits storeLimits() {
  standin::KeyValueStore::Limits limits;
  limits.requestsPerS = 60;
  limits.writesPerS = 20;
  limits.maxValueKib = 8;
  limits.opsPerTransaction = 12;
  return limits;
}

JobPlan arrayJob(std::uint32_t jobNumber, const std::string& jobClass, std::uint32_t taskCount,
                 bool hasCheckpoints) {
  return standin::arrayPlan({"job-" + std::to_string(jobNumber),
                             jobClass,
                             taskCount,
                             {kTaskCpus, 0, 8},
                             "img-" + jobClass,
                             kImageSizeGb,
                             kTaskRunS,
                             hasCheckpoints ? kCheckpointIntervalS : 0,
                             hasCheckpoints ? kCheckpointDurationS : 0});
}

// Submits, for each of the two classes, twice as many tasks as the machines can run at the same time.
void submitDemand(World& world, double totalCpus, bool hasCheckpoints) {
  constexpr std::uint32_t kJobsPerClass = 20;
  const auto taskCount = static_cast<std::uint32_t>(2 * totalCpus / kTaskCpus) / kJobsPerClass;
  for (std::uint32_t i = 0; i < kJobsPerClass; ++i) {
    world.sim.at(1, [&world, i, taskCount, hasCheckpoints] {
      world.users.submit(arrayJob(1000 + i, "survey", taskCount, hasCheckpoints));
    });
    world.sim.at(1, [&world, i, taskCount, hasCheckpoints] {
      world.users.submit(arrayJob(2000 + i, "recon", taskCount, hasCheckpoints));
    });
  }
}

// The times from a change of the share table to the two stages of its convergence. A time is -1 if the stage
// was not reached during the watch.
struct Convergence {
  double freedS = -1;      // the shrinking class has stopped enough tasks
  double convergedS = -1;  // the growing class has also started as many tasks
};

Convergence watchConvergence(World& world, double totalCpus) {
  Convergence result;
  const double toleranceCpus = std::max(0.01 * totalCpus, 2 * kTaskCpus);
  for (double nowS = kChangeAtS; nowS < kChangeAtS + kWatchDurationS && result.convergedS < 0;
       nowS += kWatchStepS) {
    world.sim.runUntil(nowS);
    const double surveyCpus = world.cpusOfClass("survey");
    const double reconCpus = world.cpusOfClass("recon");
    if (surveyCpus > totalCpus / 4 + toleranceCpus) continue;
    if (result.freedS < 0) result.freedS = nowS - kChangeAtS;
    if (reconCpus >= 3 * totalCpus / 4 - toleranceCpus) result.convergedS = nowS - kChangeAtS;
  }
  return result;
}

// The capacity that the change from 3:1 to 1:3 shifts, as input to the convergence bound. `surveyBefore` is
// the part of the capacity that the class "survey" uses before the change.
shares::CapacityShift capacityShift(double surveyBefore, double totalCpus, bool hasCheckpoints) {
  shares::CapacityShift shift;
  shift.share = surveyBefore - 0.25;
  shift.tasks = static_cast<std::size_t>(shift.share * totalCpus / kTaskCpus);
  shift.gracePeriodS = hasCheckpoints ? kCheckpointDurationS + 1 : 0;
  shift.imagePullS = kImageSizeGb / kImagePullGbPerS;
  return shift;
}

// Prints the violations that the checker found, and returns the exit status.
int reportViolations(const World& world) {
  for (const std::string& violation : world.checker.violations())
    std::printf("violation: %s\n", violation.c_str());
  return world.checker.violations().empty() ? 0 : 1;
}

// Changes the weights of two classes from 3:1 to 1:3 and measures how long placements take to follow. Returns
// the exit status.
int measureConvergence(int requestedMachines, bool hasCheckpoints) {
  const config::Settings base = settings();
  const standin::MachineTypeSpec spec = machineType(base.zones, requestedMachines);
  World world(base, {spec}, storeLimits(), 1);
  if (std::getenv("SCENARIO_LOG") != nullptr)
    world.log = [](const std::string& line) { std::cout << line << "\n"; };
  world.start();
  const int machineCount = 3 * spec.onDemandPerZone;
  const double totalCpus = machineCount * kCpusPerMachine;
  submitDemand(world, totalCpus, hasCheckpoints);
  world.sim.runUntil(kChangeAtS);
  const double surveyBefore = world.cpusOfClass("survey") / totalCpus;
  const std::size_t taskStopsBefore = world.counters.taskStops;
  shares::Change change;
  change.requestId = "measure";
  change.set = {{*shares::parseGroup("class:survey"), 1}, {*shares::parseGroup("class:recon"), 3}};
  world.operators->change(change, 0.005);
  const Convergence convergence = watchConvergence(world, totalCpus);
  const shares::CapacityShift shift = capacityShift(surveyBefore, totalCpus, hasCheckpoints);
  std::printf(
      "machines=%d survey_before=%.3f freed_s=%.2f converged_s=%.2f stops=%zu work_lost_s=%.1f moved=%zu\n",
      machineCount, surveyBefore, convergence.freedS, convergence.convergedS,
      world.counters.taskStops - taskStopsBefore, world.counters.lostRunS, shift.tasks);
  std::printf("bound_s=%.1f steps=%zu (without the time to store the placements)\n",
              shares::convergenceBoundS(world.baseSettings, shift),
              shares::reclaimSteps(world.baseSettings, shift));
  return reportViolations(world);
}

// Runs the action and returns its wall time.
double wallTimeMs(const std::function<void()>& action) {
  const auto startedAt = std::chrono::steady_clock::now();
  action();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - startedAt).count();
}

// Measures placement rounds with fair shares disabled, with fair shares enabled, and after a change of the
// weights. Returns the exit status.
int measureRounds(int machineCount) {
  constexpr int kRounds = 20;
  const auto fillFleet = [&](share_fleet::ShareFleet& fleet) {
    for (std::uint32_t i = 0; i < 40; ++i)
      fleet.submit({i % 2, static_cast<std::uint32_t>(machineCount * 16 / 40), {kTaskCpus, 0, 8}, false});
    fleet.runUntilStable();
  };
  for (const bool sharesEnabled : {false, true}) {
    share_fleet::ShareFleet fleet(static_cast<std::size_t>(machineCount), {3, 1}, 0.1);
    fillFleet(fleet);
    fleet.setSharesEnabled(sharesEnabled);
    double totalMs = 0;
    for (int round = 0; round < kRounds; ++round) totalMs += wallTimeMs([&] { fleet.runRound(); });
    std::printf("machines=%d shares=%s round_ms=%.2f\n", machineCount, sharesEnabled ? "on" : "off",
                totalMs / kRounds);
    if (!sharesEnabled) continue;
    fleet.setWeights({1, 3});
    std::size_t preemptionCount = 0;
    const double roundMs = wallTimeMs([&] { preemptionCount = fleet.runRound().preemptions.size(); });
    std::printf("machines=%d reclaiming round_ms=%.2f stops=%zu\n", machineCount, roundMs, preemptionCount);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc >= 3 && std::string(argv[1]) == "converge")
    return measureConvergence(std::atoi(argv[2]), argc == 3);
  if (argc == 3 && std::string(argv[1]) == "decide") return measureRounds(std::atoi(argv[2]));
  std::cerr << "shares_measure converge MACHINES [unsaved] | decide MACHINES\n";
  return 2;
}
