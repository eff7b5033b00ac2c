// A deployment like Lakeshore Ticket Works Order Desk (../given/kit/sites/lakeshore-order-desk.toml): three controllers,
// its state service, its cloud with its three machine types, its workers and its teams. Machines boot in one second.
#pragma once

#include <algorithm>

#include "deployment.hpp"

namespace deployment {

// What differs between the sites. The defaults are those of Lakeshore.
struct SiteFacts {
  std::vector<std::string> zones{"cleveland-rack"};  // the controllers are in them in turn
  WorkerTimes workers;
  Store::Limits state;
  double valueKb = 32, cloudRps = 3, listLagS = 10, coreShare = 0.12, ramMb = 72, clockOffMs = 5;
  int maxConnections = 1000;
  Json types;  // those of Lakeshore if null
  Json teams;  // those of Lakeshore if null
  Json objectives = Json::array({Json{{"kind", "wait"}, {"class", "order-gateway"}, {"within_s", 60.0}, {"share", 0.9}},
                                 Json{{"kind", "deadline"}, {"class", "fill-recon"}, {"share", 0.82}, {"times", 1.0}}});
};

class SmallSite {
 public:
  SmallSite(const std::string& recordPath, Cloud::Capacity capacity, SiteFacts facts = {})
      : record(recordPath),
        facts_(std::move(facts)),
        directory_(std::filesystem::temp_directory_path() / ("review-case-" + std::to_string(::getpid()))),
        store(record, facts_.state),
        users(record, jobs, prepare()),
        cloud(record, jobs, facts_.workers, facts_.types.is_null() ? types() : facts_.types, std::move(capacity), 1.0,
              facts_.listLagS, addresses()) {
    std::filesystem::create_directories(directory_);
    for (Controller& controller : controllers) {
      controller.settingsPath = (directory_ / (controller.label + ".json")).string();
      controller.logPath = (directory_ / (controller.label + ".log")).string();
      std::ofstream(controller.settingsPath) << settings(controller).dump(1);
      controller.start(runCommand());
      record.line("controller: " + controller.label + " started");
    }
  }
  // Ends all controllers and removes the temporary folder.
  void stop() {
    for (Controller& controller : controllers) controller.kill();
    if (std::getenv("KEEP_LOGS") == nullptr) std::filesystem::remove_all(directory_);
  }
  // Waits until all controllers are healthy and one leads.
  bool waitUntilReady(double untilS) {
    while (now() < untilS) {
      std::size_t healthy = 0;
      for (std::size_t i = 0; i < controllers.size(); ++i) healthy += users.isHealthy(i) ? 1 : 0;
      if (healthy == controllers.size() && store.value("leader").contains("label")) return true;
      sleepFor(0.1);
    }
    return false;
  }
  // The number of tasks of the job that are on machines; with `stage`, only those in that stage.
  std::size_t taskCount(const std::string& ref, const std::string& stage = "") {
    std::size_t count = 0;
    for (const auto& machine : cloud.machines())
      for (const auto& [load, found] : machine->tasks())
        if (load.starts_with(ref + "/") && (stage.empty() || found == stage)) ++count;
    return count;
  }
  // The vCPUs that the team's tasks use.
  double teamCpus(const std::string& team) {
    double cpus = 0;
    for (const auto& machine : cloud.machines())
      for (const auto& [load, stage] : machine->tasks())
        if (const auto job = jobs.find(load); job && job->first["crew"] == team) cpus += job->first["vcpus"].get<double>();
    return cpus;
  }

  // A job with the fields that all classes of the site share.
  static Json job(const std::string& ref, const std::string& lane, const std::string& team, const std::string& shape,
                  const std::string& rank, int tasks, double cpus, double memoryGb, const std::string& image) {
    return Json{{"ref", ref},          {"lane", lane},         {"crew", team},      {"shape", shape},
                {"rank", rank},        {"loads", tasks},       {"vcpus", cpus},     {"accelerators", 0.0},
                {"memoryGb", memoryGb}, {"crate", image},      {"sizeGb", 0.3},     {"rigs", nullptr},
                {"yard", nullptr},     {"oneZone", false},     {"apart", false},    {"loaners", false},
                {"expectS", 0.0},      {"stowEveryS", 0.0},    {"stowS", 0.0},      {"dueS", nullptr}};
  }

