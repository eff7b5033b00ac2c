// New machines of two zones come up late, so a service that is spread over zones waits for part of its tasks. Its tasks
// take no CPUs and no memory. Meanwhile users cancel jobs. No controller may hang.
#include "world.hpp"

using namespace world;

namespace {
constexpr double kLateBootS = 50;     // bootS is 25 s; late by a factor of 2
constexpr double kSilentLimitS = 30;  // an answer on /healthz is due within 1 s

Json job(const std::string& ref, const char* lane, const char* crew, const char* shape, const char* rank, int loads,
         double vcpus, double memoryGb, bool apart) {
  const bool sweep = std::string(shape) == "sweep";
  return Json{{"ref", ref},         {"lane", lane},       {"crew", crew},       {"shape", shape},  {"rank", rank},
              {"loads", loads},     {"vcpus", vcpus},     {"accelerators", 0.0}, {"memoryGb", memoryGb},
              {"crate", "image"},   {"sizeGb", 0.1},      {"rigs", nullptr},    {"yard", nullptr}, {"oneZone", false},
              {"apart", apart},     {"loaners", false},   {"expectS", sweep ? 300.0 : 0.0},
              {"stowEveryS", 0.0},  {"stowS", 0.0},       {"dueS", sweep ? Json(300.0) : Json()}};
}
}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  record.open(std::string(argv[1]) + "/record.txt");
  const bool trouble = withTrouble();
  const std::vector<std::string> zones{"merkato", "piassa", "bole"};
  const Json type{{"label", "shuttle"}, {"vcpus", 16.0},      {"accelerators", 0.0}, {"memoryGb", 128.0},
                  {"cacheGb", 60.0},    {"pullGbPerS", 0.8},  {"rate", 1.09},        {"marketPrice", 0.42},
                  {"bootS", 25.0},      {"yards", zones}};
  World world(temporaryFolder(), Timing{3, 22, 42}, 60, 20, {type},
              {{"shuttle", "merkato", false, 7}, {"shuttle", "merkato", true, 5}, {"shuttle", "piassa", false, 11},
               {"shuttle", "piassa", true, 7}, {"shuttle", "bole", false, 11}, {"shuttle", "bole", true, 7}},
              6);
  Json teams = Json::array();
  for (int i = 0; i < 10; ++i)
    teams.push_back(Json{{"name", "registry-desk-0" + std::to_string(i)}, {"cpus", 0.0}, {"cpus_max", 0.0},
                         {"gpus", 0.0}, {"gpus_max", 0.0}});
  world.controllers.facts = Json{
      {"initial_size", 3},
      {"zones", {"bole", "merkato", "piassa"}},
      {"teams", teams},
      {"objectives", {{{"kind", "wait"}, {"class", "stall-registry"}, {"within_s", 1.0}, {"share", 0.94}},
                      {{"kind", "deadline"}, {"class", "price-survey"}, {"share", 0.94}, {"times", 1.0}}}},
      {"workers", {{"report_s", 3.0}, {"lease_s", 22.0}, {"gang_wait_s", 45.0}, {"gang_peer_s", 4.0}, {"cancel_s", 42.0}}},
      {"state", {{"rps", 60.0}, {"write_rps", 20.0}, {"value_kb", 8.0}, {"txn_ops", 12}}},
      {"cloud", {{"rps", 4.0}, {"list_lag_s", 6.0}}},
      {"limits", {{"core_share", 0.2}, {"ram_mb", 136.0}, {"max_connections", 2500}}},
      {"clock_off_ms", 1000.0}};
  for (int i = 0; i < 3; ++i) world.addController("hoist-" + std::to_string(i), zones[static_cast<std::size_t>(i)]);
  for (int i = 0; i < 3; ++i) world.controllers.start("hoist-" + std::to_string(i));
  const auto allHealthy = [&] {
    return world.healthy("hoist-0") && world.healthy("hoist-1") && world.healthy("hoist-2");
  };
  if (!world.waitUntil([&] { return allHealthy() && !world.state.leader().empty(); }, 10)) finish(world, 2);

  // One machine with work of several users.
  const auto running = [&](const std::string& ref) {
    const std::lock_guard lock(world.shared.mutex);
    int count = 0;
    for (const auto& [name, worker] : world.cloud.workers)
      for (int i = 0; i < 8; ++i)
        if (!worker->gone && worker->runs(ref + "/" + std::to_string(i))) ++count;
    return count;
  };
  std::vector<std::string> surveys;
  for (int i = 1; i <= 7; ++i) {
    surveys.push_back("job-10000" + std::to_string(i));
    world.submit(job(surveys.back(), "price-survey", "registry-desk-01", "sweep", "standard", 1, 2, 12, false), 300);
  }
  const auto allRun = [&] {
    return std::all_of(surveys.begin(), surveys.end(), [&](const std::string& ref) { return running(ref) == 1; });
  };
  if (!world.waitUntil(allRun, 30)) finish(world, 2);

  if (trouble) {
    record.line("new machines come up %.0f s late from now on", kLateBootS);
    const std::lock_guard lock(world.shared.mutex);
    world.cloud.bootS = kLateBootS;
  }
  const std::string service = "job-200001";
  world.submit(job(service, "stall-registry", "registry-desk-02", "daemon", "prod", 4, 0, 0, true), 0);
  if (!world.waitUntil([&] { return running(service) >= 2; }, 10)) finish(world, 2);
  if (!trouble && !world.waitUntil([&] { return running(service) == 4; }, 20)) finish(world, 2);
  sleepFor(1);

  // Users cancel their jobs, the next one once a leader is there and the workers have reported to it.
  std::map<std::string, double> silentSince;
  const auto look = [&] {
    for (const auto& controller : world.controllers.all) {
      if (!world.controllers.isRunning(controller.label)) finish(world, 2);
      // Any answer counts, also a 503.
      if (callOnce(controller.port, "GET", "/healthz", Json(), 1).status != 0) {
        silentSince.erase(controller.label);
      } else if (silentSince.emplace(controller.label, now()).second) {
        record.line("%s does not answer on /healthz", controller.label.c_str());
      }
    }
  };
  const double end = now() + 75;
  std::size_t next = 0;
  double nextCancelAt = now();
  std::string leader;
  while (now() < end) {
    look();
    const std::string current = world.state.leader();
    if (current != leader) {
      leader = current;
      record.line("leader: %s", leader.empty() ? "none" : leader.c_str());
      nextCancelAt = std::max(nextCancelAt, now() + (next == 0 ? 0 : 10));
    }
    if (!leader.empty() && !silentSince.contains(leader) && now() >= nextCancelAt && next + 1 < surveys.size()) {
      world.abort(surveys[next++], 10);
      nextCancelAt = now() + 5;
    }
    const bool longSilent = std::any_of(silentSince.begin(), silentSince.end(),
                                        [](const auto& entry) { return now() - entry.second > kSilentLimitS; });
    if (longSilent && (silentSince.size() == 3 || now() > end - 5)) break;
    if (next + 1 == surveys.size() && silentSince.empty() && now() > nextCancelAt + 5) break;
    sleepFor(0.2);
  }
  int hung = 0;
  for (const auto& [label, since] : silentSince) {
    record.line("%s runs, but has not answered for %.0f s", label.c_str(), now() - since);
    if (now() - since > kSilentLimitS) ++hung;
  }
  record.line("%d of 3 controllers hang; tasks of %s that run: %d; %s: %s", hung, service.c_str(), running(service),
              surveys.back().c_str(), world.stage(surveys.back()).c_str());
  finish(world, hung > 0 ? 1 : 0);
}
