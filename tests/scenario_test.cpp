// Runs the scenarios: one small text file each (tests/scenarios/README.md says how they are written).
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "standin/world.hpp"

namespace {

namespace fs = std::filesystem;
using standin::JobPlan;
using standin::Json;
using standin::MachineTypeSpec;
using standin::World;

struct Line {
  int number = 0;
  std::vector<std::string> words;
};

// name=value words of a line; a bare word counts as a flag.
class Options {
 public:
  explicit Options(const std::vector<std::string>& words, std::size_t from) {
    for (std::size_t i = from; i < words.size(); ++i) {
      const auto equals = words[i].find('=');
      if (equals == std::string::npos) {
        values_[words[i]] = "";
      } else {
        values_[words[i].substr(0, equals)] = words[i].substr(equals + 1);
      }
    }
  }
  bool has(const std::string& key) const { return values_.contains(key); }
  std::string text(const std::string& key, const std::string& otherwise) const {
    const auto found = values_.find(key);
    return found == values_.end() ? otherwise : found->second;
  }
  double number(const std::string& key, double otherwise) const {
    const auto found = values_.find(key);
    return found == values_.end() ? otherwise : std::stod(found->second);
  }

 private:
  std::map<std::string, std::string> values_;
};

class Scenario {
 public:
  explicit Scenario(const fs::path& path) {
    std::ifstream in(path);
    std::string text;
    for (int number = 1; std::getline(in, text); ++number) {
      text = text.substr(0, text.find('#'));
      std::istringstream words(text);
      Line line{number, {}};
      for (std::string word; words >> word;) line.words.push_back(word);
      if (!line.words.empty()) lines_.push_back(std::move(line));
    }
  }

  void run() {
    settings_.reportS = 1.5;
    settings_.leaseS = 12;
    settings_.cancelS = 42;
    settings_.cloudListLagS = 4;
    settings_.zones = {"a", "b", "c"};
    std::vector<Line> steps;
    for (const Line& line : lines_)
      if (!set(line)) steps.push_back(line);
#ifdef SANITIZED
    if (large_) GTEST_SKIP() << "too slow under the sanitizers; the ordinary build plays it";
#endif
    for (std::size_t i = 0; i < controllers_; ++i)
      settings_.siblings.push_back(
          {"hoist-" + std::to_string(i), settings_.zones[i % settings_.zones.size()], "10.0.0.1:1"});
    settings_.label = "unset";
    settings_.cloudEndpoint = "cloud";
    settings_.stateEndpoint = "state";
    settings_.initialSize = 3;
    if (settings_.partsAtFirst == 1) settings_.partsAtFirst = 3;
    for (MachineTypeSpec& machineType : machineTypes_) machineType.type.zones = settings_.zones;
    World world(settings_, machineTypes_, limits_, seed_);
    world.drift = drift_;
    if (next_) {
      world.base.stateValueKb = settings_.stateValueKb;
      world.base.stateTxnOps = settings_.stateTxnOps;
    }
    if (std::getenv("SCENARIO_LOG") != nullptr)
      world.log = [](const std::string& line) { std::cout << line << "\n"; };
    world.start();
    if (!records_.empty()) world.inherit(readJson(records_));
    for (const Line& line : steps) schedule(world, line);
    world.sim.runUntil(end_);
    world.checker.finish();
    for (const std::string& broken : world.checker.broken()) ADD_FAILURE() << "broken rule: " << broken;
  }

