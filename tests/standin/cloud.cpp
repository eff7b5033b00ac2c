// The cloud: machines are rented, boot, are listed late, and are returned.
#include <algorithm>

#include "standin/world.hpp"

namespace standin {

namespace {
constexpr double kListLagS = 4;
}  // namespace

Json World::cloudList() const {
  Json hosts = Json::array();
  for (const auto& [host, worker] : workers) {
    const double age = sim.now() - rentedAt_.at(host);
    if (age < kListLagS || returned_.contains(host)) continue;
    hosts.push_back(Json{{"ref", host},
                         {"endpoint", endpointOf(host)},
                         {"rig", worker->machineType()},
                         {"yard", worker->zone()},
                         {"loaners", worker->spot()},
                         {"stage", !worker->alive() ? "failed"
                                   : worker->up()   ? "running"
                                                    : "starting"},
                         {"ageS", age}});
  }
  return hosts;
}

void World::callCloud(const wire::Call& call, const std::function<void(wire::CallResult)>& done) {
  const auto answer = [&](int status, Json body) { done(wire::CallResult{status, true, std::move(body)}); };
  if (sim.now() < cloudDownUntil) return answer(503, Json{{"error", "trouble"}});
  if (call.path == "/catalog") {
    std::vector<wire::MachineType> types;
    for (const MachineTypeSpec& spec : machineTypes_) types.push_back(spec.type);
    return answer(200, wire::encodeCatalog(types));
  }
  if (call.path == "/hosts/return") {
    for (const Json& name : call.body["hosts"]) {
      const std::string host = name;
      const auto found = workers.find(host);
      if (found == workers.end() || !returned_.insert(host).second) continue;
      found->second->kill();
      --used_[found->second->machineType() + found->second->zone() + (found->second->spot() ? "s" : "o")];
    }
    return answer(200, Json::object());
  }
  if (call.method == "GET") return answer(200, Json{{"hosts", cloudList()}, {"more", false}});
  const std::string hire = call.body["hire"];
  if (hires_.contains(hire)) return answer(200, Json{{"hosts", hires_[hire]}});
  const std::string label = call.body["rig"];
  const std::string zone = call.body["yard"];
  const bool spot = call.body["loaners"];
  const MachineTypeSpec* spec = machineType(label);
  if (spec == nullptr) return answer(400, Json::object());
  int& used = used_[label + zone + (spot ? "s" : "o")];
  std::vector<std::string> names;
  for (int i = call.body["number"]; i > 0 && used < (spot ? spec->spot : spec->ordinary); --i) {
    char name[16];
    std::snprintf(name, sizeof name, "vm-%06zu", rented++);
    ++used;
    names.emplace_back(name);
    rentedAt_[name] = sim.now();
    workers[name] = std::make_unique<Worker>(*this, name, label, zone, spot);
    if (bootsNever || (bootsFail > 0 && sim.uniform(0, 1) < bootsFail)) continue;
    sim.after(spec->type.bootS * bootsFactor * sim.uniform(0.6, 1.5), [this, host = std::string(name)] {
      if (workers[host]->alive()) workers[host]->boot();
    });
  }
  if (names.empty()) return answer(503, Json{{"error", "no capacity"}});
  hires_[hire] = names;
  answer(200, Json{{"hosts", names}});
}

}  // namespace standin
