// A simulated deployment in virtual time: controllers, key-value store, cloud, workers and users, and the
// network between them. Scenarios drive it, and the checker verifies it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standin/checker.hpp"
#include "standin/cloud.hpp"
#include "standin/controllers.hpp"
#include "standin/counters.hpp"
#include "standin/faults.hpp"
#include "standin/gang_tracker.hpp"
#include "standin/heartbeat_replay.hpp"
#include "standin/key_value_store.hpp"
#include "standin/network.hpp"
#include "standin/operators.hpp"
#include "standin/simulation.hpp"
#include "standin/users.hpp"
#include "standin/waiting_jobs_monitor.hpp"
#include "standin/worker.hpp"
#include "standin/workload.hpp"

namespace standin {

inline constexpr const char* kHeartbeatPath = "/v1/report";

// Holds the parts of the deployment, each of which reaches the others through it. Subclasses override the
// virtual functions if the controllers run as processes of their own.
class World {
 public:
  World(config::Settings settings, std::vector<MachineTypeSpec> machineTypes, KeyValueStore::Limits limits,
        std::uint64_t seed);
  World(const World&) = delete;
  World& operator=(const World&) = delete;
  virtual ~World() = default;

  // Starts the controllers, the users' polls and the checks.
  void start();
  // Starts a partition between the controller and both the key-value store and its siblings. Workers and
  // users still reach the controller.
  void partitionFromStoreAndPeers(const std::string& controller, double durationS);

  // Returns a machine that runs a task of the job, or null.
  Worker* workerRunning(const std::string& ref);
  // Returns every nth of the machines that are up.
  std::vector<Worker*> everyNth(std::size_t n);
  // CPUs that tasks of the class use on machines that are up.
  double cpusOfClass(const std::string& jobClass) const;
  std::size_t aliveMachines() const;

  // --- clocks, which run slow with FaultPlan::clockSlowdown
  wire::Time clock() const;
  // Returns the duration that a worker's clock shows for a true duration.
  double workerClockS(double trueS) const { return trueS * (1 - faults.clockSlowdown); }

  // Chooses at random whether a message arrives a second time, and schedules the second delivery if so.
  void repeatLater(const Repetition& repetition, std::function<void()> deliver);

  // --- the controllers, here within this process
  virtual void startController(ControllerProcess& process) { controllers.run(process); }
  virtual void sendToController(ControllerProcess& process, const std::string& method,
                                const std::string& target, const std::string& body, Answer answer) {
    controllers.send(process, method, target, body, std::move(answer));
  }
  // The controller that a user's next request goes to.
  virtual ControllerProcess& pickController() { return controllers.nextRunningProcess(); }
  // The endpoint for commands to the worker.
  virtual std::string workerEndpoint(const std::string& host) const { return host + ":9000"; }

  Simulation sim;
  KeyValueStore store;
  Network network;
  FaultPlan faults;
  Counters counters;
  Workload workload;
  Checker checker;
  config::Settings baseSettings;  // of all controllers, except label, area and siblings
  std::map<std::string, std::unique_ptr<Worker>> workers;  // by host, including released and killed machines
  Controllers controllers;
  Cloud cloud;
  GangTracker gangs;
  Users users;
  HeartbeatReplay heartbeatReplay;
  std::unique_ptr<Operators> operators;
  std::function<void(const std::string&)> log;  // receives the controllers' log lines

 private:
  void checkRegularly();

  WaitingJobsMonitor waitingJobsMonitor_;
};

}  // namespace standin