 private:
  bool set(const Line& line) {
    const auto& words = line.words;
    const Options options(words, 1);
    const std::string& what = words[0];
    if (what == "zones") {
      settings_.zones.assign(words.begin() + 1, words.end());
    } else if (what == "report") {
      settings_.reportS = std::stod(words.at(1));
    } else if (what == "lease") {
      settings_.leaseS = std::stod(words.at(1));
    } else if (what == "cancel") {
      settings_.cancelS = std::stod(words.at(1));
    } else if (what == "controllers") {
      controllers_ = std::stoul(words.at(1));
    } else if (what == "sockets") {
      settings_.maxConnections = static_cast<unsigned>(std::stoul(words.at(1)));
    } else if (what == "large") {
      large_ = true;
    } else if (what == "drift") {
      drift_ = std::stod(words.at(1));
    } else if (what == "seed") {
      seed_ = std::stoull(words.at(1));
    } else if (what == "end") {
      end_ = std::stod(words.at(1));
    } else if (what == "team") {
      settings_.teams.push_back(
          {words.at(1), options.number("guarantee", 0), options.number("most", 0), 0, 0});
    } else if (what == "next") {
      settings_.stateValueKb = options.number("kb", 2);
      settings_.stateTxnOps = static_cast<unsigned>(options.number("ops", 4));
      next_ = true;
    } else if (what == "gang") {
      settings_.gangWaitS = options.number("wait", settings_.gangWaitS);
      settings_.gangPeerS = options.number("peer", settings_.gangPeerS);
    } else if (what == "records") {
      records_ = fs::path(FIXTURE_DIR) / words.at(1) / "state.json";
    } else if (what == "parts") {
      settings_.partsAtFirst = static_cast<unsigned>(std::stoul(words.at(1)));
    } else if (what == "state") {
      limits_.rps = options.number("rps", limits_.rps);
      limits_.writeRps = options.number("writes", limits_.writeRps);
      limits_.txnOps = static_cast<std::size_t>(options.number("ops", static_cast<double>(limits_.txnOps)));
      limits_.valueKb = options.number("kb", limits_.valueKb);
    } else if (what == "type") {
      MachineTypeSpec machineType;
      machineType.type.label = words.at(1);
      machineType.type.room = {options.number("cpus", 8), 0, options.number("mem", 32)};
      machineType.type.cacheGb = 50;
      machineType.type.pullGbPerS = options.number("pull", 1);
      machineType.type.rate = options.number("price", 0.4);
      machineType.type.marketPrice = options.number("market", 0.1);
      machineType.type.bootS = options.number("boot", 5);
      machineType.ordinary = static_cast<int>(options.number("ordinary", 10));
      machineType.spot = static_cast<int>(options.number("spot", 5));
      machineTypes_.push_back(machineType);
    } else {
      return false;
    }
    return true;
  }

  JobPlan job(const Line& line) const {
    const auto& words = line.words;
    const Options options(words, 4);
    JobPlan plan;
    wire_job(plan, words.at(3), options);
    return plan;
  }

  static void wire_job(JobPlan& plan, const std::string& ref, const Options& options) {
    auto& spec = plan.spec;
    spec.ref.text = ref;
    spec.jobClass = options.text("class", "lane");
    spec.team = options.text("team", "t");
    spec.kind = options.has("service") ? reachhoist::wire::JobKind::service
                : options.has("gang")  ? reachhoist::wire::JobKind::gang
                                       : reachhoist::wire::JobKind::array;
    const std::string priority = options.text("priority", "standard");
    for (const auto value : {reachhoist::wire::Priority::best_effort, reachhoist::wire::Priority::standard,
                             reachhoist::wire::Priority::high, reachhoist::wire::Priority::prod})
      if (name(value) == priority) spec.priority = value;
    spec.taskCount = static_cast<std::uint32_t>(options.number("tasks", 1));
    spec.each = {options.number("cpus", 2), 0, options.number("mem", 2)};
    spec.oneZone = options.has("onezone");
    spec.apart = options.has("apart");
    spec.spot = options.has("spot");
    spec.image = options.text("image", "img-0");
    spec.sizeGb = options.number("size", 1);
    plan.runS = options.number("run", 10);
    plan.laterS = options.number("later", 0);
    spec.expectS = spec.kind != reachhoist::wire::JobKind::service ? plan.runS : 0;
    spec.checkpointEveryS = options.number("saves", 0);
    spec.checkpointS = spec.checkpointEveryS > 0 ? 2 : 0;
    if (options.has("due")) spec.dueS = options.number("due", 0);
    if (options.has("zone")) spec.zone = options.text("zone", "");
    plan.wrong = options.has("wrong");
    if (plan.wrong && !options.text("wrong", "").empty()) plan.wrongAfterS = options.number("wrong", 1);
  }

