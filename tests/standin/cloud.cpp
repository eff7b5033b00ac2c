#include "standin/cloud.hpp"

#include <algorithm>

#include "standin/world.hpp"

namespace standin {

namespace {
constexpr double kListDelayS = 4;           // from the request of an instance until it is listed
constexpr double kEarlierMachineAgeS = 60;  // of machines provisioned before the simulation
constexpr double kBootFactorMin = 0.6;
constexpr double kBootFactorMax = 1.5;

std::string hostName(std::size_t number) {
  char name[16];
  std::snprintf(name, sizeof name, "vm-%06zu", number);
  return name;
}

// Parses the number in the name of a host.
std::size_t hostNumber(const std::string& host) { return std::stoul(host.substr(host.find('-') + 1)); }

const char* stateName(const Worker& worker) {
  if (!worker.isAlive()) return "failed";
  return worker.hasBooted() ? "running" : "starting";
}
}  // namespace

const MachineTypeSpec* Cloud::machineType(const std::string& typeName) const {
  for (const MachineTypeSpec& spec : machineTypes_)
    if (spec.type.name == typeName) return &spec;
  return nullptr;
}

void Cloud::setOnDemandCapacity(const std::string& typeName, int perZone) {
  for (MachineTypeSpec& spec : machineTypes_)
    if (spec.type.name == typeName) spec.onDemandPerZone = perZone;
}

Worker& Cloud::addRunning(const MachineInfo& info) {
  provisionedCount_ = std::max(provisionedCount_, hostNumber(info.host) + 1);
  provisionedAtS_[info.host] = -kEarlierMachineAgeS;
  ++usedByPool_[poolOf(info)];
  auto& worker = world_.workers[info.host] = std::make_unique<Worker>(world_, info);
  worker->boot();
  return *worker;
}

Json Cloud::list() const {
  Json hosts = Json::array();
  for (const auto& [host, worker] : world_.workers) {
    const double ageS = world_.sim.now() - provisionedAtS_.at(host);
    if (ageS < kListDelayS || released_.contains(host)) continue;
    hosts.push_back(Json{{"ref", host},
                         {"endpoint", world_.workerEndpoint(host)},
                         {"rig", worker->machineType()},
                         {"yard", worker->zone()},
                         {"loaners", worker->spot()},
                         {"stage", stateName(*worker)},
                         {"ageS", ageS}});
  }
  return hosts;
}

void Cloud::call(const wire::Call& call, const ResultCallback& onResult) {
  const auto answer = [&](int status, Json body) {
    onResult(wire::CallResult{status, true, std::move(body)});
  };
  if (world_.sim.now() < world_.faults.cloudDownUntilS) return answer(503, Json{{"error", "trouble"}});
  if (call.path == "/catalog") {
    std::vector<wire::MachineType> types;
    for (const MachineTypeSpec& spec : machineTypes_) types.push_back(spec.type);
    return answer(200, wire::encodeCatalog(types));
  }
  if (call.path == "/hosts/return") {
    release(call.body["hosts"]);
    return answer(200, Json::object());
  }
  if (call.method == "GET") return answer(200, Json{{"hosts", list()}, {"more", false}});
  const std::string request = call.body["hire"];
  if (hostsByRequest_.contains(request)) return answer(200, Json{{"hosts", hostsByRequest_[request]}});
  const Pool pool{call.body["rig"], call.body["yard"], call.body["loaners"]};
  const MachineTypeSpec* spec = machineType(pool.machineType);
  if (spec == nullptr) return answer(400, Json::object());
  const std::vector<std::string> hosts = provision(*spec, pool, call.body["number"]);
  if (hosts.empty()) return answer(503, Json{{"error", "no capacity"}});
  hostsByRequest_[request] = hosts;
  answer(200, Json{{"hosts", hosts}});
}

void Cloud::release(const Json& hosts) {
  for (const Json& name : hosts) {
    const std::string host = name;
    const auto found = world_.workers.find(host);
    if (found == world_.workers.end() || !released_.insert(host).second) continue;
    found->second->kill();
    --usedByPool_[poolOf(found->second->info())];
  }
}

std::vector<std::string> Cloud::provision(const MachineTypeSpec& spec, const Pool& pool, int count) {
  const int limit = pool.spot ? spec.spotPerZone : spec.onDemandPerZone;
  int& used = usedByPool_[pool];
  std::vector<std::string> hosts;
  for (; count > 0 && used < limit; --count) {
    const std::string host = hostName(provisionedCount_++);
    ++used;
    hosts.push_back(host);
    provisionedAtS_[host] = world_.sim.now();
    auto& worker = world_.workers[host] =
        std::make_unique<Worker>(world_, MachineInfo{host, pool.machineType, pool.zone, pool.spot});
    scheduleBoot(*worker, spec.type.nominalBootTimeS);
  }
  return hosts;
}

void Cloud::scheduleBoot(Worker& worker, double nominalBootTimeS) {
  const FaultPlan& faults = world_.faults;
  if (faults.noInstanceBoots) return;
  if (faults.bootFailureShare > 0 && world_.sim.chance(faults.bootFailureShare)) return;
  const double delayS =
      nominalBootTimeS * faults.bootTimeFactor * world_.sim.uniform(kBootFactorMin, kBootFactorMax);
  world_.sim.after(delayS, [&worker] {
    if (worker.isAlive()) worker.boot();
  });
}

}  // namespace standin
