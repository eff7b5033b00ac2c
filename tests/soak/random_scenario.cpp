#include "soak/random_scenario.hpp"

#include <algorithm>
#include <functional>
#include <random>
#include <sstream>
#include <vector>

namespace soak {

namespace {

constexpr int kFirstJob = 1000;
constexpr double kFaultsBeginS = 15;
constexpr double kFaultsEndS = 130;
// By then the longest delays of repeated messages have passed and all leases have been renewed or have run
// out.
constexpr double kFaultsOverS = 200;
constexpr double kEndS = 320;

// Writes one scenario. Its random choices do not use the distributions of the standard library, whose results
// differ between implementations.
class Writer {
 public:
  explicit Writer(std::uint64_t seed) : random_(seed) { text_ << "seed " << seed % 100000 << "\n"; }

  std::string write() {
    writeDeployment();
    writeServices();
    writeArrays();
    writeGangs();
    writeCancellations();
    writeFaults();
    writeRepeatedRequests();
    writeEnd();
    return text_.str();
  }

 private:
  using Choices = std::vector<std::string>;

  double between(double low, double high) {
    constexpr double kSteps = 1000;
    return low + (high - low) * static_cast<double>(random_() % static_cast<std::uint64_t>(kSteps)) / kSteps;
  }
  int count(int low, int high) {
    return low + static_cast<int>(random_() % static_cast<std::uint64_t>(high - low + 1));
  }
  const std::string& pick(const Choices& choices) { return choices[random_() % choices.size()]; }
  bool chance(double share) { return between(0, 1) < share; }
  std::string nextJob() { return "job-" + std::to_string(kFirstJob + jobs_++); }

  void writeDeployment() {
    const double heartbeatS = between(1.5, 5);
    const double leaseS = 10 + 3.5 * heartbeatS;
    text_ << "zones a b c\n"
          << "controllers " << pick({"3", "5"}) << "\n"
          << "heartbeat " << heartbeatS << "\nlease " << leaseS << "\ncancel-limit "
          << leaseS + between(20, 30) << "\nteam t quota=" << count(60, 200)
          << "\nteam u guarantee=20 quota=80\n"
          << "type small cpus=8 mem=32 boot=" << count(2, 8) << " on-demand=" << count(6, 12)
          << " spot=" << count(4, 8) << "\n";
  }

  void writeServices() {
    const int services = count(2, 5);
    for (int i = 0; i < services; ++i)
      text_ << "at " << between(1, 60) << " submit " << nextJob() << " service tasks=" << count(1, 6)
            << " cpus=2 priority=prod team=" << pick({"t", "u"}) << " " << pick({"", "spread-zones"}) << "\n";
  }

  void writeArrays() {
    const int groups = count(3, 6);
    for (int i = 0; i < groups; ++i) {
      const int jobs = count(2, 12);
      text_ << "at " << between(1, 100) << " submit-many " << kFirstJob + jobs_ << " " << jobs << " "
            << between(0.05, 3) << " tasks=" << count(1, 8) << " cpus=" << count(1, 4)
            << " run=" << between(2, 50) << " team=" << pick({"t", "u"})
            << " priority=" << pick({"best_effort", "standard", "high"}) << " "
            << pick({"", "spot", "single-zone"}) << " "
            << pick({"", "", "zone=a", "zone=b", "checkpoint-interval=10"}) << "\n";
      jobs_ += jobs;
      arrays_ += jobs;
    }
  }

  void writeGangs() {
    const int gangs = count(0, 2);
    for (int i = 0; i < gangs; ++i)
      text_ << "at " << between(5, 80) << " submit " << nextJob() << " gang tasks=" << count(2, 5)
            << " cpus=2 run=" << between(10, 40) << " team=t\n";
  }

  void writeCancellations() {
    cancellations_ = count(1, 12);
    for (int i = 0; i < cancellations_; ++i)
      text_ << "at " << between(10, kFaultsEndS) << " cancel job-" << kFirstJob + count(0, jobs_ - 1) << "\n";
  }

  void writeFaults() {
    const int faults = count(3, 9);
    for (int i = 0; i < faults; ++i) {
      text_ << "at " << between(kFaultsBeginS, kFaultsEndS) << " ";
      writeFault();
      text_ << "\n";
    }
  }

  void writeFault() {
    const std::string node = pick({"hoist-0", "hoist-1", "hoist-2"});
    const std::vector<std::function<void()>> kinds{
        [&] {
          text_ << "crash " << pick({"leader", "leader", "follower", "all"}) << restartAfter();
        },
        [&] {
          text_ << "partition-zones " << pick({"a b", "a c", "b c"}) << " " << between(5, 45) << " "
                << pick({"delay", "drop"});
        },
        [&] { text_ << "crash-after-next-relay " << node << restartAfter(); },
        [&] { text_ << "repeat-commands " << between(0.2, 1) << " " << between(5, 60); },
        [&] { text_ << "duplicate-heartbeats " << between(0.1, 0.6) << " " << between(2, 50); },
        [&] {
          text_ << "lose-transaction-answers " << between(0.05, 0.3) << " apply-delay=" << between(1, 12);
        },
        [&] { text_ << "store-outage " << between(2, 20); },
        [&] { text_ << "store-outage-for " << node << " " << between(2, 15); },
        [&] { text_ << "suspend " << node << " " << between(1, 12); },
        [&] { text_ << "partition-from-workers " << node << " " << between(3, 20); },
        [&] { text_ << "partition-from-store-and-peers " << node << " " << between(3, 20); },
        [&] { text_ << "partition-from-workers-and-peers " << node << " " << between(3, 20); },
        [&] { text_ << "partition-outbound-every-nth " << count(1, 4) << " " << between(3, 30); },
        [&] { text_ << "fail-every-nth " << count(2, 5) << " hang " << between(2, 25); },
        [&] { text_ << "fail-every-nth " << count(3, 6) << " kill"; },
    };
    kinds[random_() % kinds.size()]();
  }

  void writeRepeatedRequests() {
    constexpr double kRepeatingShare = 0.4;
    if (!chance(kRepeatingShare)) return;
    text_ << "at " << between(0, kFaultsEndS) << " repeat-requests " << between(0.05, 1) << " "
          << between(1, 60) << "\n";
  }

  std::string restartAfter() { return " restart-after=" + pick({"0.2", "0.5", "4"}); }

  void writeEnd() {
    text_ << "at " << kFaultsEndS << " repeat-commands 0 0\nat " << kFaultsEndS << " repeat-requests 0 0\nat "
          << kFaultsEndS << " duplicate-heartbeats 0 0\nat " << kFaultsEndS
          << " lose-transaction-answers 0\nat " << kFaultsOverS << " faults-ended\n"
          << "expect " << kEndS << " jobs-done >= " << std::max(0, arrays_ - cancellations_) / 2 << "\nend "
          << kEndS << "\n";
  }

  std::mt19937_64 random_;
  std::ostringstream text_;
  int jobs_ = 0;
  int arrays_ = 0;
  int cancellations_ = 0;
};

}  // namespace

std::string randomScenario(std::uint64_t seed) { return Writer(seed).write(); }

}  // namespace soak
