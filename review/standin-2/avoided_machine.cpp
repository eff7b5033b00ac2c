// One machine fails every task that it starts for a while and then is sound again. A job that failed there must run
// once the trouble is over, since the machine has room and the job's team is below its limit.
#include "world.hpp"

using namespace world;

namespace {
constexpr double kSickS = 8;       // the site's day: 120 s
constexpr double kWaitLimitS = 90;  // "no job is left waiting for 90 s"

Json job(const std::string& ref, const std::string& lane, const std::string& crew, const char* shape,
         const char* rank, int loads, double memoryGb, const char* crate, double expectS) {
  Json spec{{"ref", ref},       {"lane", lane},        {"crew", crew},       {"shape", shape},   {"rank", rank},
            {"loads", loads},   {"vcpus", 2.0},        {"accelerators", 0.0}, {"memoryGb", memoryGb},
            {"crate", crate},   {"sizeGb", 0.1},       {"rigs", {"floor"}},  {"yard", nullptr},  {"oneZone", false},
            {"apart", false},   {"loaners", false},    {"expectS", expectS}, {"stowEveryS", 0.0}, {"stowS", 0.0},
            {"dueS", nullptr}};
  if (std::string(shape) == "sweep") spec["dueS"] = 3 * expectS + 30;
  return spec;
}
}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  record.open(std::string(argv[1]) + "/record.txt");
  const bool trouble = withTrouble();
  Json type{{"label", "floor"},     {"vcpus", 32.0},   {"accelerators", 0.0}, {"memoryGb", 64.0},
            {"cacheGb", 50.0},      {"pullGbPerS", 0.12}, {"rate", 1.08},     {"marketPrice", 0.29},
            {"bootS", 35.0},        {"yards", {"cleveland-rack"}}};
  Json clerk = type, runner = type;
  clerk.update(Json{{"label", "clerk"}, {"vcpus", 16.0}, {"cacheGb", 40.0}, {"pullGbPerS", 0.1}, {"rate", 0.59},
                    {"marketPrice", 0.18}, {"bootS", 40.0}});
  runner.update(Json{{"label", "runner"}, {"vcpus", 8.0}, {"memoryGb", 32.0}, {"pullGbPerS", 0.15}, {"rate", 0.28},
                     {"marketPrice", 0.08}, {"bootS", 40.0}});
  const std::string zone = "cleveland-rack";
  // The site's capacity; of `floor` there are two ordinary machines.
  World world(temporaryFolder(), Timing{1.5, 12, 42}, 200, 40, {runner, clerk, type},
              {{"runner", zone, false, 10}, {"runner", zone, true, 6}, {"clerk", zone, false, 9},
               {"clerk", zone, true, 3}, {"floor", zone, false, 2}, {"floor", zone, true, 2}},
              10);
  Json teams = Json::array();
  for (int i = 0; i < 10; ++i)
    teams.push_back(Json{{"name", "desk-team-0" + std::to_string(i)}, {"cpus", 24.0}, {"cpus_max", 40.0},
                         {"gpus", 0.0}, {"gpus_max", 0.0}});
  world.controllers.facts = Json{
      {"initial_size", 3},
      {"zones", {zone}},
      {"teams", teams},
      {"objectives", {{{"kind", "wait"}, {"class", "order-gateway"}, {"within_s", 60.0}, {"share", 0.9}},
                      {{"kind", "deadline"}, {"class", "fill-recon"}, {"share", 0.82}, {"times", 1.0}}}},
      {"workers", {{"report_s", 1.5}, {"lease_s", 12.0}, {"gang_wait_s", 40.0}, {"gang_peer_s", 4.0}, {"cancel_s", 42.0}}},
      {"state", {{"rps", 200.0}, {"write_rps", 40.0}, {"value_kb", 32.0}, {"txn_ops", 16}}},
      {"cloud", {{"rps", 3.0}, {"list_lag_s", 10.0}}},
      {"limits", {{"core_share", 0.12}, {"ram_mb", 72.0}, {"max_connections", 1000}}},
      {"clock_off_ms", 5.0}};
  for (int i = 0; i < 3; ++i) world.addController("hoist-" + std::to_string(i), zone);

  for (int i = 0; i < 3; ++i) world.controllers.start("hoist-" + std::to_string(i));
  if (!world.waitUntil([&] { return world.healthy("hoist-0") && !world.state.leader().empty(); }, 10)) finish(world, 2);

  // Machines with `floor` are filled by services of several teams: 16 tasks on the first, 4 on the second.
  const auto usedOn = [&](const std::string& host) {
    const std::lock_guard lock(world.shared.mutex);
    return world.cloud.workers.at(host)->usedCpus();
  };
  const auto floors = [&] {
    const std::lock_guard lock(world.shared.mutex);
    std::vector<std::string> names;
    for (const auto& [name, worker] : world.cloud.workers)
      if (worker->type() == "floor" && !worker->gone && worker->isUp()) names.push_back(name);
    return names;
  };
  int next = 1;
  const auto fill = [&](double cpus) {
    for (int teamsUsed = 0; teamsUsed < 12; ++teamsUsed) {
      double total = 0;
      for (const auto& name : floors()) total += usedOn(name);
      if (total >= cpus) return true;
      const std::string ref = "job-" + std::to_string(100000 + next);
      world.submit(job(ref, "order-gateway", "desk-team-0" + std::to_string(next % 8), "daemon", "prod", 4, 3.6, "gate", 0), 0);
      ++next;
      if (!world.waitUntil([&] {
            const std::lock_guard lock(world.shared.mutex);
            int running = 0;
            for (const auto& [name, worker] : world.cloud.workers)
              for (int i = 0; i < 4; ++i)
                if (!worker->gone && worker->runs(ref + "/" + std::to_string(i))) ++running;
            return running == 4;
          }, 15)) return false;
    }
    return false;
  };
  if (!fill(40)) {
    record.line("the services did not start");
    finish(world, 2);
  }
  // The machine with room.
  std::string roomy;
  for (const auto& name : floors())
    if (usedOn(name) <= 32 - 4 * 2) roomy = name;
  for (const auto& name : floors())
    record.line("machine %s: %.0f of 32 CPUs in use", name.c_str(), usedOn(name));
  if (roomy.empty() || floors().size() != 2) finish(world, 2);

  double sickUntil = now();
  if (trouble) {
    const std::lock_guard lock(world.shared.mutex);
    for (const auto& [name, worker] : world.cloud.workers)
      if (name == roomy) worker->sick = true;
    record.line("machine %s fails every task that it starts from now on", roomy.c_str());
    sickUntil = now() + kSickS;
  }
  const std::string victim = "job-200001";
  world.submit(job(victim, "fill-recon", "desk-team-08", "sweep", "standard", 4, 2.9, "recon", 5), 5);
  while (now() < sickUntil) sleepFor(0.05);
  if (trouble) {
    const std::lock_guard lock(world.shared.mutex);
    world.cloud.workers.at(roomy)->sick = false;
    record.line("machine %s is sound again", roomy.c_str());
  }
  const double over = now();
  // A second job like the first, from another team: it shows that the machine has room for such work and runs it.
  const std::string control = "job-200002";
  world.submit(job(control, "fill-recon", "desk-team-09", "sweep", "standard", 4, 2.9, "recon", 5), 5);
  const auto isDone = [&](const std::string& ref) { return world.stage(ref) == "done"; };
  double controlDone = 0;
  while (now() < over + kWaitLimitS + 2) {
    if (controlDone == 0 && isDone(control)) {
      controlDone = now();
      record.line("the second job is done after %.1f s", controlDone - over);
    }
    if (isDone(victim)) {
      record.line("the first job is done %.1f s after the trouble", now() - over);
      if (controlDone > 0 || isDone(control)) finish(world, 0);
    }
    if (!world.controllers.isRunning("hoist-0")) finish(world, 2);
    sleepFor(0.5);
  }
  bool sameMachine = false;
  for (const auto& name : floors()) sameMachine = sameMachine || name == roomy;
  record.line("%.0f s after the trouble: first job %s, second job %s; machine %s is %s with %.0f of 32 CPUs in use",
              now() - over, world.stage(victim).c_str(), world.stage(control).c_str(), roomy.c_str(),
              sameMachine ? "up" : "gone", sameMachine ? usedOn(roomy) : 0.0);
  if (controlDone == 0 || !sameMachine || usedOn(roomy) > 24) finish(world, 2);
  finish(world, 1);
}
