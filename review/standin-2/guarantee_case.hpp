// The cases 9 and 10: the cloud has fewer machines to give. A team's job fits within its guarantee, and another team
// uses more than its own guarantee on the only machine. The job has to get the room that the other team has borrowed.
#pragma once

#include <iostream>

#include "small_site.hpp"

namespace deployment {

struct GuaranteeCase {
  std::vector<Json> borrowers;  // accepted first; together they fill a machine
  double borrowersRunS = 0;     // of each of their tasks, if they are arrays
  std::size_t borrowedTasks = 0;
  Json owner;  // accepted once the others run
  double ownerRunS = 0;
  double borrowersGuaranteeCpus = 0;
};

constexpr double kOwnersGuaranteeCpus = 24;
constexpr double kGuaranteeEndS = 118;
constexpr double kGuaranteeBoundS = 90;  // far above the 5 s of the site's aim for work within a guarantee

// Allows the machine type `floor` only.
inline Json onFloor(Json job) {
  job["rigs"] = Json::array({"floor"});
  return job;
}

inline int runGuaranteeCase(SmallSite& site, const GuaranteeCase& test) {
  if (!site.waitUntilReady(15)) return site.record.line("result: the controllers did not become ready"), 2;
  for (const Json& job : test.borrowers)
    if (site.users.submit(job, test.borrowersRunS) != 201) return 2;
  const auto borrowersRunning = [&] {
    std::size_t count = 0;
    for (const Json& job : test.borrowers) count += site.taskCount(job["ref"].get<std::string>(), "running");
    return count;
  };
  while (borrowersRunning() < test.borrowedTasks) {
    sleepFor(0.05);
    if (now() > 25) return site.record.line("result: the first jobs did not start"), 2;
  }
  const std::string ref = test.owner["ref"].get<std::string>();
  const std::string team = test.owner["crew"].get<std::string>();
  const std::string otherTeam = test.borrowers.front()["crew"].get<std::string>();
  if (site.users.submit(test.owner, test.ownerRunS) != 201) return 2;
  const double acceptedAt = now();
  std::size_t fewest = test.borrowedTasks;
  double nextPollAt = 0;
  while (now() < kGuaranteeEndS) {
    sleepFor(0.02);
    for (Controller& controller : site.controllers)
      if (controller.hasEnded()) return site.record.line("result: " + controller.label + " ended by itself"), 1;
    if (now() >= nextPollAt) {
      site.users.poll(ref);
      nextPollAt = now() + 5;
    }
    fewest = std::min(fewest, borrowersRunning());
    if (site.taskCount(ref, "running") > 0) {
      site.record.line("result: the rule held; the job within its team's guarantee runs");
      return 0;
    }
    if (now() - acceptedAt < kGuaranteeBoundS) continue;
    std::ostringstream text;
    text << "result: broken; " << ref << " has not started in " << kGuaranteeBoundS << " s. Its team uses "
         << site.teamCpus(team) << " vCPUs of " << kOwnersGuaranteeCpus << " guaranteed, and " << otherTeam << " uses "
         << site.teamCpus(otherTeam) << " with " << test.borrowersGuaranteeCpus << " guaranteed. At times " << fewest
         << " of the other team's " << test.borrowedTasks << " tasks ran.";
    site.record.line(text.str());
    return 1;
  }
  site.record.line("result: undecided at the end");
  return 2;
}

// The site's cloud has two ordinary machines `floor`; with the trouble it has one.
inline int guaranteeMain(int argc, char** argv, const GuaranteeCase& test) {
  startedAt();
  ::signal(SIGPIPE, SIG_IGN);
  const int floors = hasTrouble() ? 1 : 2;
  // The site is never deleted, because its threads use it until the process ends.
  auto& site = *new SmallSite(argc > 1 ? argv[1] : "record.txt",
                              {{"runner", {10, 6}}, {"clerk", {9, 3}}, {"floor", {floors, 2}}});
  site.record.line("trouble: the cloud has " + std::to_string(floors) + " ordinary machine(s) of the type floor");
  const int result = runGuaranteeCase(site, test);
  site.stop();
  std::cout << "exit " << result << std::endl;
  std::_Exit(result);
}

}  // namespace deployment
