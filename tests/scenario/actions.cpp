#include <gtest/gtest.h>

#include <map>

#include "scenario/steps.hpp"

namespace scenario {

namespace {

using standin::Json;
using standin::Worker;
using standin::World;

using Action = void (*)(World&, const Line&);

// The label of the controller that a step names by its label or its role; "" if no controller has that role.
std::string controllerLabel(const World& world, const std::string& word) {
  if (word == "leader") return world.controllers.leaderLabel();
  if (word != "follower") return word;
  for (const auto& process : world.controllers.all())
    if (process->controller && !process->isLeader()) return process->label();
  return "";
}

std::string controllerLabel(const World& world, const Line& line) {
  return controllerLabel(world, line.word(3));
}

// --- users

void resubmit(World& world, const Line& line) { world.users.submit(world.workload.job(line.word(3))); }

void cancel(World& world, const Line& line) { world.users.cancel(line.word(3)); }

void cancelJobsAtEnd(World& world, const Line& line) { world.faults.cancelAtEndShare = line.real(3); }

void sendRepeatedAndInvalidRequests(World& world, const Line&) {
  world.users.sendRepeatedAndInvalidRequests();
}

// --- controllers

void crash(World& world, const Line& line) {
  const double restartAfterS = Options(line, 3).real("restart-after", 4);
  if (line.word(3) != "all") return world.controllers.crash(controllerLabel(world, line), restartAfterS);
  for (const auto& process : world.controllers.all())
    world.controllers.crash(process->label(), restartAfterS);
}

void crashAfterNextRelay(World& world, const Line& line) {
  world.controllers.crashAfterNextRelay(line.word(3), Options(line, 4).real("restart-after", 2));
}

void suspendController(World& world, const Line& line) {
  world.controllers.suspend(controllerLabel(world, line), line.real(4));
}

// --- network

void partitionZones(World& world, const Line& line) {
  const auto mode = line.word(6) == "delay" ? standin::PartitionMode::delay : standin::PartitionMode::drop;
  world.network.partitionZones(line.word(3), line.word(4), line.real(5), mode);
}

void partitionFromStoreAndPeers(World& world, const Line& line) {
  world.partitionFromStoreAndPeers(controllerLabel(world, line), line.real(4));
}

void partitionFromWorkersAndPeers(World& world, const Line& line) {
  const std::string controller = controllerLabel(world, line);
  world.network.partitionFromPeers(controller, line.real(4));
  world.network.partitionFromWorkers(controller, line.real(4));
}

void partitionFromWorkers(World& world, const Line& line) {
  world.network.partitionFromWorkers(controllerLabel(world, line), line.real(4));
}

standin::Repetition repetition(const Line& line) { return {line.real(3), line.real(4)}; }

void duplicateHeartbeats(World& world, const Line& line) {
  world.faults.duplicateHeartbeats = repetition(line);
}

void repeatCommands(World& world, const Line& line) { world.faults.repeatedCommands = repetition(line); }

void repeatRequests(World& world, const Line& line) { world.faults.repeatedRequests = repetition(line); }

void replayHeartbeat(World& world, const Line& line) {
  if (const Worker* worker = world.workerRunning(line.word(3)))
    world.heartbeatReplay.replayNext(worker->host(), line.real(4));
}

// --- key-value store

void startStoreOutage(World& world, const Line& line) { world.store.startOutage(line.real(3)); }

void startStoreOutageFor(World& world, const Line& line) {
  world.store.startOutageFor(controllerLabel(world, line), line.real(4));
}

void loseTransactionAnswers(World& world, const Line& line) {
  world.faults.lostTransactionShare = line.real(3);
  world.faults.lostTransactionDelayMaxS = Options(line, 3).real("apply-delay", 4);
}

void setStoreDelay(World& world, const Line& line) { world.faults.storeDelayS = line.real(3); }

void lowerStoreLimits(World& world, const Line& line) {
  const Options options(line, 3);
  world.store.lowerLimits(options.real("value-kb", 2), options.count("txn-ops", std::size_t{4}),
                          options.real("write-rps", 1000));
}

// A batch of placements as an earlier version could write it under larger limits.
Json largeBatch(int hosts) {
  Json batch{{"hosts", Json::object()}};
  for (int i = 0; i < hosts; ++i) {
    Json placed = Json::array();
    for (int task = 0; task < 4; ++task) {
      placed.push_back("job-" + std::to_string(500000 + i) + "/" + std::to_string(task));
      placed.push_back(1048577 + i);
    }
    batch["hosts"]["vm-9" + std::to_string(10000 + i)] = Json::array({"small", "a", false, placed});
  }
  return batch;
}

void storeLargeBatch(World& world, const Line& line) {
  world.store.put("placed/77", largeBatch(static_cast<int>(line.real(3))));
}

// --- cloud

void startCloudOutage(World& world, const Line& line) {
  world.faults.cloudDownUntilS = world.sim.now() + line.real(3);
}

void setOnDemandCapacity(World& world, const Line& line) {
  world.cloud.setOnDemandCapacity(line.word(3), line.integer(4));
}

void setNoBoots(World& world, const Line& line) { world.faults.noInstanceBoots = line.word(3) == "on"; }

void setBootFaults(World& world, const Line& line) {
  const Options options(line, 3);
  world.faults.bootTimeFactor = options.real("time-factor", 1);
  world.faults.bootFailureShare = options.real("failure-share", 0);
}

// --- machines

// The first machine that runs a task of the job. If there is none, returns null and fails the test.
Worker* machineOfJob(World& world, const Line& line) {
  Worker* worker = world.workerRunning(line.word(3));
  if (worker == nullptr) ADD_FAILURE() << "line " << line.lineNumber << ": no machine runs " << line.word(3);
  return worker;
}

void partitionOutboundOfEveryNth(World& world, const Line& line) {
  for (Worker* worker : world.everyNth(line.count(3)))
    worker->outboundPartitionUntilS = world.sim.now() + line.real(4);
}

void partitionInbound(World& world, const Line& line) {
  if (Worker* worker = machineOfJob(world, line))
    worker->inboundPartitionUntilS = world.sim.now() + line.real(4);
}

void failEveryNth(World& world, const Line& line) {
  const double hangS = line.word(4) == "hang" ? line.real(5) : 0;
  for (Worker* worker : world.everyNth(line.count(3))) {
    if (hangS > 0) {
      worker->hang(hangS);
    } else {
      worker->kill();
    }
  }
}

void hangMachine(World& world, const Line& line) {
  if (Worker* worker = machineOfJob(world, line)) worker->hang(line.real(4));
}

void killMachine(World& world, const Line& line) {
  if (Worker* worker = machineOfJob(world, line)) worker->kill();
}

void reclaimSpotInstance(World& world, const Line& line) {
  Worker* worker = machineOfJob(world, line);
  if (worker == nullptr) return;
  worker->giveSpotNotice(line.real(4));
  world.sim.after(line.real(4), [worker] { worker->kill(); });
}

void makeHardwareFaulty(World& world, const Line& line) {
  if (Worker* worker = machineOfJob(world, line)) worker->faultyHardware = true;
}

// --- all

void endFaults(World& world, const Line&) { world.checker.onFaultsEnded(world.sim.now()); }

const std::map<std::string, Action>& actionsByWord() {
  static const std::map<std::string, Action> kActions{
      {"resubmit", resubmit},
      {"cancel", cancel},
      {"cancel-at-end", cancelJobsAtEnd},
      {"repeated-and-invalid-requests", sendRepeatedAndInvalidRequests},
      {"crash", crash},
      {"crash-after-next-relay", crashAfterNextRelay},
      {"suspend", suspendController},
      {"partition-zones", partitionZones},
      {"partition-from-store-and-peers", partitionFromStoreAndPeers},
      {"partition-from-workers-and-peers", partitionFromWorkersAndPeers},
      {"partition-from-workers", partitionFromWorkers},
      {"duplicate-heartbeats", duplicateHeartbeats},
      {"repeat-commands", repeatCommands},
      {"repeat-requests", repeatRequests},
      {"replay-heartbeat", replayHeartbeat},
      {"store-outage", startStoreOutage},
      {"store-outage-for", startStoreOutageFor},
      {"lose-transaction-answers", loseTransactionAnswers},
      {"store-delay", setStoreDelay},
      {"lower-store-limits", lowerStoreLimits},
      {"store-large-batch", storeLargeBatch},
      {"change-shares", changeShares},
      {"overwrite-share-table", overwriteShareTable},
      {"cloud-outage", startCloudOutage},
      {"on-demand-capacity", setOnDemandCapacity},
      {"no-boots", setNoBoots},
      {"boots", setBootFaults},
      {"partition-outbound-every-nth", partitionOutboundOfEveryNth},
      {"partition-inbound", partitionInbound},
      {"fail-every-nth", failEveryNth},
      {"hang-machine", hangMachine},
      {"kill-machine", killMachine},
      {"spot-notice", reclaimSpotInstance},
      {"faulty-hardware", makeHardwareFaulty},
      {"faults-ended", endFaults},
  };
  return kActions;
}

}  // namespace

void performAction(World& world, const Line& line) {
  const auto found = actionsByWord().find(line.word(2));
  if (found == actionsByWord().end()) {
    ADD_FAILURE() << "line " << line.lineNumber << ": unknown action " << line.word(2);
    return;
  }
  found->second(world, line);
}

}  // namespace scenario
