// Case 7: a machine stops while a gang whose tasks take nothing of their machines, and that must be spread over two zones,
// is started. When no place is left for it, each leader hangs in turn, and no question is answered any more.
#include <iostream>

#include "small_site.hpp"

using namespace deployment;

namespace {

constexpr double kEndS = 114;
constexpr double kForgottenS = 75;  // the rule: no question about the job is answered for this long
constexpr double kHangS = 60;       // a process that runs and answers no request for this long hangs
constexpr const char* kGang = "job-000300";
constexpr const char* kLostZone = "piassa";

// Like the Addis Artisan Market Authority Cluster.
SiteFacts addis() {
  SiteFacts facts;
  facts.zones = {"merkato", "piassa", "bole"};
  facts.workers = WorkerTimes{3, 22, 42, 45, 4};
  facts.state = {60, 20, 12};
  facts.valueKb = 8;
  facts.cloudRps = 4;
  facts.listLagS = 6;
  facts.coreShare = 0.2;
  facts.ramMb = 136;
  facts.clockOffMs = 1000;
  facts.maxConnections = 2500;
  facts.types = Json::array({SmallSite::type("shuttle", 16, 128, 1.09, 0.42, 50, 0.8, 25, facts.zones)});
  facts.teams = Json::array();
  for (int i = 0; i < 10; ++i) facts.teams.push_back(SmallSite::team("registry-desk-0" + std::to_string(i), 0, 0));
  facts.objectives = Json::array({Json{{"kind", "deadline"}, {"class", "price-survey"}, {"share", 0.94}, {"times", 1.0}}});
  return facts;
}

Json survey(const std::string& ref, const std::string& zone, double runS) {
  Json job = SmallSite::job(ref, "price-survey", "registry-desk-00", "sweep", "standard", 4, 2, 12, "survey");
  job["yard"] = zone;
  job["expectS"] = runS;
  job["dueS"] = runS + 20;
  return job;
}

// Asks a controller whether it is healthy; any answer counts.
bool answers(const Controller& controller) { return call(controller.bind, "GET", "/healthz", Json(), 1).first != 0; }

int run(SmallSite& site) {
  if (!site.waitUntilReady(15)) return site.record.line("result: the controllers did not become ready"), 2;
  // One array runs through the whole test; the other one ends soon, and its machine stays.
  if (site.users.submit(survey("job-000001", "merkato", 110), 110) != 201) return 2;
  if (site.users.submit(survey("job-000002", kLostZone, 1), 1) != 201) return 2;
  while (site.taskCount("job-000001", "running") < 4 || site.users.poll("job-000002") != "done") {
    sleepFor(0.2);
    if (now() > 20) return site.record.line("result: the arrays did not start"), 2;
  }
  if (hasTrouble()) {
    for (const auto& machine : site.cloud.machines()) {
      if (machine->yard() != kLostZone) continue;
      machine->end();
      site.record.line("trouble: " + machine->host() + " stops with all that is on it");
    }
  }
  Json gang = SmallSite::job(kGang, "kiln-audit", "registry-desk-01", "ensemble", "high", 2, 0, 0, "audit");
  gang["apart"] = true;
  gang["expectS"] = 2.0;
  if (site.users.submit(gang, 2) != 201) return site.record.line("result: the gang was not accepted"), 2;

  const std::vector<std::string> refs{kGang, "job-000001"};
  std::map<std::string, double> answeredAt;  // by job or controller
  for (const std::string& ref : refs) answeredAt[ref] = now();
  for (const Controller& controller : site.controllers) answeredAt[controller.label] = now();
  while (now() < kEndS) {
    for (Controller& controller : site.controllers) {
      if (controller.hasEnded()) return site.record.line("result: " + controller.label + " ended by itself"), 1;
      if (answers(controller)) answeredAt[controller.label] = now();
    }
    for (const std::string& ref : refs) {
      const std::string stage = site.users.poll(ref);
      if (!stage.empty()) answeredAt[ref] = now();
      if (ref == kGang && stage == "done" && !hasTrouble()) {
        site.record.line("result: the rule held; the gang is done");
        return 0;
      }
      if (now() - answeredAt[ref] < kForgottenS) continue;
      site.record.line("result: broken; no question about " + ref + " has been answered for 75 s");
      return 1;
    }
    sleepFor(0.3);
  }
  int hanging = 0;
  for (const Controller& controller : site.controllers)
    if (now() - answeredAt[controller.label] >= kHangS) ++hanging;
  site.record.line("result: " + std::string(hanging > 0 ? "broken; " : "the rule held; ") + std::to_string(hanging) +
                   " processes run and have answered nothing for 60 s");
  return hanging > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  startedAt();
  ::signal(SIGPIPE, SIG_IGN);
  // The site is never deleted, because its threads use it until the process ends.
  auto& site = *new SmallSite(argc > 1 ? argv[1] : "record.txt", {{"shuttle", {20, 12}}}, addis());
  const int result = run(site);
  site.stop();
  std::cout << "exit " << result << std::endl;
  std::_Exit(result);
}
