// Case 11: the cloud's interface is down for 15 s. Gangs that no longer fit into their team's limit keep what is left of
// it for themselves, one after the other, and a small array of the team waits beside machines with room.
#include <iostream>

#include "small_site.hpp"

using namespace deployment;

namespace {

constexpr double kEndS = 118;
constexpr double kLeftWaitingS = 90;  // the rule: no job is left waiting for 90 s
constexpr double kOutageS = 15;
constexpr const char* kTeam = "desk-team-02";
constexpr const char* kArray = "job-000100";
constexpr double kArrayMemoryGb = 2.9;

Json gang(const std::string& ref) {
  Json job = SmallSite::job(ref, "open-auction-prep", kTeam, "ensemble", "high", 4, 2, 3.2, "auction");
  job["oneZone"] = true;
  job["expectS"] = 3.0;
  return job;
}

bool hasRoom(SmallSite& site) {
  if (site.teamCpus(kTeam) + 2 > SmallSite::kTeamLimitCpus) return false;
  for (const auto& machine : site.cloud.machines())
    if (machine->isUp() && !machine->loaners() && machine->freeCpus() >= 2 && machine->freeMemoryGb() >= kArrayMemoryGb)
      return true;
  return false;
}

int run(SmallSite& site) {
  if (!site.waitUntilReady(15)) return site.record.line("result: the controllers did not become ready"), 2;
  const double begin = now();
  const double outageEndsAt = begin + kOutageS;
  if (hasTrouble()) {
    site.cloud.down = true;
    site.record.line("trouble: the cloud's interface is down");
  }
  std::thread([&site, outageEndsAt] {
    sleepFor(outageEndsAt - now());
    if (site.cloud.down) site.record.line("trouble: over; the cloud's interface is back");
    site.cloud.down = false;
  }).detach();
  if (site.users.submit(gang("job-000201"), 3) != 201) return 2;
  sleepFor(begin + 9 - now());
  // Services with 34 of the 40 vCPUs that the team may use.
  for (int i = 1; i <= 5; ++i) {
    const int tasks = i <= 4 ? 4 : 1;
    if (site.users.submit(SmallSite::job("job-00000" + std::to_string(i), "order-gateway", kTeam, "daemon", "prod", tasks,
                                         2, 3.6, "gateway"),
                          0) != 201)
      return 2;
  }
  Json array = SmallSite::job(kArray, "fill-recon", kTeam, "sweep", "standard", 1, 2, kArrayMemoryGb, "recon");
  array["expectS"] = 3.0;
  if (site.users.submit(array, 3) != 201) return 2;

  bool secondGangSubmitted = false;
  double waitingSince = now();
  double nextPollAt = 0;
  while (now() < kEndS) {
    sleepFor(0.05);
    for (Controller& controller : site.controllers)
      if (controller.hasEnded()) return site.record.line("result: " + controller.label + " ended by itself"), 1;
    if (!secondGangSubmitted && now() > begin + 57) {
      secondGangSubmitted = true;
      if (site.users.submit(gang("job-000202"), 3) != 201) return 2;
    }
    if (now() >= nextPollAt) {
      nextPollAt = now() + 5;
      if (site.users.poll(kArray) == "done") {
        site.record.line("result: the rule held; the array is done");
        return 0;
      }
    }
    if (site.taskCount(kArray) > 0 || !hasRoom(site) || now() < outageEndsAt) waitingSince = now();
    if (now() - waitingSince < kLeftWaitingS) continue;
    std::ostringstream text;
    text << "result: broken; " << kArray << " has been waiting for " << kLeftWaitingS
         << " s since the trouble was over, beside a machine with room. Its team uses " << site.teamCpus(kTeam) << " of "
         << SmallSite::kTeamLimitCpus << " vCPUs";
    site.record.line(text.str());
    return 1;
  }
  site.record.line("result: undecided at the end");
  return 2;
}

}  // namespace

int main(int argc, char** argv) {
  startedAt();
  ::signal(SIGPIPE, SIG_IGN);
  // The site is never deleted, because its threads use it until the process ends.
  auto& site = *new SmallSite(argc > 1 ? argv[1] : "record.txt",
                              {{"runner", {10, 6}}, {"clerk", {9, 3}}, {"floor", {2, 2}}});
  const int result = run(site);
  site.stop();
  std::cout << "exit " << result << std::endl;
  std::_Exit(result);
}
