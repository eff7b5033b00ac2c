#include "standin/world.hpp"

#include <algorithm>

#include "standin/election_check.hpp"

namespace standin {

namespace {
constexpr double kCheckIntervalS = 0.25;
constexpr double kRepeatDelayMinS = 0.2;
}  // namespace

World::World(config::Settings settings, std::vector<MachineTypeSpec> machineTypes,
             KeyValueStore::Limits limits, std::uint64_t seed)
    : sim(seed),
      store(sim, limits),
      network(sim),
      checker(settings.workers.cancelS),
      baseSettings(std::move(settings)),
      controllers(*this),
      cloud(*this, std::move(machineTypes)),
      gangs(*this),
      users(*this),
      heartbeatReplay(*this),
      waitingJobsMonitor_(*this) {
  baseSettings.stateLimits.requestsPerS = limits.requestsPerS;
  baseSettings.stateLimits.writesPerS = limits.writesPerS;
  baseSettings.stateLimits.maxValueKib = limits.maxValueKib;
  baseSettings.stateLimits.opsPerTransaction = static_cast<unsigned>(limits.opsPerTransaction);
  for (const config::Team& team : baseSettings.teams) checker.setTeamQuota(team.name, team.cpusMax);
  store.addAppliedListener([this](const std::string& /*client*/, const std::string& key) {
    checkElectionWrite(checker, sim.now(), store, key);
  });
}

void World::start() {
  operators = std::make_unique<Operators>(sim, store, baseSettings);
  controllers.create(baseSettings);
  for (const auto& process : controllers.all()) startController(*process);
  sim.after(kCheckIntervalS, [this] { checkRegularly(); });
  users.pollRegularly();
  waitingJobsMonitor_.start();
}

void World::checkRegularly() {
  checker.tick(sim.now());
  sim.after(kCheckIntervalS, [this] { checkRegularly(); });
}

wire::Time World::clock() const { return Simulation::steadyAt(sim.now() * (1 - faults.clockSlowdown)); }

void World::repeatLater(const Repetition& repetition, std::function<void()> deliver) {
  if (repetition.share <= 0 || !sim.chance(repetition.share)) return;
  sim.after(sim.uniform(kRepeatDelayMinS, repetition.delayMaxS), std::move(deliver));
}

void World::partitionFromStoreAndPeers(const std::string& controller, double durationS) {
  store.startOutageFor(controller, durationS);
  network.partitionFromPeers(controller, durationS);
}

std::vector<Worker*> World::everyNth(std::size_t n) {
  std::vector<Worker*> selected;
  std::size_t servingCount = 0;
  for (const auto& [host, worker] : workers)
    if (worker->isServing() && ++servingCount % n == 0) selected.push_back(worker.get());
  return selected;
}

double World::cpusOfClass(const std::string& jobClass) const {
  double cpus = 0;
  for (const auto& [host, worker] : workers)
    if (worker->isServing()) cpus += worker->cpusOfClass(jobClass);
  return cpus;
}

std::size_t World::aliveMachines() const {
  return static_cast<std::size_t>(std::count_if(workers.begin(), workers.end(),
                                                [](const auto& entry) { return entry.second->isAlive(); }));
}

Worker* World::workerRunning(const std::string& ref) {
  for (const auto& [host, worker] : workers) {
    if (!worker->isServing()) continue;
    const Json heartbeat = worker->heartbeat();
    for (const Json& status : heartbeat["loads"])
      if (status["stage"] == "running" && status["load"].get<std::string>().starts_with(ref + "/"))
        return worker.get();
  }
  return nullptr;
}

}  // namespace standin
