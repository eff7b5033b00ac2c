// Calls of controllers to the key-value store, the cloud and the workers.
#pragma once

#include <functional>
#include <memory>

#include "wire/exchange.hpp"

namespace standin {

class World;
class Worker;
struct ControllerProcess;

// Carries out calls over the simulated network, with its delays and partitions and with the injected faults.
// Each call gets one result: the answer, or status 0 after its timeout.
class OutgoingCalls {
 public:
  explicit OutgoingCalls(World& world) : world_(world) {}
  void carryOut(ControllerProcess& caller, const reachhoist::wire::Call& call);

 private:
  using ResultCallback = std::function<void(reachhoist::wire::CallResult)>;
  struct InFlight {
    ControllerProcess& caller;
    std::uint64_t incarnation;  // of the caller
    std::uint64_t number;       // of the call
    bool toWorker;
    bool finished = false;
  };
  void finish(const std::shared_ptr<InFlight>& inFlight, const reachhoist::wire::CallResult& result);
  void callStore(const ControllerProcess& caller, const reachhoist::wire::Call& call, double hopS,
                 const ResultCallback& onResult);
  void callWorker(const ControllerProcess& caller, const reachhoist::wire::Call& call,
                  const ResultCallback& onResult);
  // With FaultPlan::repeatedRequests, sends some requests to the key-value store or the cloud a second time,
  // also if the caller has crashed meanwhile. Nobody gets the answer.
  void repeatRequest(const std::string& caller, const reachhoist::wire::Call& call);
  // With FaultPlan::repeatedCommands, delivers some commands a second time. Nobody gets the answer.
  void repeatCommands(Worker& worker, const reachhoist::wire::Call& call);
  Worker* reachableWorker(const ControllerProcess& caller, const reachhoist::wire::Call& call) const;

  World& world_;
};

}  // namespace standin
