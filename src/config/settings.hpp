// The settings of a controller. They come from the platform's settings file (JSON) and from the operators'
// file (HCL blocks, read with libconfuse).
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

// The addresses of the outside services, as host:port.
struct ServiceEndpoints {
  std::string cloud;
  std::string state;  // the key-value store
};

// The quota of a team: its guaranteed resources and the limits of its use.
struct Team {
  std::string name;
  double cpus = 0;     // guaranteed vCPUs
  double cpusMax = 0;  // maximum vCPUs; 0 means no limit
  double gpus = 0;     // guaranteed accelerators
  double gpusMax = 0;  // maximum accelerators; 0 means no limit
};

// A service-level objective of the deployment.
struct Objective {
  // "wait" limits the time until a job starts, "finished" the time until it ends. "deadline" refers to the
  // deadline that the job itself states.
  std::string kind;
  std::string jobClass;
  double withinS = 0;         // time since the job was accepted; for "wait" and "finished"
  double requiredShare = 0;   // share of the jobs that should meet the objective, 0..1
  double deadlineFactor = 0;  // multiplies the job's own deadline; for "deadline"
};

// Times of the workers' heartbeats, leases and gangs.
struct WorkerSettings {
  double heartbeatIntervalS = 3;
  double leaseS = 22;          // A worker stops its tasks this long after its last answered heartbeat.
  double cancelS = 42;         // The tasks of a cancelled job must have ended within this time.
  double gangWaitS = 45;       // A task of a gang waits this long for the other tasks.
  double gangStopWindowS = 4;  // All tasks of a gang must receive their stop commands within this time.
};

// Limits of the key-value store.
struct StateLimits {
  double requestsPerS = 60;
  double writesPerS = 20;
  double maxValueKib = 8;           // maximum size of a value
  unsigned opsPerTransaction = 12;  // maximum number of puts and deletes in a transaction
};

// Limits of the cloud's interface.
struct CloudLimits {
  double requestsPerS = 4;
  double listLagS = 6;  // maximum delay until the instance list shows a change
};

// The resources that the controller process may use.
struct ProcessLimits {
  double coreShare = 1;  // share of one CPU core
  double ramMb = 0;
  unsigned maxConnections = 1000;  // maximum number of sockets for incoming and outgoing connections
};

// The weight of one group in the operators' fair-share table.
struct ShareWeight {
  std::string group;
  double weight = 0;
};

// The operators' block `shares`. Without it the capacity is not divided among groups.
struct ShareSettings {
  bool enabled = false;
  std::uint64_t generation = 1;  // A table never replaces a stored table of a higher generation.
  double othersWeight = 1;       // weight of all jobs that match no group
  double reclaimStep = 0.1;      // share of the capacity that is reclaimed at once
  std::vector<ShareWeight> groups;
};

// The settings that operators can change. Every value has a default.
struct OperatorSettings {
  double sizingRoundS = constants::kDefaultSizingRoundS;
  double scaleUpCooldownS = constants::kDefaultScaleUpCooldownS;
  double scaleDownCooldownS = constants::kDefaultScaleDownCooldownS;
  int stepDivisor = constants::kDefaultStepDivisor;
  double probeChance = 0.15;  // probability of a random step in the first round, 0..1
  double probeDecay = 0.95;   // multiplies the probability from round to round
  double probeFloor = 0.05;   // minimum of the probability
  int episodes = 15;          // number of episodes that are retrieved for a step
  double headroomShare = constants::kDefaultHeadroomShare;
  double reserveShare = constants::kDefaultReserveShare;
  double idleScaleInS = 45;  // An empty machine is released after this time.
  ShareSettings shares;
};

// All settings of one controller.
struct Settings {
  std::string label;       // this controller's name
  std::string area;        // the network area in which this controller runs
  std::string bind;        // host:port of the HTTP server
  std::string peerListen;  // host:port of the peer listener
  std::vector<Sibling> siblings;
  ServiceEndpoints endpoints;
  unsigned initialSize = 1;  // number of controllers at the first start of the deployment
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  WorkerSettings workers;
  StateLimits stateLimits;
  CloudLimits cloudLimits;
  ProcessLimits processLimits;
  double maxClockErrorMs = 0;  // maximum error of the system clock
  // The number of partitions at the first start. It follows from the present limits even if lower limits are
  // announced, because it never changes afterwards and every version must compute the same number.
  unsigned initialPartitions = 1;
  OperatorSettings operators;

  // These functions return the team or sibling with this name, or null if there is none.
  const Team* team(const std::string& name) const;
  const Sibling* sibling(const std::string& name) const;

  // Returns the number of sockets for outgoing calls.
  unsigned clientSockets() const;
  // Returns how many of these sockets calls to workers may use at the same time.
  unsigned maxWorkerCalls() const { return clientSockets() - constants::kReservedServiceSockets; }
  // Returns the number of sockets for incoming connections of workers and users.
  unsigned serverSockets() const {
    return processLimits.maxConnections - clientSockets() - constants::kPeerLinkSockets;
  }

  // Returns how long a leader may answer heartbeats after the last confirmation of its leadership
  // (docs/safety.md, point 7).
  std::chrono::milliseconds answerWindow() const;
  // Returns the time after which a worker's lease has certainly expired, counted from the last answer that
  // the worker could have received.
  std::chrono::milliseconds leaseExpiry() const;
};

// A value that was rejected.
struct FieldError {
  std::string field;   // the path of the field, such as "facts.teams[0].cpus", or the name of the file
  std::string reason;  // says what is wrong with the value
};

// Reads the platform's settings file into `settings`. Returns the first error; `settings` is then incomplete.
std::optional<FieldError> loadPlatform(const std::string& path, Settings& settings);
// Does the same with the contents of the file.
std::optional<FieldError> parsePlatform(const std::string& text, Settings& settings);
// Reads the operators' file into `settings.operators`. Returns the first error; `settings` is then
// incomplete.
std::optional<FieldError> loadOperators(const std::string& path, Settings& settings);
// Does the same with the contents of the file.
std::optional<FieldError> parseOperators(const std::string& text, Settings& settings);

}  // namespace reachhoist::config
