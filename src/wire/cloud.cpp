// Answers of the cloud.
#include "wire/fields.hpp"

namespace reachhoist::wire {

Result<std::vector<MachineType>> decodeCatalog(const Json& body) {
  const Json* machineTypes = field(body, "rigs");
  if (machineTypes == nullptr || !machineTypes->is_array())
    return Result<std::vector<MachineType>>::failure("no list 'rigs'");
  std::vector<MachineType> out;
  for (const Json& entry : *machineTypes) {
    MachineType machineType;
    Fields fields(entry);
    fields.text("label", machineType.label);
    fields.amount("vcpus", machineType.capacity.vcpus);
    fields.amount("accelerators", machineType.capacity.accelerators);
    fields.amount("memoryGb", machineType.capacity.memoryGb);
    fields.amount("cacheGb", machineType.cacheGb);
    fields.amount("pullGbPerS", machineType.pullGbPerS);
    fields.amount("rate", machineType.rate);
    fields.amount("marketPrice", machineType.marketPrice);
    fields.amount("bootS", machineType.bootS);
    const Json* zones = field(entry, "yards");
    if (zones == nullptr || !zones->is_array()) {
      fields.complain("yards");
    } else {
      for (const Json& zone : *zones)
        if (zone.is_string()) machineType.zones.push_back(zone.get<std::string>());
    }
    if (!fields.ok()) return Result<std::vector<MachineType>>::failure(fields.reason());
    out.push_back(std::move(machineType));
  }
  return out;
}

Json encodeCatalog(const std::vector<MachineType>& machineTypes) {
  Json list = Json::array();
  for (const MachineType& machineType : machineTypes) {
    list.push_back(Json{{"label", machineType.label},
                        {"vcpus", machineType.capacity.vcpus},
                        {"accelerators", machineType.capacity.accelerators},
                        {"memoryGb", machineType.capacity.memoryGb},
                        {"cacheGb", machineType.cacheGb},
                        {"pullGbPerS", machineType.pullGbPerS},
                        {"rate", machineType.rate},
                        {"marketPrice", machineType.marketPrice},
                        {"bootS", machineType.bootS},
                        {"yards", machineType.zones}});
  }
  return Json{{"rigs", std::move(list)}};
}

Result<HostEntry> decodeHost(const Json& body) {
  HostEntry host;
  Fields fields(body);
  std::string stage;
  fields.text("ref", host.ref.text);
  fields.text("endpoint", host.endpoint, true);
  fields.text("rig", host.machineType);
  fields.text("yard", host.zone);
  fields.flag("loaners", host.spot);
  fields.text("stage", stage);
  host.ageS = amountField(body, "ageS").value_or(0);
  if (stage == "starting") {
    host.stage = HostStage::starting;
  } else if (stage == "running") {
    host.stage = HostStage::running;
  } else if (stage == "failed") {
    host.stage = HostStage::failed;
  } else {
    fields.complain("stage");
  }
  if (!fields.ok()) return Result<HostEntry>::failure(fields.reason());
  return host;
}

}  // namespace reachhoist::wire
