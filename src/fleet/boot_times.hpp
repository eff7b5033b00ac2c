// Boot times of recent instances: when a booting instance counts as overdue, when its boot times out, and
// which pools often fail to boot.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "machines/machines.hpp"

namespace reachhoist::fleet {

// Recent boots per machine type and zone, forgotten after constants::kBootHistoryWindow.
class BootHistory {
 public:
  using Time = wire::Time;
  using Duration = wire::Duration;

  // An instance came up `startupLatency` after its instance request.
  void recordBoot(const std::string& machineType, const std::string& zone, Duration startupLatency, Time now);
  // An instance never came up and was given up.
  void recordBootTimeout(const std::string& machineType, const std::string& zone, Time now);

  // How long after its instance request an instance of this type and zone is expected to be up, given the
  // catalogue's boot time `nominalBootTimeS` in seconds.
  Duration expectedBootTime(const std::string& machineType, const std::string& zone, double nominalBootTimeS,
                            Time now) const;
  // After how long from its instance request a booting instance is given up, if others of its launch cohort
  // have come up.
  Duration bootTimeout(const std::string& machineType, const std::string& zone, double nominalBootTimeS,
                       Time now) const;
  // How much dearer a pool's instances are for those that never come up: 1 where all come up.
  double costFactor(const std::string& machineType, const std::string& zone, Time now) const;

 private:
  struct Boot {
    Time recordedAt{};
    Duration startupLatency{};
    bool succeeded = false;
  };
  using Key = std::pair<std::string, std::string>;  // machine type, zone
  void add(const Key& key, Boot boot);
  // Median startup latency of the recent successful boots; zero without enough of them.
  Duration medianBootTime(const Key& key, Time now) const;

  std::map<Key, std::deque<Boot>> records_;
};

// The booting and running instances grouped by when they were requested: those that have come up show whether
// the others are late.
class BootCohorts {
 public:
  explicit BootCohorts(const std::vector<machines::Machine*>& machines);
  // Whether most instances of the machine's type and zone that were requested at about the same time are up.
  // Where none has come up, all are slow, and another instance would be as slow; a few alone don't tell.
  bool lagsCohort(const machines::Machine& machine) const;

 private:
  struct Launch {
    wire::Time requestedAt{};
    bool up = false;
  };
  std::map<std::pair<std::string, std::string>, std::vector<Launch>> launches_;
};

}  // namespace reachhoist::fleet
