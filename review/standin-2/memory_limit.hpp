// The platform's memory limit (DEPLOY-reachhoist.md, "Memory"): a controller that goes over it is ended, and started again
// about 4 s later (BRIEF-reachhoist.md).
#pragma once

#include "small_site.hpp"

namespace deployment {

class MemoryLimit {
 public:
  MemoryLimit(SmallSite& site, double ramMb)
      : site_(site), ramMb_(ramMb), backAt_(site.controllers.size(), -1), startedAt_(site.controllers.size(), 0) {}

  // Must be called often. Counts the ends so far.
  int check() {
    for (std::size_t i = 0; i < site_.controllers.size(); ++i) checkController(i);
    return ends_;
  }
  double mostMb() const { return mostMb_; }

 private:
  static constexpr double kBackAfterS = 4;

  static double residentMb(pid_t pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    long total = 0, resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1024 * 1024);
  }

  void checkController(std::size_t i) {
    Controller& controller = site_.controllers[i];
    if (backAt_[i] >= 0 && now() >= backAt_[i]) {
      backAt_[i] = -1;
      startedAt_[i] = now();
      controller.start(runCommand());
      site_.record.line("controller: " + controller.label + " started again");
    }
    if (controller.pid <= 0) return;
    const double usedMb = residentMb(controller.pid);
    mostMb_ = std::max(mostMb_, usedMb);
    const bool endedByItself = controller.hasEnded();
    if (!endedByItself && usedMb <= ramMb_) return;
    controller.kill();
    backAt_[i] = now() + kBackAfterS;
    // A process that can't start, because its port was taken meanwhile, doesn't count.
    if (!endedByItself || now() - startedAt_[i] > 1) ++ends_;
    site_.record.line("controller: " + controller.label +
                      (endedByItself ? " ended by itself"
                                     : " was ended for memory, at " + std::to_string(static_cast<int>(usedMb)) + " MB of " +
                                           std::to_string(static_cast<int>(ramMb_))));
  }

  SmallSite& site_;
  double ramMb_;
  std::vector<double> backAt_;  // when an ended controller starts again; -1: it runs
  std::vector<double> startedAt_;
  int ends_ = 0;
  double mostMb_ = 0;
};

}  // namespace deployment