  // One machine type of the cloud's catalogue.
  static Json type(const char* label, double cpus, double memoryGb, double price, double spotPrice, double cacheGb,
                   double pullGbPerS, double bootS, const std::vector<std::string>& zones) {
    return Json{{"label", label},     {"vcpus", cpus},            {"accelerators", 0.0}, {"memoryGb", memoryGb},
                {"cacheGb", cacheGb}, {"pullGbPerS", pullGbPerS}, {"rate", price},       {"marketPrice", spotPrice},
                {"bootS", bootS},     {"yards", zones}};
  }
  // A team with its guarantee and its limit.
  static Json team(const std::string& name, double cpus, double cpusMax) {
    return Json{{"name", name}, {"cpus", cpus}, {"cpus_max", cpusMax}, {"gpus", 0.0}, {"gpus_max", 0.0}};
  }

  Record record;

 private:
  SiteFacts facts_;
  std::filesystem::path directory_;

 public:
  Store store;
  Jobs jobs;
  std::vector<Controller> controllers;
  Users users;
  Cloud cloud;

  static constexpr double kTeamLimitCpus = 40;

 private:
  // Chooses the addresses of the controllers; returns those for users.
  std::vector<std::string> prepare() {
    std::vector<std::string> endpoints;
    for (int i = 0; i < 3; ++i) {
      Controller controller;
      controller.label = "hoist-" + std::to_string(i);
      controller.area = facts_.zones[static_cast<std::size_t>(i) % facts_.zones.size()];
      controller.bind = endpointOf(freePort());
      controller.peer = endpointOf(freePort());
      endpoints.push_back(controller.bind);
      controllers.push_back(controller);
    }
    return endpoints;
  }
  std::vector<std::pair<std::string, std::string>> addresses() const {
    std::vector<std::pair<std::string, std::string>> found;
    for (const Controller& controller : controllers) found.emplace_back(controller.label, controller.bind);
    return found;
  }
  Json types() const {
    return Json::array({type("runner", 8, 32, 0.28, 0.08, 50, 0.15, 40, facts_.zones),
                        type("clerk", 16, 64, 0.59, 0.18, 40, 0.1, 40, facts_.zones),
                        type("floor", 32, 64, 1.08, 0.29, 50, 0.12, 35, facts_.zones)});
  }
  // The guest team of ../given/kit/more has no guarantee and no limit.
  static Json teams() {
    Json list = Json::array();
    for (int i = 0; i < 10; ++i) list.push_back(team("desk-team-0" + std::to_string(i), 24, kTeamLimitCpus));
    list.push_back(team("compliance-lab", 0, 0));
    return list;
  }
  Json settings(const Controller& controller) const {
    Json siblings = Json::array();
    for (const Controller& other : controllers)
      if (other.label != controller.label)
        siblings.push_back(Json{{"label", other.label}, {"area", other.area}, {"endpoint", other.peer}});
    return Json{
        {"label", controller.label},
        {"area", controller.area},
        {"bind", controller.bind},
        {"peer_listen", controller.peer},
        {"siblings", siblings},
        {"endpoints", {{"cloud", cloud.endpoint()}, {"state", store.endpoint()}}},
        {"facts",
         {{"initial_size", 3},
          {"zones", facts_.zones},
          {"teams", facts_.teams.is_null() ? teams() : facts_.teams},
          {"objectives", facts_.objectives},
          {"workers",
           {{"report_s", facts_.workers.reportS},
            {"lease_s", facts_.workers.leaseS},
            {"gang_wait_s", facts_.workers.gangWaitS},
            {"gang_peer_s", facts_.workers.gangPeerS},
            {"cancel_s", facts_.workers.cancelS}}},
          {"state",
           {{"rps", facts_.state.rps},
            {"write_rps", facts_.state.writeRps},
            {"value_kb", facts_.valueKb},
            {"txn_ops", facts_.state.txnOps}}},
          {"cloud", {{"rps", facts_.cloudRps}, {"list_lag_s", facts_.listLagS}}},
          {"limits",
           {{"core_share", facts_.coreShare}, {"ram_mb", facts_.ramMb}, {"max_connections", facts_.maxConnections}}},
          {"clock_off_ms", facts_.clockOffMs}}}};
  }
};

}  // namespace deployment
