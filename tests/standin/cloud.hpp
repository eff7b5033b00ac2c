// Stand-in for the cloud: controllers request instances, which boot, are listed with a delay, and are
// released.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "standin/machine_info.hpp"
#include "wire/exchange.hpp"

namespace standin {

class World;
class Worker;

struct MachineTypeSpec {
  reachhoist::wire::MachineType type;
  // Numbers of instances that the cloud has in each zone.
  int onDemandPerZone = 20;
  int spotPerZone = 20;
};

class Cloud {
 public:
  using ResultCallback = std::function<void(reachhoist::wire::CallResult)>;

  Cloud(World& world, std::vector<MachineTypeSpec> machineTypes)
      : world_(world), machineTypes_(std::move(machineTypes)) {}

  // Serves one call of a controller.
  void call(const reachhoist::wire::Call& call, const ResultCallback& onResult);
  // Returns null if there is no such type.
  const MachineTypeSpec* machineType(const std::string& typeName) const;
  // From now on the cloud has this many on-demand instances of the type in each zone.
  void setOnDemandCapacity(const std::string& typeName, int perZone);
  // Adds a machine that was provisioned before the simulation and has booted.
  Worker& addRunning(const MachineInfo& info);
  // Number of instances provisioned so far, which is also the number in the name of the next instance.
  std::size_t provisionedCount() const { return provisionedCount_; }

 private:
  struct Pool {
    std::string machineType;
    std::string zone;
    bool spot = false;
    auto operator<=>(const Pool&) const = default;
  };
  static Pool poolOf(const MachineInfo& info) { return {info.machineType, info.zone, info.spot}; }
  reachhoist::wire::Json list() const;
  void release(const reachhoist::wire::Json& hosts);
  // Returns the provisioned hosts: fewer than `count` if capacity is short, and none without capacity.
  std::vector<std::string> provision(const MachineTypeSpec& spec, const Pool& pool, int count);
  void scheduleBoot(Worker& worker, double nominalBootTimeS);

  World& world_;
  std::vector<MachineTypeSpec> machineTypes_;
  // Requests are idempotent: a repeated request with the same name gets the same hosts.
  std::map<std::string, std::vector<std::string>> hostsByRequest_;
  std::map<std::string, double> provisionedAtS_;  // by host
  std::set<std::string> released_;
  std::map<Pool, int> usedByPool_;
  std::size_t provisionedCount_ = 0;
};

}  // namespace standin