  // Many jobs alike: the first number, how many, and how far apart.
  static void crowd(World& world, const Line& line) {
    const auto& words = line.words;
    const int first = std::stoi(words.at(3));
    const int count = std::stoi(words.at(4));
    const double gapS = std::stod(words.at(5));
    for (int i = 0; i < count; ++i) {
      JobPlan plan;
      wire_job(plan, "job-" + std::to_string(first + i), Options(words, 6));
      if (plan.spec.team.ends_with('*')) plan.spec.team.back() = static_cast<char>('0' + i % 10);
      if (plan.spec.image.ends_with('*')) plan.spec.image.back() = static_cast<char>('0' + i % 7);
      world.sim.at(std::stod(words.at(1)) + gapS * i, [&world, plan] { world.submit(plan); });
    }
  }

  static Json largePage(int hosts) {
    Json out{{"hosts", Json::object()}};
    for (int i = 0; i < hosts; ++i) {
      Json placed = Json::array();
      for (int k = 0; k < 4; ++k) {
        placed.push_back("job-" + std::to_string(500000 + i) + "/" + std::to_string(k));
        placed.push_back(1048577 + i);
      }
      out["hosts"]["vm-9" + std::to_string(10000 + i)] = Json::array({"small", "a", false, placed});
    }
    return out;
  }

  std::string nodeName(const World& world, const std::string& word) const {
    if (word == "leader") return world.leader();
    if (word != "follower") return word;
    for (const auto& node : world.nodes)
      if (node->controller && !node->controller->leading()) return node->settings.label;
    return "";
  }

  void schedule(World& world, const Line& line) {
    const auto& words = line.words;
    if (words[0] == "crash-on") {
      // The controller that has just had its Nth write below a prefix applied dies before it hears of it.
      world.state.onApplied = [this, &world, prefix = words.at(1), left = std::stoi(words.at(2)),
                               backS = Options(words, 3).number("back", 2)](const auto& from,
                                                                            const auto& key) mutable {
        if (key.starts_with(prefix) && left > 0 && --left == 0) world.crash(from, backS);
      };
      return;
    }
    const double at = std::stod(words.at(1));
    if (words[0] == "expect") {
      world.sim.at(at, [this, &world, line] { expect(world, line); });
    } else if (words[0] == "at") {
      if (words.at(2) == "crowd") {
        crowd(world, line);
      } else if (words.at(2) == "submit") {
        world.sim.at(at, [&world, plan = job(line)] { world.submit(plan); });
      } else {
        world.sim.at(at, [this, &world, line] { act(world, line); });
      }
    } else {
      ADD_FAILURE() << "line " << line.number << ": unknown step " << words[0];
    }
  }

