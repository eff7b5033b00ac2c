// Case 8: jobs of a class come three times as often: three large arrays instead of one. Each leader that looks for machines
// to rent for them goes over its memory limit.
#include <iostream>

#include "memory_limit.hpp"

using namespace deployment;

namespace {

constexpr double kEndS = 110;
constexpr double kRamMb = 72;  // `ram_mb` of the site
constexpr int kEndsThatCount = 2;
constexpr int kTasks = 100'000;  // the most that a job may have
constexpr int kBurstFactor = 3;  // of the site's bursts

int run(SmallSite& site) {
  if (!site.waitUntilReady(15)) return site.record.line("result: the controllers did not become ready"), 2;
  MemoryLimit memory(site, kRamMb);
  const int arrays = hasTrouble() ? kBurstFactor : 1;
  if (hasTrouble()) site.record.line("trouble: arrays come three times as often");
  for (int i = 1; i <= arrays; ++i) {
    Json array = SmallSite::job("job-00010" + std::to_string(i), "surveillance-sweep", "compliance-lab", "sweep", "standard",
                                kTasks, 8, 2.9, "sweep");
    array["loaners"] = true;
    array["expectS"] = 20.0;
    if (site.users.submit(array, 20) != 201) return site.record.line("result: an array was not accepted"), 2;
  }
  // Another team's array, as every day has them.
  Json small = SmallSite::job("job-000001", "fill-recon", "desk-team-00", "sweep", "standard", 4, 2, 2.9, "recon");
  small["expectS"] = 4.0;
  small["dueS"] = 10.0;
  if (site.users.submit(small, 4) != 201) return site.record.line("result: the small array was not accepted"), 2;
  double nextPollAt = now();
  int ends = 0;
  while (now() < kEndS && ends < kEndsThatCount) {
    sleepFor(0.01);
    ends = memory.check();
    if (now() < nextPollAt) continue;
    nextPollAt = now() + 5;
    site.users.poll("job-000001");
  }
  site.record.line("result: " + std::string(ends > 0 ? "broken; " : "the rule held; ") + std::to_string(ends) +
                   " controllers ended; the most that one held was " + std::to_string(static_cast<int>(memory.mostMb())) +
                   " MB of 72");
  return ends > 0 ? 1 : 0;
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
