// Two zones can't reach each other, so the workers of one reach the leader through a controller in the third zone,
// which relays their reports. That controller crashes and is back at once; a report that it had relayed arrives at the
// leader a few seconds late. No machine may start a task that its job does not allow there.
#include "world.hpp"

using namespace world;

namespace {
constexpr double kRestartS = 0.5;  // "now and then within a fraction of a second"

Json job(const std::string& ref, const char* crew, int loads, double vcpus, bool spot, double expectS, bool urgent) {
  return Json{{"ref", ref},           {"lane", "price-survey"}, {"crew", crew},      {"shape", "sweep"},
              {"rank", "standard"},   {"loads", loads},         {"vcpus", vcpus},    {"accelerators", 0.0},
              {"memoryGb", 12.0},     {"crate", "survey"},      {"sizeGb", 0.1},     {"rigs", nullptr},
              {"yard", "piassa"},     {"oneZone", false},       {"apart", false},    {"loaners", spot},
              {"expectS", expectS},   {"stowEveryS", 0.0},      {"stowS", 0.0},      {"dueS", urgent ? Json(5.0) : Json(900.0)}};
}

// A link from one controller to a sibling. It passes everything on at once, except that it can hold the packets of
// a connection, which then arrive late although the sender has ended, as behind an interruption.
class Link {
 public:
  explicit Link(std::uint16_t target) : target_(target) {
    listener_ = listenOn(port_);
    std::thread([this] { acceptLoop(); }).detach();
  }
  std::uint16_t port() const { return port_; }
  std::atomic<bool> down{false};  // a cut: connections hang, nothing passes
  std::atomic<bool> holdLarge{false};  // from the next relayed report on, hold what the open connections carry
  std::atomic<bool> held{false};       // such a report is being held
  std::atomic<bool> releaseAtNext{false};  // deliver it just before the next relayed report of a new connection
  std::atomic<bool> released{false};

 private:
  // A controller's own heartbeats and progress take less than this, a relayed report more.
  static constexpr std::size_t kReportBytes = 200;