  void act(World& world, const Line& line) const {
    const auto& words = line.words;
    const std::string& what = words.at(2);
    const Options options(words, 3);
    const auto seconds = [&](std::size_t i) { return std::stod(words.at(i)); };
    const auto machine = [&]() -> standin::Worker* {
      standin::Worker* worker = world.workerRunning(words.at(3));
      if (worker == nullptr) ADD_FAILURE() << "line " << line.number << ": no machine runs " << words.at(3);
      return worker;
    };
    if (what == "resubmit") {
      world.submit(world.jobs.at(words.at(3)));
    } else if (what == "abort") {
      world.abort(words.at(3));
    } else if (what == "crash") {
      const double back = options.number("back", 4);
      if (words.at(3) == "all") {
        for (const auto& node : world.nodes) world.crash(node->settings.label, back);
      } else {
        world.crash(nodeName(world, words.at(3)), back);
      }
    } else if (what == "state-outage") {
      world.state.outage(seconds(3));
    } else if (what == "deny") {
      world.state.deny(nodeName(world, words.at(3)), seconds(4));
    } else if (what == "cut") {
      world.cut(words.at(3), words.at(4), seconds(5), words.at(6) == "hold");
    } else if (what == "isolate") {
      world.isolate(nodeName(world, words.at(3)), seconds(4));
    } else if (what == "unreach") {
      world.unreach(nodeName(world, words.at(3)), seconds(4));
    } else if (what == "copies") {
      world.copyShare = seconds(3);
      world.copyLateS = seconds(4);
    } else if (what == "calm") {
      world.checker.calm(world.sim.now());
    } else if (what == "deafen") {
      if (auto* worker = machine()) worker->deafUntil = world.sim.now() + seconds(4);
    } else if (what == "cloud-outage") {
      world.cloudDownUntil = world.sim.now() + seconds(3);
    } else if (what == "lose-answers") {
      world.stateLossShare = seconds(3);
      world.stateLateS = options.number("late", 4);
    } else if (what == "state-limits") {
      world.state.lower(options.number("kb", 2), static_cast<std::size_t>(options.number("ops", 4)),
                        options.number("writes", 1000));
    } else if (what == "large-page") {
      // As the version in production may have written it, under larger limits.
      world.state.put("placed/77", largePage(static_cast<int>(seconds(3))));
    } else if (what == "state-slow") {
      world.stateSlowS = seconds(3);
    } else if (what == "mute") {
      world.mute(static_cast<std::size_t>(seconds(3)), seconds(4));
    } else if (what == "freeze") {
      world.freeze(nodeName(world, words.at(3)), seconds(4));
    } else if (what == "keep-report") {
      world.keepReport(words.at(3), seconds(4));
    } else if (what == "cancel-at-end") {
      world.cancelAtEndShare = seconds(3);
    } else if (what == "odd-requests") {
      world.oddRequests();
    } else if (what == "capacity") {
      world.capacity(words.at(3), std::stoi(words.at(4)));
    } else if (what == "boots-never") {
      world.bootsNever = words.at(3) == "on";
    } else if (what == "boots") {
      world.bootsFactor = options.number("factor", 1);
      world.bootsFail = options.number("fail", 0);
    } else if (what == "cut-workers") {
      world.cutWorkers(nodeName(world, words.at(3)), seconds(4));
    } else if (what == "lose") {
      world.lose(static_cast<std::size_t>(seconds(3)), words.at(4) == "hang" ? seconds(5) : 0);
    } else if (what == "hang") {
      if (auto* worker = machine()) worker->hang(seconds(4));
    } else if (what == "kill-machine") {
      if (auto* worker = machine()) worker->kill();
    } else if (what == "notice") {
      if (auto* worker = machine()) {
        worker->notice(seconds(4));
        world.sim.after(seconds(4), [worker] { worker->kill(); });
      }
    } else if (what == "sicken") {
      if (auto* worker = machine()) worker->sick = true;
    } else {
      ADD_FAILURE() << "line " << line.number << ": unknown action " << what;
    }
  }

