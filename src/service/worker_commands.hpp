// Commands to workers: what is to be started, stopped and forgotten on each machine, in the answers to its
// reports and directly, under tokens that make older commands void.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "machines/machines.hpp"
#include "service/context.hpp"

namespace reachhoist::service {

using machines::Attempt;
using machines::AttemptPhase;
using machines::Machine;
using machines::MachinePhase;

// How word of a machine came: its report to us, its report to a sibling, or its answer to a direct call.
enum class Source { heartbeat, relay, direct };

class WorkerCommands {
 public:
  struct Hooks {
    std::function<bool()> mayRenewLeases;    // the lead was confirmed lately enough to renew leases
    std::function<bool()> holdsLeaderLease;  // nobody else can lead yet
    std::function<bool(const Attempt&)> mayStartGang;
    std::function<bool(const wire::TaskId&)> isDurable;  // the task's completion is
    std::function<void(Machine&, const wire::WorkerHeartbeat&)> answered;
    std::function<void()> tokenAcknowledged;  // a machine has been seen with its newest token
  };

  WorkerCommands(Context& context, machines::MachineTable& machines, std::uint64_t term, Hooks hooks);
  WorkerCommands(const WorkerCommands&) = delete;

  std::uint64_t fencingTokenOf(const Machine& machine) const {
    return cluster::fencingToken(term_, machine.fencingSequence);
  }
  // The task is told to stop; a second time only with less grace.
  void stop(Machine& machine, Attempt& attempt, double graceS);
  // A direct command should carry what is due on the machine.
  void markDue(Machine& machine);
  // Makes commands under the machine's present token void.
  void advanceFencingToken(Machine& machine);
  // Notes whether the machine has been seen with its newest token.
  void noteAcknowledgedToken(Machine& machine);
  // Everything that is due on the machine, noted as sent that way.
  std::vector<wire::Command> commandsFor(Machine& machine, Source via, std::uint64_t sequence);
  void sendDirectCommands();

  // Calls to workers share the sockets, questions of others included.
  bool mayCall() const;
  void callBegins() { ++calls_; }
  void callEnds() { --calls_; }

 private:
  void sendDirectCommand(Machine& machine);
  void onDirectCommandAnswer(const std::string& host, std::uint64_t token, std::uint64_t incarnation,
                             const std::vector<wire::Command>& commands, const wire::CallResult& result);

  Context& context_;
  machines::MachineTable& machines_;
  std::uint64_t term_;
  Hooks hooks_;
  std::size_t calls_ = 0;      // under way
  std::set<std::string> due_;  // machines with orders that a direct command should carry
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace reachhoist::service
