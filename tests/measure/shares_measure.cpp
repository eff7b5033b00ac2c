// Measures shares in virtual time: how long the machines take to follow a change compared with the bound, how
// many tasks are stopped, the work lost, and the cost of a scheduling round. Not a test: docs/limits.md has
// its figures.
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

constexpr double kCpus = 16;
constexpr double kTaskCpus = 2;
constexpr double kRunS = 300;
constexpr double kChangeAtS = 240;
constexpr double kStepS = 0.25;
constexpr double kWatchS = 400;
constexpr double kCheckpointS = 2;
constexpr double kCheckpointEveryS = 20;
constexpr double kSizeGb = 1;
constexpr double kPullGbPerS = 0.8;

config::Settings settings() {
  config::Settings out = standin::twoClassSettings({"a", "b", "c"}, 5, "10.0.0.1:1", 300);
  out.workers.heartbeatIntervalS = 4;
  out.workers.leaseS = 22;
  out.workers.cancelS = 42;
  out.cloudLimits.listLagS = 6;
  out.cloudLimits.requestsPerS = 4;
  out.processLimits.maxConnections = 6000;
  out.label = "unset";
  out.endpoints.cloud = "cloud";
  out.endpoints.state = "state";
  out.initialSize = out.initialPartitions = 5;
  auto& shares = out.operators.shares;
  shares.enabled = true;
  shares.groups = {{"class:survey", 3}, {"class:recon", 1}};
  return out;
}