  void expect(World& world, const Line& line) const {
    const auto& words = line.words;
    const std::string& what = words.at(2);
    std::ostringstream where;
    where << "line " << line.number << " at " << world.sim.now() << " s";
    const auto compare = [&](double actual, std::size_t from) {
      const double wanted = std::stod(words.at(from + 1));
      const std::string& how = words.at(from);
      const bool good = how == "==" ? actual == wanted : how == ">=" ? actual >= wanted : actual <= wanted;
      EXPECT_TRUE(good) << where.str() << ": " << what << " is " << actual << ", wanted " << how << " "
                        << wanted;
    };
    if (what == "running") {
      compare(static_cast<double>(world.checker.onMachines(words.at(3))), 4);
    } else if (what == "stage") {
      EXPECT_EQ(world.stage[words.at(3)], words.at(4)) << where.str();
    } else if (what == "answer") {
      compare(world.accepted.contains(words.at(3)) ? world.accepted.at(words.at(3)) : 0, 4);
    } else if (what == "starts") {
      compare(static_cast<double>(world.checker.starts()), 3);
    } else if (what == "rented") {
      compare(static_cast<double>(world.rented), 3);
    } else if (what == "done") {
      double done = 0;
      for (const auto& [ref, stage] : world.stage) done += stage == "done" ? 1 : 0;
      compare(done, 3);
    } else if (what == "gang-starts") {
      compare(static_cast<double>(world.gangStarts), 3);
    } else if (what == "gang-saves") {
      compare(static_cast<double>(world.gangSaves), 3);
    } else if (what == "layout") {
      compare(static_cast<double>(world.state.value("leader-term").value("layout", 0)), 3);
    } else if (what == "refused-size") {
      compare(static_cast<double>(world.state.refusedBySize()), 3);
    } else if (what == "late-starts") {
      compare(static_cast<double>(world.checker.startsAfterCancel()), 3);
    } else if (what == "refused") {
      double refused = 0;
      for (const auto& [ref, status] : world.refusals) refused += status == 400 || status == 422 ? 1 : 0;
      compare(refused, 3);
    } else if (what == "odd") {
      compare(static_cast<double>(world.refusals.size()), 3);
    } else if (what == "ended-and-cancelled") {
      compare(static_cast<double>(world.cancelledAtEnd.size()), 3);
    } else if (what == "changes") {
      compare(static_cast<double>(world.state.changes()), 3);
    } else if (what == "requests") {
      compare(static_cast<double>(world.state.requests()), 3);
    } else if (what == "elections") {
      compare(static_cast<double>(world.elections), 3);
    } else if (what == "served") {
      for (const std::string& broken : world.checker.unserved())
        ADD_FAILURE() << where.str() << ": " << broken;
    } else if (what == "calls") {
      compare(static_cast<double>(world.workerCallsMost), 3);
    } else if (what == "lost-leases") {
      compare(static_cast<double>(world.leasesLost), 3);
    } else if (what == "up") {
      double up = 0;
      for (const auto& [host, worker] : world.workers) up += worker->alive() ? 1 : 0;
      compare(up, 3);
    } else {
      ADD_FAILURE() << where.str() << ": unknown expectation " << what;
    }
  }

  static Json readJson(const fs::path& path) {
    std::ifstream in(path);
    return Json::parse(in);
  }

  std::vector<Line> lines_;
  fs::path records_;  // of another version, found in the state service at the start
  reachhoist::config::Settings settings_;
  std::vector<MachineTypeSpec> machineTypes_;
  standin::StateService::Limits limits_;
  std::uint64_t seed_ = 1;
  std::size_t controllers_ = 3;
  double end_ = 120;
  bool large_ = false;
  double drift_ = 0;
  bool next_ = false;
};

class Scenarios : public testing::TestWithParam<fs::path> {};

TEST_P(Scenarios, KeepsTheRulesAndWhatItExpects) { Scenario(GetParam()).run(); }

std::vector<fs::path> files() {
  std::vector<fs::path> out;
  for (const auto& entry : fs::directory_iterator(SCENARIO_DIR))
    if (entry.path().extension() == ".txt") out.push_back(entry.path());
  std::sort(out.begin(), out.end());
  return out;
}

INSTANTIATE_TEST_SUITE_P(Files, Scenarios, testing::ValuesIn(files()), [](const auto& info) {
  std::string label = info.param.stem().string();
  for (char& c : label)
    if (std::isalnum(static_cast<unsigned char>(c)) == 0) c = '_';
  return label;
});

}  // namespace
