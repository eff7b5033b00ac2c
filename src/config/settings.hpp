// The platform's settings file (JSON) and the operators' own (HCL blocks, read by libconfuse).
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "config/constants.hpp"

namespace reachhoist::config {

struct Sibling {
  std::string label;
  std::string area;
  std::string endpoint;
};

struct Team {
  std::string name;
  double cpus = 0;     // guaranteed
  double cpusMax = 0;  // 0: no limit
  double gpus = 0;
  double gpusMax = 0;
};

struct Objective {
  std::string kind;
  std::string jobClass;
  double withinS = 0;
  double share = 0;
  double times = 0;
};

struct ShareLine {
  std::string group;
  double weight = 0;
};

// The block `shares`; without it nothing is divided.
struct ShareSettings {
  bool on = false;
  std::uint64_t generation = 1;  // of the table below; an older one never replaces a newer one that is stored
  double othersWeight = 1;
  double reclaimStep = 0.1;  // part of the capacity that is reclaimed at once
  std::vector<ShareLine> groups;
};

// What operators may set themselves; every value has a default.
struct Operators {
  double sizingRoundS = constants::kDefaultSizingRoundS;
  double scaleUpCooldownS = constants::kDefaultScaleUpCooldownS;
  double scaleDownCooldownS = constants::kDefaultScaleDownCooldownS;
  int stepDivisor = constants::kDefaultStepDivisor;
  double probeChance = 0.15;
  double probeDecay = 0.95;
  double probeFloor = 0.05;
  int episodes = 15;
  double spareShare = constants::kDefaultHeadroomShare;
  double reserveShare = constants::kDefaultReserveShare;
  double idleReturnS = 45;
  ShareSettings shares;
};

struct Settings {
  std::string label;
  std::string area;
  std::string bind;
  std::string peerListen;
  std::vector<Sibling> siblings;
  std::string cloudEndpoint;
  std::string stateEndpoint;
  unsigned initialSize = 1;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double heartbeatIntervalS = 3;
  double leaseS = 22;
  double cancelS = 42;
  double stateRps = 60;
  double stateWriteRps = 20;
  double stateValueKb = 8;
  unsigned stateTxnOps = 12;
  // The parts of a first start. From the present limits, also where lower ones are announced: the number is
  // kept for ever, and every version must come to the same.
  unsigned initialPartitions = 1;
  double gangWaitS = 45;  // a gang's task waits this long for the others
  double gangPeerS = 4;   // in which a gang's tasks must all be told to stop
  double cloudRps = 4;
  double cloudListLagS = 6;
  double coreShare = 1;
  double ramMb = 0;
  unsigned maxConnections = 1000;
  double clockOffMs = 0;
  Operators operators;

  const Team* team(const std::string& name) const;
  const Sibling* sibling(const std::string& name) const;

  // How the sockets are shared out: our own calls, of them those to workers at once, and the rest for whom we
  // serve.
  unsigned ownCallSockets() const;
  unsigned workerCallsMost() const { return ownCallSockets() - constants::kReservedServiceSockets; }
  unsigned serverSockets() const { return maxConnections - ownCallSockets() - constants::kPeerLinkSockets; }

  // How long after its last confirmed ownership a controller may still answer reports (safety point 7).
  std::chrono::milliseconds answerWindow() const;
  // How long after the last answer that could have reached a worker its tasks are certainly gone.
  std::chrono::milliseconds leaseOver() const;
};

struct Problem {
  std::string field;
  std::string reason;
};

std::optional<Problem> loadPlatform(const std::string& path, Settings& out);
std::optional<Problem> parsePlatform(const std::string& text, Settings& out);
std::optional<Problem> loadOperators(const std::string& path, Settings& out);
std::optional<Problem> parseOperators(const std::string& text, Settings& out);

}  // namespace reachhoist::config
