// Case 7: the cloud has fewer machines to give. A job's task needs slightly more memory than the cheapest of the machine
// types has that the job allows, and the cloud has none of the other type left. The leader that looks for a machine to rent
// takes memory without bound, until it is ended, and so do the next ones.
#include <iostream>

#include "small_site.hpp"

using namespace deployment;

namespace {

constexpr double kEndS = 117;
constexpr double kRamMb = 72;      // `ram_mb` of the site
constexpr double kBackAfterS = 4;  // "back about 4 s after an end"
constexpr int kEndsThatCount = 2;
constexpr const char* kArray = "job-000100";

double residentMb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  long total = 0, resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1024 * 1024);
}

int run(SmallSite& site) {
  if (!site.waitUntilReady(15)) return site.record.line("result: the controllers did not become ready"), 2;
  // Ten services fill five machines `clerk`, up to the limits of two teams.
  constexpr int kServices = 10;
  const auto nameOf = [](int i) { return "job-0000" + std::to_string(10 + i); };
  for (int i = 0; i < kServices; ++i) {
    Json service = SmallSite::job(nameOf(i), "order-gateway", i < kServices / 2 ? "desk-team-00" : "desk-team-01", "daemon",
                                  "prod", 4, 2, 3.6, "gateway");
    service["rigs"] = Json::array({"clerk"});
    if (site.users.submit(service, 0) != 201) return 2;
  }
  const auto runningTasks = [&] {
    std::size_t count = 0;
    for (int i = 0; i < kServices; ++i) count += site.taskCount(nameOf(i), "running");
    return count;
  };
  while (runningTasks() < 4 * kServices) {
    sleepFor(0.05);
    if (now() > 30) return site.record.line("result: the services did not start"), 2;
  }
  // It fits on `clerk` (64 GB), and not on `runner` (32 GB).
  Json array = SmallSite::job(kArray, "fill-recon", "desk-team-02", "sweep", "standard", 1, 2, 32.00002, "recon");
  array["rigs"] = Json::array({"runner", "clerk"});
  array["expectS"] = 5.0;
  array["dueS"] = 10.0;
  if (site.users.submit(array, 5) != 201) return site.record.line("result: the array was not accepted"), 2;

  int ends = 0;
  std::vector<double> backAt(site.controllers.size(), -1);
  std::vector<double> startedAtS(site.controllers.size(), 0);
  double nextPollAt = now();
  std::string stage;
  while (now() < kEndS) {
    sleepFor(0.01);
    for (std::size_t i = 0; i < site.controllers.size(); ++i) {
      Controller& controller = site.controllers[i];
      if (backAt[i] >= 0 && now() >= backAt[i]) {
        backAt[i] = -1;
        startedAtS[i] = now();
        controller.start(runCommand());
        site.record.line("controller: " + controller.label + " started again");
      }
      if (controller.pid <= 0) continue;
      // The platform ends a process that takes more memory than its limit.
      const double usedMb = residentMb(controller.pid);
      const bool endedByItself = controller.hasEnded();
      if (!endedByItself && usedMb <= kRamMb) continue;
      controller.kill();
      backAt[i] = now() + kBackAfterS;
      // A process that can't start, because its port was taken meanwhile, doesn't count.
      if (!endedByItself || now() - startedAtS[i] > 1) ++ends;
      site.record.line("controller: " + controller.label +
                       (endedByItself ? " ended by itself"
                                      : " was ended for memory, at " + std::to_string(static_cast<int>(usedMb)) + " MB of 72"));
    }
    if (now() >= nextPollAt) {
      nextPollAt = now() + 3;
      stage = site.users.poll(kArray);
    }
    if (stage == "done" && ends == 0) {
      site.record.line("result: the rule held; the array is done and no controller ended");
      return 0;
    }
    if (ends >= kEndsThatCount) {
      site.record.line("result: broken; " + std::to_string(ends) + " controllers ended, and " + kArray + " is " +
                       (stage.empty() ? "unanswered" : stage));
      return 1;
    }
  }
  site.record.line("result: " + std::to_string(ends) + " controllers ended; " + kArray + " is " + stage);
  return ends > 0 ? 1 : 2;
}

}  // namespace

int main(int argc, char** argv) {
  startedAt();
  ::signal(SIGPIPE, SIG_IGN);
  // The site has nine ordinary machines `clerk`; with the trouble the cloud has 0.6 of them. The site is never deleted,
  // because its threads use it until the process ends.
  const int clerks = hasTrouble() ? 5 : 9;
  auto& site = *new SmallSite(argc > 1 ? argv[1] : "record.txt",
                              {{"runner", {10, 6}}, {"clerk", {clerks, 3}}, {"floor", {2, 2}}});
  site.record.line("trouble: the cloud has " + std::to_string(clerks) + " ordinary machines of the type clerk");
  const int result = run(site);
  site.stop();
  std::cout << "exit " << result << std::endl;
  std::_Exit(result);
}
