// The controllers of a simulated world as processes in virtual time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "service/controller.hpp"
#include "standin/outgoing_calls.hpp"

namespace standin {

namespace config = reachhoist::config;
namespace service = reachhoist::service;
namespace wire = reachhoist::wire;
using wire::Json;

class World;

// Receives the status and body of an HTTP answer. Status 0 stands for a request without an answer.
using Answer = std::function<void(int status, const Json& body)>;

// One controller. Its state outlives the crashes of its process.
struct ControllerProcess {
  config::Settings settings;
  // Null if the controller has crashed or runs outside this process.
  std::unique_ptr<service::Controller> controller;
  // Number of starts and crashes. Events that an earlier incarnation scheduled have no effect.
  std::uint64_t incarnation = 0;
  std::map<std::uint64_t, std::function<void(const service::Response&)>> pendingReplies;
  std::uint64_t nextRequestNumber = 1;
  std::size_t workerCallsInFlight = 0;
  double suspendedUntilS = 0;
  const std::string& label() const { return settings.label; }
  bool isLeader() const { return controller && controller->isLeading(); }
};

class Controllers {
 public:
  explicit Controllers(World& world) : world_(world), calls_(world) {}

  // Creates one process for each sibling in the settings, without starting it.
  void create(const config::Settings& settings);
  // Starts the controller within this process.
  void run(ControllerProcess& process);
  void crash(const std::string& label, double restartAfterS);
  // Crashes the controller as soon as it has relayed the next heartbeat. That message is delayed on its way
  // and arrives just before the first one that the next process of the controller relays.
  void crashAfterNextRelay(const std::string& label, double restartAfterS);
  // Suspends the process for the duration. It then resumes where it was.
  void suspend(const std::string& label, double durationS);

  std::size_t count() const { return processes_.size(); }
  ControllerProcess& at(std::size_t index) { return *processes_[index]; }
  const std::vector<std::unique_ptr<ControllerProcess>>& all() const { return processes_; }
  // The process of the leader, or null if there is no leader.
  ControllerProcess* leadingProcess() const;
  // The leader's label, or "".
  std::string leaderLabel() const;
  // The next process in turn that has not crashed.
  ControllerProcess& nextRunningProcess();

  void send(ControllerProcess& process, const std::string& method, const std::string& target,
            const std::string& body, Answer answer);
  // Runs the action as soon as the process is not suspended, unless the process has crashed by then.
  void whenResumed(ControllerProcess& process, std::uint64_t incarnation, std::function<void()> action);
  // Delivers the result of a call that the controller made.
  void deliverResult(ControllerProcess& process, std::uint64_t call, const wire::CallResult& result);

 private:
  // A message whose sender crashes once it is on its way.
  struct DelayedRelay {
    double restartAfterS = 0;
    std::optional<service::OutgoingPeerMessage> message;  // unset until it has been sent
    std::uint64_t crashedIncarnation = 0;                 // of the sender
  };

  void tick(ControllerProcess& process, std::uint64_t incarnation);
  void stop(ControllerProcess& process);
  void carryOutActions(ControllerProcess& process);
  void sendToPeer(ControllerProcess& process, const service::OutgoingPeerMessage& send);
  // Returns whether the message is to be delayed beyond the crash of its sender.
  bool delayRelay(const ControllerProcess& process, const service::OutgoingPeerMessage& send);
  void deliverToPeer(const ControllerProcess& process, const service::OutgoingPeerMessage& send);
  void onLog(const std::string& label, const std::string& line);

  World& world_;
  OutgoingCalls calls_;
  std::vector<std::unique_ptr<ControllerProcess>> processes_;
  std::size_t nextIndex_ = 0;
  std::map<std::string, DelayedRelay> delayedRelays_;  // by label of the sender
};

}  // namespace standin
