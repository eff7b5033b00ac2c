// How machines have lately come up: when one on its way counts as late, when it is given up, and which pools
// boot badly.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "machines/machines.hpp"

namespace reachhoist::fleet {

class BootHistory {
 public:
  using Time = wire::Time;
  using Duration = wire::Duration;

  // A machine came up so long after its rental.
  void came(const std::string& machineType, const std::string& zone, Duration after, Time now);
  // One was given up.
  void gaveUp(const std::string& machineType, const std::string& zone, Time now);

  // Until when a machine of this type and zone is expected to be up, counted from its rental.
  Duration expected(const std::string& machineType, const std::string& zone, double bootS, Time now) const;
  // After which it is given up, if others that were rented with it have come.
  Duration patience(const std::string& machineType, const std::string& zone, double bootS, Time now) const;
  // How much dearer a pool's machines are for those that never come: 1 where all come.
  double costFactor(const std::string& machineType, const std::string& zone, Time now) const;

 private:
  struct Boot {
    Time at{};
    Duration after{};
    bool up = false;
  };
  using Key = std::pair<std::string, std::string>;
  void add(const Key& key, Boot boot);
  // Of the recent boots; zero without enough of them.
  Duration median(const Key& key, Time now) const;

  std::map<Key, std::deque<Boot>> boots_;
};

// The machines that are on their way, by when they were rented: those that have come tell how to take the
// silence of those that have not.
class BootCohorts {
 public:
  explicit BootCohorts(const std::vector<machines::Machine*>& machines);
  // Most machines of its type and zone that were rented at about the same time are up. Where none has come,
  // all are slow, and another rental would be as slow; a few alone don't tell.
  bool leftBehind(const machines::Machine& machine) const;

 private:
  struct Rented {
    wire::Time at{};
    bool up = false;
  };
  std::map<std::pair<std::string, std::string>, std::vector<Rented>> rented_;
};

}  // namespace reachhoist::fleet
