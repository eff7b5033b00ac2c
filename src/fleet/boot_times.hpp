// Boot times of recent instances. They determine when the boot of an instance counts as overdue, when it
// times out, and which pools often fail to boot.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "machines/machines.hpp"

namespace reachhoist::fleet {

// Recent boots per machine type and zone. Boots older than constants::kBootHistoryWindow do not count.
class BootHistory {
 public:
  using Time = wire::Time;
  using Duration = wire::Duration;

  // Records that an instance came up `startupLatency` after its instance request.
  void recordBoot(const std::string& machineType, const std::string& zone, Duration startupLatency, Time now);
  // Records that an instance was given up because its boot timed out.
  void recordBootTimeout(const std::string& machineType, const std::string& zone, Time now);

  // The time from its instance request within which an instance of this type and zone is expected to be up.
  // `nominalBootTimeS` is the catalogue's boot time in seconds.
  Duration expectedBootTime(const std::string& machineType, const std::string& zone, double nominalBootTimeS,
                            Time now) const;
  // The time from its instance request after which a booting instance is given up, if others of its launch
  // cohort have come up.
  Duration bootTimeout(const std::string& machineType, const std::string& zone, double nominalBootTimeS,
                       Time now) const;
  // The factor by which boots that time out raise the cost of a pool's instances: 1 where all come up.
  double costFactor(const std::string& machineType, const std::string& zone, Time now) const;

 private:
  struct Boot {
    Time recordedAt{};
    Duration startupLatency{};
    bool succeeded = false;
  };
  using Key = std::pair<std::string, std::string>;  // machine type, zone
  void add(const Key& key, Boot boot);
  // The median startup latency of the recent successful boots, or zero if there are too few of them.
  Duration medianBootTime(const Key& key, Time now) const;

  std::map<Key, std::deque<Boot>> records_;
};

// The booting and running instances with their request times. Within a launch cohort, the instances that have
// come up show whether the boots of the others are overdue.
class BootCohorts {
 public:
  explicit BootCohorts(const std::vector<machines::Machine*>& machines);
  // Whether most instances of the machine's launch cohort are up: those of its type and zone that were
  // requested at about the same time. If none of them is up, another instance would boot as slowly. A cohort
  // smaller than constants::kMinBootSamples gives no evidence, so the machine counts as lagging.
  bool lagsCohort(const machines::Machine& machine) const;

 private:
  struct Launch {
    wire::Time requestedAt{};
    bool isUp = false;
  };
  std::map<std::pair<std::string, std::string>, std::vector<Launch>> launches_;
};

}  // namespace reachhoist::fleet
