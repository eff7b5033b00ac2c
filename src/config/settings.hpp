// The settings of a controller: the platform's settings file (JSON) and the operators' own (HCL blocks, read
// by libconfuse).
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/constants.hpp"

namespace reachhoist::config {

// Another controller of this deployment.
struct Sibling {
  std::string label;
  std::string area;
  std::string endpoint;  // host:port of its peer listener
};

// Addresses of the outside services, as host:port.
struct ServiceEndpoints {
  std::string cloud;
  std::string state;  // the key-value store
};

// A team's quota: what it is guaranteed and the most it may use.
struct Team {
  std::string name;
  double cpus = 0;     // vCPUs guaranteed
  double cpusMax = 0;  // vCPUs; 0: no limit
  double gpus = 0;     // accelerators guaranteed
  double gpusMax = 0;  // accelerators; 0: no limit
};

// A service-level objective of the deployment.
struct Objective {
  std::string kind;  // "wait": until a job's start; "finished": until its end; "deadline": the job's own
  std::string jobClass;
  double withinS = 0;         // seconds from acceptance; for "wait" and "finished"
  double share = 0;           // of the jobs that shall meet it, 0..1
  double deadlineFactor = 0;  // factor of the job's due time; for "deadline"
};

// Heartbeats and leases of the workers, in seconds.
struct WorkerSettings {
  double heartbeatIntervalS = 3;
  double leaseS = 22;          // a worker stops its tasks this long after its last answered heartbeat
  double cancelS = 42;         // a cancelled job's tasks must be gone within this
  double gangWaitS = 45;       // a gang's task waits this long for the others
  double gangStopWindowS = 4;  // within which all tasks of a gang must be told to stop
};

// Limits of the key-value store.
struct StateLimits {
  double requestsPerS = 60;
  double writesPerS = 20;
  double maxValueKib = 8;           // largest value, in KiB
  unsigned opsPerTransaction = 12;  // puts and deletes
};

// Limits of the cloud's interface.
struct CloudLimits {
  double requestsPerS = 4;
  double listLagS = 6;  // how far the instance list may lag behind, in seconds
};

// What the controller's process may use.
struct ProcessLimits {
  double coreShare = 1;  // of one CPU core
  double ramMb = 0;
  unsigned maxConnections = 1000;  // sockets, in both directions
};

// The weight of one group in the operators' fair-share table.
struct ShareWeight {
  std::string group;
  double weight = 0;
};

// The operators' block `shares`; without it capacity is not divided.
struct ShareSettings {
  bool enabled = false;
  std::uint64_t generation = 1;  // of this table; an older one never replaces a newer one that is stored
  double othersWeight = 1;       // of all work in no group
  double reclaimStep = 0.1;      // share of the capacity that is reclaimed at once
  std::vector<ShareWeight> groups;
};

// What operators may set themselves; every value has a default.
struct OperatorSettings {
  double sizingRoundS = constants::kDefaultSizingRoundS;
  double scaleUpCooldownS = constants::kDefaultScaleUpCooldownS;
  double scaleDownCooldownS = constants::kDefaultScaleDownCooldownS;
  int stepDivisor = constants::kDefaultStepDivisor;
  double probeChance = 0.15;  // of a random step in the first round, 0..1
  double probeDecay = 0.95;   // factor of the probe chance from round to round
  double probeFloor = 0.05;   // least probe chance
  int episodes = 15;          // episodes retrieved for a step
  double headroomShare = constants::kDefaultHeadroomShare;
  double reserveShare = constants::kDefaultReserveShare;
  double idleScaleInS = 45;  // an empty machine is released after this many seconds
  ShareSettings shares;
};

// All settings of one controller.
struct Settings {
  std::string label;       // this controller's name
  std::string area;        // the network area it runs in
  std::string bind;        // host:port of the HTTP server
  std::string peerListen;  // host:port of the peer listener
  std::vector<Sibling> siblings;
  ServiceEndpoints endpoints;
  unsigned initialSize = 1;  // controllers of the deployment's first start
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  WorkerSettings workers;
  StateLimits stateLimits;
  CloudLimits cloudLimits;
  ProcessLimits processLimits;
  double clockOffMs = 0;  // how far the time of day may be off, in milliseconds
  // Partitions of a first start. From the present limits, also where lower ones are announced: the number is
  // kept for ever, and every version must come to the same.
  unsigned initialPartitions = 1;
  OperatorSettings operators;

  // The team or sibling of this name; null if there is none.
  const Team* team(const std::string& name) const;
  const Sibling* sibling(const std::string& name) const;

  // Sockets for outgoing calls.
  unsigned clientSockets() const;
  // Of those, the most that calls to workers may use at once.
  unsigned maxWorkerCalls() const { return clientSockets() - constants::kReservedServiceSockets; }
  // Sockets for incoming connections of workers and users.
  unsigned serverSockets() const {
    return processLimits.maxConnections - clientSockets() - constants::kPeerLinkSockets;
  }

  // How long after its leadership was last confirmed a controller may still answer heartbeats
  // (docs/safety.md, point 7).
  std::chrono::milliseconds answerWindow() const;
  // How long after the last answer that could have reached a worker its lease has certainly expired.
  std::chrono::milliseconds leaseExpiry() const;
};

// A value that was refused.
struct FieldError {
  std::string field;   // path of the field, such as "facts.teams[0].cpus", or the file's name
  std::string reason;  // what is wrong with it
};

// Reads the platform's settings file into `out`. Returns the first error; `out` is then incomplete.
std::optional<FieldError> loadPlatform(const std::string& path, Settings& out);
// The same from the file's text.
std::optional<FieldError> parsePlatform(const std::string& text, Settings& out);
// Reads the operators' file into `out.operators`. Returns the first error; `out` is then incomplete.
std::optional<FieldError> loadOperators(const std::string& path, Settings& out);
// The same from the file's text.
std::optional<FieldError> parseOperators(const std::string& text, Settings& out);

}  // namespace reachhoist::config
