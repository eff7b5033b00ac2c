// Case 10: one machine fails every task that it starts for a few seconds. An array that met it never runs there again,
// although the machine is the only one with room for it.
#include <iostream>

#include "small_site.hpp"

using namespace deployment;

namespace {

constexpr double kEndS = 118;           // the test ends before this time
constexpr double kLeftWaitingS = 90;    // the rule: no job is left waiting for 90 s
constexpr double kSickAtLeastS = 5;
constexpr const char* kArray = "job-000100";

Json onFloor(Json job) {
  job["rigs"] = Json::array({"floor"});
  return job;
}

bool waitFor(const std::function<bool()>& condition, double untilS) {
  while (now() < untilS) {
    if (condition()) return true;
    sleepFor(0.05);
  }
  return condition();
}

int run(SmallSite& site) {
  if (!site.waitUntilReady(15)) return site.record.line("result: the controllers did not become ready"), 2;
  // Four services fill the first machine, and one task runs on the second.
  for (int i = 1; i <= 4; ++i)
    site.users.submit(onFloor(SmallSite::job("job-00000" + std::to_string(i), "order-gateway", "desk-team-00", "daemon",
                                             "prod", 4, 2, 3.6, "gateway")),
                      0);
  const auto areOnMachines = [&] {
    std::size_t count = 0;
    for (int i = 1; i <= 4; ++i) count += site.taskCount("job-00000" + std::to_string(i));
    return count == 16;
  };
  if (!waitFor(areOnMachines, 25)) return site.record.line("result: the services did not start"), 2;
  site.users.submit(
      onFloor(SmallSite::job("job-000005", "order-gateway", "desk-team-01", "daemon", "prod", 1, 2, 3.6, "gateway")), 0);
  if (!waitFor([&] { return site.taskCount("job-000005", "running") == 1; }, 35))
    return site.record.line("result: the last service did not start"), 2;

  std::shared_ptr<Worker> roomy;
  std::size_t machinesWithRoom = 0;
  for (const auto& machine : site.cloud.machines()) {
    if (machine->type()["label"] != "floor" || machine->freeCpus() < 2) continue;
    roomy = machine;
    ++machinesWithRoom;
  }
  if (machinesWithRoom != 1) return site.record.line("result: the services are not where the case needs them"), 2;

  const double sickAt = now();
  if (hasTrouble()) {
    roomy->sick = true;
    site.record.line("trouble: " + roomy->host() + " fails every task that it starts");
  }
  Json array = onFloor(SmallSite::job(kArray, "fill-recon", "desk-team-01", "sweep", "standard", 4, 2, 2.9, "recon"));
  array["expectS"] = 4.0;
  if (site.users.submit(array, 4) != 201) return site.record.line("result: the array was not accepted"), 2;
  if (hasTrouble()) {
    // It ends when the array's tasks have been tried once.
    if (!waitFor([&] { return now() > sickAt + kSickAtLeastS && site.taskCount(kArray) == 0; }, sickAt + 15))
      return site.record.line("result: the array was not tried on the machine"), 2;
    roomy->sick = false;
    site.record.line("trouble: over; " + roomy->host() + " works again");
  }

  double waitingSince = now();
  double nextPollAt = 0;
  while (now() < kEndS) {
    sleepFor(0.1);
    for (Controller& controller : site.controllers)
      if (controller.hasEnded()) return site.record.line("result: " + controller.label + " ended by itself"), 1;
    std::string stage;
    if (now() >= nextPollAt) {
      stage = site.users.poll(kArray);
      nextPollAt = now() + 5;
    }
    if (stage == "done") {
      site.record.line("result: the rule held; the array is done");
      return 0;
    }
    const bool hasRoom = roomy->isUp() && roomy->freeCpus() >= 2 &&
                         site.teamCpus("desk-team-01") + 2 <= SmallSite::kTeamLimitCpus;
    if (site.taskCount(kArray) > 0 || !hasRoom) waitingSince = now();
    if (now() - waitingSince >= kLeftWaitingS) {
      std::ostringstream text;
      text << "result: broken; " << kArray << " has been waiting for " << kLeftWaitingS << " s since the trouble was over, "
           << roomy->host() << " has " << roomy->freeCpus() << " vCPUs free, and its team uses "
           << site.teamCpus("desk-team-01") << " of " << SmallSite::kTeamLimitCpus;
      site.record.line(text.str());
      return 1;
    }
  }
  site.record.line("result: undecided at the end");
  return 2;
}

}  // namespace

int main(int argc, char** argv) {
  startedAt();
  ::signal(SIGPIPE, SIG_IGN);
  // Two ordinary machines `floor`, as the site has them. The site is never deleted, because its threads use it until the
  // process ends.
  auto& site = *new SmallSite(argc > 1 ? argv[1] : "record.txt",
                              {{"runner", {10, 6}}, {"clerk", {9, 3}}, {"floor", {2, 2}}});
  const int result = run(site);
  site.stop();
  std::cout << "exit " << result << std::endl;
  std::_Exit(result);
}