  void acceptLoop() {
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      std::thread([this, fd] { pass(fd); }).detach();
    }
  }
  void pass(int from) {
    int to = -1;
    bool holding = false;
    std::string kept;
    char chunk[65536];
    for (;;) {
      const bool readable = waitFor(from, POLLIN, now() + 0.02);
      if (down) {
        if (to >= 0) ::close(to);
        to = -1;
        sleepFor(0.02);
        if (!readable) continue;
        if (::recv(from, chunk, sizeof chunk, 0) <= 0) break;
        continue;
      }
      if (!readable) continue;
      const ssize_t got = ::recv(from, chunk, sizeof chunk, 0);
      if (got <= 0) break;
      if (to < 0) to = connectTo(target_, now() + 1);
      if (to < 0) break;
      if (!holding && holdLarge && static_cast<std::size_t>(got) > kReportBytes) {
        holding = true;
        holdLarge = false;
        held = true;
        record.line("link: a relayed report is delayed");
      }
      if (holding) {
        kept.append(chunk, static_cast<std::size_t>(got));
        continue;
      }
      if (releaseAtNext && static_cast<std::size_t>(got) > kReportBytes) {
        releaseAtNext = false;
        released = true;
        sleepFor(0.03);  // what was held arrives, then this
      }
      if (!writeAll(to, chunk, static_cast<std::size_t>(got), now() + 1)) break;
    }
    ::close(from);
    if (holding) {
      while (!released) sleepFor(0.001);
      record.line("link: the delayed report arrives");
      writeAll(to, kept.data(), kept.size(), now() + 1);
      sleepFor(1);
    }
    if (to >= 0) ::close(to);
  }
  const std::uint16_t target_;
  std::uint16_t port_ = 0;
  int listener_ = -1;
};
}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  record.open(std::string(argv[1]) + "/record.txt");
  const bool trouble = withTrouble();
  const Json type{{"label", "shuttle"}, {"vcpus", 16.0},      {"accelerators", 0.0}, {"memoryGb", 128.0},
                  {"cacheGb", 60.0},    {"pullGbPerS", 0.8},  {"rate", 1.09},        {"marketPrice", 0.42},
                  {"bootS", 25.0},      {"yards", {"merkato", "piassa", "bole"}}};
  World world(temporaryFolder(), Timing{3, 22, 42}, 60, 20, {type},
              {{"shuttle", "piassa", false, 1}, {"shuttle", "piassa", true, 5}}, 6);
  Json teams = Json::array();
  for (int i = 0; i < 10; ++i)
    teams.push_back(Json{{"name", "registry-desk-0" + std::to_string(i)}, {"cpus", 0.0}, {"cpus_max", 0.0},
                         {"gpus", 0.0}, {"gpus_max", 0.0}});
  world.controllers.facts = Json{
      {"initial_size", 3},
      {"zones", {"bole", "merkato", "piassa"}},
      {"teams", teams},
      {"objectives", {{{"kind", "deadline"}, {"class", "price-survey"}, {"share", 0.94}, {"times", 1.0}}}},
      {"workers", {{"report_s", 3.0}, {"lease_s", 22.0}, {"gang_wait_s", 45.0}, {"gang_peer_s", 4.0}, {"cancel_s", 42.0}}},
      {"state", {{"rps", 60.0}, {"write_rps", 20.0}, {"value_kb", 8.0}, {"txn_ops", 12}}},
      {"cloud", {{"rps", 4.0}, {"list_lag_s", 6.0}}},
      {"limits", {{"core_share", 0.2}, {"ram_mb", 136.0}, {"max_connections", 2500}}},
      {"clock_off_ms", 1000.0}};
  world.addController("hoist-0", "merkato");
  world.addController("hoist-1", "piassa");
  world.addController("hoist-2", "bole");
  Link to01(world.controllers.at("hoist-1").peerPort), to10(world.controllers.at("hoist-0").peerPort);
  Link to20(world.controllers.at("hoist-0").peerPort);
  world.controllers.at("hoist-0").peerVia["hoist-1"] = to01.port();
  world.controllers.at("hoist-1").peerVia["hoist-0"] = to10.port();
  world.controllers.at("hoist-2").peerVia["hoist-0"] = to20.port();

  std::vector<std::string> broken;
  bool twice = false;
  std::map<std::string, std::set<std::string>> onMachine;  // task -> machines
  std::set<std::string> started;
  world.shared.onTask = [&](const TaskEvent& event) {
    auto& machines = onMachine[event.task];
    if (event.kind == TaskEvent::ended) {
      machines.erase(event.host);
      return;
    }
    started.insert(event.task);
    const Worker& worker = *world.cloud.workers.at(event.host);
    const Json& spec = world.shared.jobs.at(event.task.substr(0, event.task.find('/'))).spec;
    if (worker.spot() && !spec["loaners"].get<bool>())
      broken.push_back("wrong_place: " + event.task + " starts on the spot machine " + event.host);
    twice = twice || !machines.empty();
    if (!machines.empty())
      broken.push_back("ran_twice: " + event.task + " starts on " + event.host + " while it is on " + *machines.begin());
    machines.insert(event.host);
  };

  world.controllers.start("hoist-0");
  if (!world.waitUntil([&] { return world.state.leader() == "hoist-0"; }, 10)) finish(world, 2);
  world.controllers.start("hoist-1");
  world.controllers.start("hoist-2");
  if (!world.waitUntil([&] { return world.healthy("hoist-1") && world.healthy("hoist-2") && world.healthy("hoist-0"); }, 10))
    finish(world, 2);

  // Five spot machines and one ordinary one, all in piassa, each with a long task.
  const auto upMachines = [&] {
    const std::lock_guard lock(world.shared.mutex);
    std::pair<int, int> counts;  // ordinary, spot
    for (const auto& [name, worker] : world.cloud.workers)
      if (worker->isUp() && worker->usedCpus() > 0) ++(worker->spot() ? counts.second : counts.first);
    return counts;
  };
  world.submit(job("job-000001", "registry-desk-00", 5, 9.0, true, 200, true), 200);
  if (!world.waitUntil([&] { return upMachines().second == 5; }, 20)) finish(world, 2);
  world.submit(job("job-000002", "registry-desk-01", 1, 9.0, false, 200, true), 200);
  if (!world.waitUntil([&] { return upMachines() == std::pair(1, 5); }, 30)) finish(world, 2);
  std::string ordinary;
  std::vector<std::string> spots;
  for (const auto& [name, worker] : world.cloud.workers) {
    if (worker->spot()) {
      spots.push_back(name);
    } else {
      ordinary = name;
    }
  }
  const auto allAtLeader = [&] {
    const std::lock_guard lock(world.shared.mutex);
    return std::all_of(world.cloud.workers.begin(), world.cloud.workers.end(),
                       [](const auto& entry) { return entry.second->controller() == "hoist-0"; });
  };
  if (!world.waitUntil(allAtLeader, 20)) finish(world, 2);
  sleepFor(4);

  // The ordinary machine reports first, the others 1 to 1.7 s later; each next report follows 2.3 to 3.7 s after that
  // machine's last one (report_s is 3 s, plus or minus a quarter).
  const double phase = now() + 0.5;
  {
    const std::lock_guard lock(world.shared.mutex);
    world.cloud.workers.at(ordinary)->nextReportAt = phase;
    for (std::size_t i = 0; i < spots.size(); ++i)
      world.cloud.workers.at(spots[i])->nextReportAt = phase + 1 + 0.16 * static_cast<double>(i);
  }
  while (now() < phase + 2.0) sleepFor(0.01);
  if (!trouble) {
    record.line("no trouble");
  } else {
    record.line("merkato and piassa can't reach each other from now on");
    to01.down = to10.down = true;
    const std::lock_guard lock(world.shared.mutex);
    for (auto& [name, worker] : world.cloud.workers) {
      worker->unreachable.insert("hoist-0");
      worker->commandsHeld = true;
    }
    world.cloud.workers.at(ordinary)->nextReportAt = phase + 2.3;
    for (std::size_t i = 0; i < spots.size(); ++i)
      world.cloud.workers.at(spots[i])->nextReportAt = phase + 4.2 + 0.28 * static_cast<double>(i);
    to20.holdLarge = true;
  }
  // Work that may run on ordinary machines only.
  world.submit(job("job-000003", "registry-desk-02", 2, 2.0, false, 20, false), 20);
  if (trouble) {
    if (!world.waitUntil([&] { return to20.held.load(); }, 15)) {
      record.line("no report was relayed");
      finish(world, 2);
    }
    to20.releaseAtNext = true;
    world.controllers.kill("hoist-2");
    sleepFor(kRestartS);
    world.controllers.start("hoist-2");
    if (!world.waitUntil([&] { return to20.released.load(); }, 25)) {
      record.line("no report was relayed after the restart");
      finish(world, 2);
    }
  }
  const double end = now() + 25;
  const auto brokenNow = [&] {
    const std::lock_guard lock(world.shared.mutex);
    return twice;
  };
  while (now() < end && !brokenNow()) sleepFor(0.05);
  
  const std::lock_guard lock(world.shared.mutex);
  for (const std::string& what : broken) record.line("BROKEN: %s", what.c_str());
  const bool ran = started.contains("job-000003/0");
  record.line("job-000003 %s", ran ? "started" : "has not started");
  if (!broken.empty()) finish(world, 1);
  finish(world, trouble || ran ? 0 : 2);
}
