#include "standin/earlier_version_records.hpp"

#include <algorithm>

#include "jobs/jobs.hpp"
#include "standin/world.hpp"

namespace standin {

namespace jobs = reachhoist::jobs;
namespace machines = reachhoist::machines;

namespace {
constexpr std::string_view kJobPrefix = "jobs/";
constexpr std::string_view kDonePrefix = "done/";
constexpr std::string_view kBatchPrefix = "placed/";
constexpr const char* kTermKey = "leader-term";
constexpr double kDefaultRunS = 10;  // run time of tasks whose users gave no estimate
}  // namespace

void EarlierVersionRecords::load() {
  for (const auto& [key, value] : records_.items()) world_.store.put(key, value);
  for (const auto& [key, value] : records_.items())
    if (key.starts_with(kJobPrefix)) loadJob(key.substr(kJobPrefix.size()), value);
  for (const auto& [key, value] : records_.items())
    if (key.starts_with(kDonePrefix)) loadCompletions(key.substr(kDonePrefix.size()), value);
  startMachines();
}

void EarlierVersionRecords::loadJob(const std::string& ref, const Json& record) {
  jobs::JobTable table;
  table.apply(ref, record, 1);
  const jobs::Job& job = *table.find(ref);
  JobPlan plan;
  plan.spec = job.spec;
  plan.runS = job.spec.expectedRunTimeS > 0 ? job.spec.expectedRunTimeS : kDefaultRunS;
  world_.users.addAcceptedJob(plan);
  if (job.phase == jobs::JobPhase::cancelled) {
    world_.checker.onCancellationRequested(ref);
    world_.checker.onCancellationAnswered(world_.sim.now(), ref, 200, "cancelled");
  } else if (job.phase == jobs::JobPhase::done) {
    for (std::uint32_t i = 0; i < job.spec.taskCount; ++i) markCompleted(wire::TaskId{job.spec.ref, i});
  }
}

void EarlierVersionRecords::loadCompletions(const std::string& name, const Json& record) {
  const auto slash = name.find('/');
  const auto chunk = static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)));
  jobs::Job job;
  job.spec = world_.workload.job(name.substr(0, slash)).spec;
  job.beginTracking(world_.clock());
  job.loadDoneChunk(chunk, record["hex"], 1, world_.clock());
  for (std::uint32_t i = 0; i < job.spec.taskCount; ++i)
    if (job.tasks[i] == jobs::TaskPhase::completed) markCompleted(wire::TaskId{job.spec.ref, i});
}

void EarlierVersionRecords::markCompleted(const wire::TaskId& task) {
  world_.workload.finishedTasks.insert(task);
  world_.checker.onTaskEnded(world_.sim.now(), task, "", true);
}

void EarlierVersionRecords::startMachines() {
  std::map<std::string, machines::BatchedHost> hosts;
  for (const auto& [key, value] : records_.items()) {
    if (!key.starts_with(kBatchPrefix)) continue;
    const auto batch = machines::decodePlacementBatch(value).value();
    for (const machines::BatchedHost& record : batch) {
      for (const auto& [task, attempt] : record.placed)
        latestAttempts_[task] = std::max(latestAttempts_[task], attempt);
      auto& host = hosts.try_emplace(record.host, record).first->second;
      if (host.placed != record.placed)
        host.placed.insert(host.placed.end(), record.placed.begin(), record.placed.end());
    }
  }
  for (const auto& [name, host] : hosts) launchTasks(host);
}

// Starts the machine and launches the latest attempts of its open tasks.
void EarlierVersionRecords::launchTasks(const machines::BatchedHost& host) {
  Worker& worker = world_.cloud.addRunning({host.host, host.machineType, host.zone, host.spot});
  Json commands = Json::array();
  for (const auto& [task, attempt] : host.placed) {
    const bool hasEnded =
        world_.workload.finishedTasks.contains(task) || world_.checker.isCancelled(task.job.text);
    if (!hasEnded && latestAttempts_[task] == attempt)
      commands.push_back(Json{{"verb", "launch"}, {"load", task.str()}, {"try", attempt}});
  }
  const std::uint64_t term = records_[kTermKey]["term"];
  worker.handleCommands(Json{
      {"baton", reachhoist::cluster::fencingToken(term, 0)}, {"shift", 1}, {"orders", std::move(commands)}});
}

}  // namespace standin
