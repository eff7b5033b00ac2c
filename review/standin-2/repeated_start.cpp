// A task is stopped for work of higher priority and goes on elsewhere. The leader crashes, and a request that it had
// sent to the first machine and that was carried out then, the task's start command, arrives there once more. The task
// must not start on one machine while it is on another.
#include "world.hpp"

using namespace world;

namespace {
const std::string kZone = "cleveland-rack";

Json job(const std::string& ref, const char* lane, const char* crew, const char* shape, const char* rank, int loads,
         double expectS, double dueS) {
  return Json{{"ref", ref},          {"lane", lane},     {"crew", crew},        {"shape", shape},  {"rank", rank},
              {"loads", loads},      {"vcpus", 2.0},     {"accelerators", 0.0}, {"memoryGb", 3.0}, {"crate", "desk"},
              {"sizeGb", 0.1},       {"rigs", {"runner"}}, {"yard", nullptr},   {"oneZone", false}, {"apart", false},
              {"loaners", false},    {"expectS", expectS}, {"stowEveryS", 0.0}, {"stowS", 0.0},
              {"dueS", dueS > 0 ? Json(dueS) : Json()}};
}
}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  record.open(std::string(argv[1]) + "/record.txt");
  const bool trouble = withTrouble();
  const Json runner{{"label", "runner"}, {"vcpus", 8.0},       {"accelerators", 0.0}, {"memoryGb", 32.0},
                    {"cacheGb", 50.0},   {"pullGbPerS", 0.15}, {"rate", 0.28},        {"marketPrice", 0.08},
                    {"bootS", 40.0},     {"yards", {kZone}}};
  World world(temporaryFolder(), Timing{1.5, 12, 42}, 200, 40, {runner},
              {{"runner", kZone, false, 10}, {"runner", kZone, true, 6}}, 10);
  Json teams = Json::array();
  for (int i = 0; i < 10; ++i)
    teams.push_back(Json{{"name", "desk-team-0" + std::to_string(i)}, {"cpus", 24.0}, {"cpus_max", 40.0},
                         {"gpus", 0.0}, {"gpus_max", 0.0}});
  world.controllers.facts = Json{
      {"initial_size", 3},
      {"zones", {kZone}},
      {"teams", teams},
      {"objectives", {{{"kind", "wait"}, {"class", "order-gateway"}, {"within_s", 60.0}, {"share", 0.9}},
                      {{"kind", "deadline"}, {"class", "fill-recon"}, {"share", 0.82}, {"times", 1.0}}}},
      {"workers", {{"report_s", 1.5}, {"lease_s", 12.0}, {"gang_wait_s", 40.0}, {"gang_peer_s", 4.0}, {"cancel_s", 42.0}}},
      {"state", {{"rps", 200.0}, {"write_rps", 40.0}, {"value_kb", 32.0}, {"txn_ops", 16}}},
      {"cloud", {{"rps", 3.0}, {"list_lag_s", 10.0}}},
      {"limits", {{"core_share", 0.12}, {"ram_mb", 72.0}, {"max_connections", 1000}}},
      {"clock_off_ms", 5.0}};
  for (int i = 0; i < 3; ++i) world.addController("hoist-" + std::to_string(i), kZone);

  // The network in front of the workers keeps the request with the task's first start command.
  const std::string task = "job-000002/0";
  struct Kept {
    std::string host;
    std::uint16_t port = 0;
    Json body;
  };
  std::mutex keptMutex;
  std::optional<Kept> kept;
  world.shared.workerVia = [&](const std::string& host, std::uint16_t port) {
    return serve([&, host, port](const Message& request) {
      if (request.method == "POST" && request.body.dump().find("\"" + task + "\"") != std::string::npos &&
          request.body.dump().find("launch") != std::string::npos) {
        const std::lock_guard lock(keptMutex);
        if (!kept) kept = Kept{host, port, request.body};
      }
      const Message answer = callOnce(port, request.method, request.target, request.body, 10);
      return Answer{answer.status, answer.body};
    });
  };
  std::vector<std::string> broken;
  std::map<std::string, std::map<std::string, std::uint64_t>> onMachine;  // task -> machine -> attempt
  world.shared.onTask = [&](const TaskEvent& event) {
    auto& machines = onMachine[event.task];
    if (event.kind == TaskEvent::ended) {
      machines.erase(event.host);
      return;
    }
    if (!machines.empty())
      broken.push_back("ran_twice: " + event.task + " starts on " + event.host + " while it is on " + machines.begin()->first);
    machines[event.host] = event.attempt;
  };
  for (int i = 0; i < 3; ++i) world.controllers.start("hoist-" + std::to_string(i));
  if (!world.waitUntil([&] { return world.healthy("hoist-0") && !world.state.leader().empty(); }, 10)) finish(world, 2);

  const auto runsOn = [&](const std::string& name) {  // the machine of a task, or ""
    const std::lock_guard lock(world.shared.mutex);
    const auto found = onMachine.find(name);
    return found == onMachine.end() || found->second.empty() ? std::string() : found->second.begin()->first;
  };
  const auto wait = [&](const char* what, const std::function<bool()>& condition, double timeoutS) {
    if (world.waitUntil(condition, timeoutS)) return;
    record.line("did not happen: %s", what);
    finish(world, 2);
  };
  // One machine is filled: a service with two tasks, work that ends soon, and the task with the lowest priority.
  world.submit(job("job-000001", "order-gateway", "desk-team-01", "daemon", "prod", 2, 0, 0), 0);
  wait("the service runs", [&] { return !runsOn("job-000001/0").empty() && !runsOn("job-000001/1").empty(); }, 20);
  const std::string first = runsOn("job-000001/0");
  world.submit(job(task.substr(0, task.find('/')), "commission-recalc", "desk-team-02", "sweep", "best_effort", 1, 90, 20), 90);
  wait("the task runs", [&] { return runsOn(task) == first; }, 10);
  world.submit(job("job-000003", "fill-recon", "desk-team-03", "sweep", "standard", 1, 8, 60), 8);
  wait("the shorter work runs", [&] { return runsOn("job-000003/0") == first; }, 10);
  // Work of higher priority takes the task's place; the task goes on elsewhere.
  world.submit(job("job-000004", "order-gateway", "desk-team-04", "daemon", "prod", 1, 0, 0), 0);
  wait("the task runs elsewhere", [&] {
    const std::string host = runsOn(task);
    return !host.empty() && host != first;
  }, 40);
  wait("the first machine has forgotten the task and has room", [&] {
    const std::lock_guard lock(world.shared.mutex);
    const Worker& worker = *world.cloud.workers.at(first);
    return !worker.lists(task) && worker.usedCpus() <= 6;
  }, 30);
  sleepFor(2);
  if (runsOn(task).empty() || runsOn(task) == first || !kept || kept->host != first) finish(world, 2);
  record.line("%s runs on %s, after it was stopped and forgotten on %s", task.c_str(), runsOn(task).c_str(), first.c_str());
  if (trouble) {
    const std::string leader = world.state.leader();
    world.controllers.kill(leader);
    sleepFor(1);
    record.line("the request with the first start command arrives at %s once more", first.c_str());
    const Message answer = callOnce(kept->port, "POST", "/commands", kept->body, 5);
    record.line("answer: %d", answer.status);
    sleepFor(3);
    world.controllers.start(leader);
  }
  sleepFor(8);
  const std::lock_guard lock(world.shared.mutex);
  for (const std::string& what : broken) record.line("BROKEN: %s", what.c_str());
  finish(world, broken.empty() ? 0 : 1);
}
