// Which zones seem cut off from this controller, judged by the machines that have fallen silent.
#pragma once

#include <map>
#include <set>
#include <string>

#include "machines/machines.hpp"

namespace reachhoist::service {

class ZoneCuts {
 public:
  using Time = wire::Time;

  explicit ZoneCuts(const config::Settings& settings) : settings_(settings) {}

  // Looks at all machines anew.
  void observe(const machines::MachineTable& machines, Time now);

  // Zones of which most machines are quiet.
  const std::set<std::string>& zones() const { return zones_; }
  bool contains(const std::string& zone) const { return zones_.contains(zone); }
  // Nearly all machines are quiet, wherever they are: it is this controller that is cut off.
  bool selfCut() const { return selfCut_; }
  // For how long that has been so, of machines that had been heard from; zero if it is not.
  wire::Duration selfCutFor(Time now) const;

 private:
  bool quiet(const machines::Machine& machine, Time now) const;

  const config::Settings& settings_;
  std::set<std::string> zones_;
  std::map<std::string, Time> until_;
  bool selfCut_ = false;
  Time selfCutSince_{};
};

}  // namespace reachhoist::service
