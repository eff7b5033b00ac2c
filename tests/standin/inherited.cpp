// What an earlier version of the service left behind: its records, and machines that run what they place.
#include <algorithm>

#include "jobs/jobs.hpp"
#include "machines/placement_batches.hpp"
#include "standin/world.hpp"

namespace standin {

namespace {
constexpr std::string_view kJobPrefix = "jobs/";
constexpr std::string_view kDonePrefix = "done/";
constexpr std::string_view kBatchPrefix = "placed/";
constexpr double kInheritedRunS = 10;  // of tasks whose users gave no estimate
}  // namespace

void World::inherit(const Json& records) {
  for (const auto& [key, value] : records.items()) state.put(key, value);
  for (const auto& [key, value] : records.items())
    if (key.starts_with(kJobPrefix)) inheritJob(key.substr(kJobPrefix.size()), value);
  for (const auto& [key, value] : records.items())
    if (key.starts_with(kDonePrefix)) inheritProgress(key.substr(kDonePrefix.size()), value);
  inheritMachines(records);
}

void World::inheritJob(const std::string& ref, const Json& value) {
  reachhoist::jobs::JobTable table;
  table.apply(ref, value, 1);
  const reachhoist::jobs::Job& job = *table.find(ref);
  JobPlan plan;
  plan.spec = job.spec;
  plan.runS = job.spec.expectS > 0 ? job.spec.expectS : kInheritedRunS;
  jobs[ref] = plan;
  accepted[ref] = 201;
  checker.submitted(sim.now(), plan.spec);
  checker.submitAnswered(sim.now(), ref, 201, "pending");
  if (job.phase == reachhoist::jobs::JobPhase::cancelled) {
    checker.abortAsked(ref);
    checker.abortAnswered(sim.now(), ref, 200, "cancelled");
  } else if (job.phase == reachhoist::jobs::JobPhase::done) {
    for (std::uint32_t i = 0; i < job.spec.taskCount; ++i) inheritCompletion(wire::TaskId{job.spec.ref, i});
  }
}

void World::inheritProgress(const std::string& rest, const Json& value) {
  const auto slash = rest.find('/');
  const JobPlan& plan = jobs.at(rest.substr(0, slash));
  reachhoist::jobs::Job job;
  job.spec = plan.spec;
  job.beginTracking(clock());
  job.loadDoneChunk(static_cast<std::uint32_t>(std::stoul(rest.substr(slash + 1))), value["hex"], 1, clock());
  for (std::uint32_t i = 0; i < job.spec.taskCount; ++i)
    if (job.tasks[i] == reachhoist::jobs::TaskPhase::completed)
      inheritCompletion(wire::TaskId{job.spec.ref, i});
}

void World::inheritCompletion(const wire::TaskId& task) {
  finishedTasks.insert(task);
  checker.ended(sim.now(), task, "", true);
}

void World::inheritMachines(const Json& records) {
  std::map<wire::TaskId, std::uint64_t> latest;  // an older attempt of a task has ended long ago
  std::map<std::string, reachhoist::machines::BatchedHost> hosts;
  for (const auto& [key, value] : records.items()) {
    if (!key.starts_with(kBatchPrefix)) continue;
    const auto page = reachhoist::machines::decodePlacementBatch(value).value();
    for (const reachhoist::machines::BatchedHost& record : page) {
      for (const auto& [task, attempt] : record.placed) latest[task] = std::max(latest[task], attempt);
      auto& host = hosts.try_emplace(record.host, record).first->second;
      if (host.placed != record.placed)
        host.placed.insert(host.placed.end(), record.placed.begin(), record.placed.end());
    }
  }
  const std::uint64_t term = records["leader-term"]["term"];
  for (const auto& [name, record] : hosts) {
    rented = std::max<std::size_t>(rented, std::stoul(name.substr(name.find('-') + 1)) + 1);
    rentedAt_[name] = -kInheritedAgeS;
    ++used_[record.machineType + record.zone + (record.spot ? "s" : "o")];
    auto& worker = workers[name] =
        std::make_unique<Worker>(*this, name, record.machineType, record.zone, record.spot);
    worker->boot();
    Json orders = Json::array();
    for (const auto& [task, attempt] : record.placed) {
      const bool over = finishedTasks.contains(task) || checker.isCancelled(task.job.text);
      if (!over && latest[task] == attempt)
        orders.push_back(Json{{"verb", "launch"}, {"load", task.str()}, {"try", attempt}});
    }
    int status = 0;
    worker->commands(Json{{"baton", reachhoist::cluster::fencingToken(term, 0)},
                          {"shift", 1},
                          {"orders", std::move(orders)}},
                     status);
  }
}

}  // namespace standin