standin::MachineTypeSpec machineType(const std::vector<std::string>& zones, int machines) {
  wire::MachineType type;
  type.name = "shuttle";
  type.capacity = {kCpus, 0, 128};
  type.imagePullGbPerS = kPullGbPerS;
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

JobPlan array(std::uint32_t number, const std::string& jobClass, std::uint32_t tasks, bool saves) {
  return standin::arrayPlan({"job-" + std::to_string(number),
                             jobClass,
                             tasks,
                             {kTaskCpus, 0, 8},
                             "img-" + jobClass,
                             kSizeGb,
                             kRunS,
                             saves ? kCheckpointEveryS : 0,
                             saves ? kCheckpointS : 0});
}

// Twice as much work as the machines can run at once, half of it of each class.
void submitDemand(World& world, double capacity, bool saves) {
  constexpr std::uint32_t kJobs = 20;
  const auto tasks = static_cast<std::uint32_t>(2 * capacity / kTaskCpus) / kJobs;
  for (std::uint32_t i = 0; i < kJobs; ++i) {
    world.sim.at(1,
                 [&world, i, tasks, saves] { world.users.submit(array(1000 + i, "survey", tasks, saves)); });
    world.sim.at(1,
                 [&world, i, tasks, saves] { world.users.submit(array(2000 + i, "recon", tasks, saves)); });
  }
}

// When the machines followed a change, in seconds after it; -1: not while it was watched.
struct Convergence {
  double freedS = -1;      // the shrinking class had stopped enough tasks
  double convergedS = -1;  // and the growing class had started as many
};

Convergence watchConvergence(World& world, double capacity) {
  Convergence result;
  const double slack = std::max(0.01 * capacity, 2 * kTaskCpus);
  for (double at = kChangeAtS; at < kChangeAtS + kWatchS && result.convergedS < 0; at += kStepS) {
    world.sim.runUntil(at);
    const double survey = world.cpusOfClass("survey");
    const double recon = world.cpusOfClass("recon");
    if (survey > capacity / 4 + slack) continue;
    if (result.freedS < 0) result.freedS = at - kChangeAtS;
    if (recon >= 3 * capacity / 4 - slack) result.convergedS = at - kChangeAtS;
  }
  return result;
}

// The part of the move from 3:1 to 1:3, for the bound.
shares::CapacityShift moveOf(double surveyBefore, double capacity, bool saves) {
  shares::CapacityShift move;
  move.share = surveyBefore - 0.25;
  move.tasks = static_cast<std::size_t>(move.share * capacity / kTaskCpus);
  move.gracePeriodS = saves ? kCheckpointS + 1 : 0;
  move.imagePullS = kSizeGb / kPullGbPerS;
  return move;
}

int reportBrokenRules(const World& world) {
  for (const std::string& broken : world.checker.violations())
    std::printf("broken rule: %s\n", broken.c_str());
  return world.checker.violations().empty() ? 0 : 1;
}

// Changes the shares of two classes from 3:1 to 1:3 and measures how long the machines take to follow.
int converge(int machines, bool saves) {
  const config::Settings base = settings();
  const standin::MachineTypeSpec spec = machineType(base.zones, machines);
  World world(base, {spec}, storeLimits(), 1);
  if (std::getenv("SCENARIO_LOG") != nullptr)
    world.log = [](const std::string& line) { std::cout << line << "\n"; };
  world.start();
  const int total = 3 * spec.onDemandPerZone;
  const double capacity = total * kCpus;
  submitDemand(world, capacity, saves);
  world.sim.runUntil(kChangeAtS);
  const double surveyBefore = world.cpusOfClass("survey") / capacity;
  const std::size_t stopsBefore = world.counters.taskStops;
  shares::Change change;
  change.requestId = "measure";
  change.set = {{*shares::parseGroup("class:survey"), 1}, {*shares::parseGroup("class:recon"), 3}};
  world.operators->change(change, 0.005);
  const Convergence convergence = watchConvergence(world, capacity);
  const shares::CapacityShift move = moveOf(surveyBefore, capacity, saves);
  std::printf(
      "machines=%d survey_before=%.3f freed_s=%.2f converged_s=%.2f stops=%zu work_lost_s=%.1f moved=%zu\n",
      total, surveyBefore, convergence.freedS, convergence.convergedS, world.counters.taskStops - stopsBefore,
      world.counters.lostRunS, move.tasks);
  std::printf("bound_s=%.1f steps=%zu (without the time to record the places)\n",
              shares::convergenceBoundS(world.baseSettings, move),
              shares::reclaimSteps(world.baseSettings, move));
  return reportBrokenRules(world);
}

// Wall time of the action in milliseconds.
double millis(const std::function<void()>& action) {
  const auto begin = std::chrono::steady_clock::now();
  action();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count();
}

// Measures scheduling rounds without shares, with shares, and with a change of shares.
int decide(int machines) {
  constexpr int kRounds = 20;
  const auto fill = [&](share_fleet::ShareFleet& fleet) {
    for (std::uint32_t i = 0; i < 40; ++i)
      fleet.submit({i % 2, static_cast<std::uint32_t>(machines * 16 / 40), {kTaskCpus, 0, 8}, false});
    fleet.runUntilStable();
  };
  for (const bool on : {false, true}) {
    share_fleet::ShareFleet fleet(static_cast<std::size_t>(machines), {3, 1}, 0.1);
    fill(fleet);
    fleet.enableShares(on);
    double sum = 0;
    for (int i = 0; i < kRounds; ++i) sum += millis([&] { fleet.runRound(); });
    std::printf("machines=%d shares=%s round_ms=%.2f\n", machines, on ? "on" : "off", sum / kRounds);
    if (!on) continue;
    fleet.setWeights({1, 3});
    std::size_t stops = 0;
    const double ms = millis([&] { stops = fleet.runRound().preemptions.size(); });
    std::printf("machines=%d reclaiming round_ms=%.2f stops=%zu\n", machines, ms, stops);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc >= 3 && std::string(argv[1]) == "converge") return converge(std::atoi(argv[2]), argc == 3);
  if (argc == 3 && std::string(argv[1]) == "decide") return decide(std::atoi(argv[2]));
  std::cerr << "shares_measure converge MACHINES [unsaved] | decide MACHINES\n";
  return 2;
}
