// Decodes and encodes the machine catalogue and the instance list of the cloud.
#include "wire/fields.hpp"

namespace reachhoist::wire {

namespace {
constexpr EnumName<InstanceState> kInstanceStateNames[] = {{InstanceState::starting, "starting"},
                                                           {InstanceState::running, "running"},
                                                           {InstanceState::failed, "failed"}};

Result<MachineType> decodeMachineType(const Json& body) {
  MachineType machineType;
  FieldReader fields(body);
  fields.text("label", machineType.name);
  fields.resources(machineType.capacity);
  fields.amount("cacheGb", machineType.imageCacheGb);
  fields.amount("pullGbPerS", machineType.imagePullGbPerS);
  fields.amount("rate", machineType.onDemandPricePerHour);
  fields.amount("marketPrice", machineType.spotPricePerHour);
  fields.amount("bootS", machineType.nominalBootTimeS);
  if (const Json* zones = fields.list("yards")) {
    for (const Json& zone : *zones)
      if (zone.is_string()) machineType.zones.push_back(zone.get<std::string>());
  }
  return fields.result(std::move(machineType));
}
}  // namespace

Result<std::vector<MachineType>> decodeCatalog(const Json& body) {
  const Json* entries = field(body, "rigs");
  if (entries == nullptr || !entries->is_array())
    return Result<std::vector<MachineType>>::failure("no list 'rigs'");
  std::vector<MachineType> catalog;
  for (const Json& entry : *entries) {
    auto machineType = decodeMachineType(entry);
    if (!machineType) return Result<std::vector<MachineType>>::failure(machineType.reason());
    catalog.push_back(std::move(*machineType));
  }
  return catalog;
}

Json encodeCatalog(const std::vector<MachineType>& machineTypes) {
  Json entries = Json::array();
  for (const MachineType& machineType : machineTypes) {
    entries.push_back(Json{{"label", machineType.name},
                           {"vcpus", machineType.capacity.vcpus},
                           {"accelerators", machineType.capacity.accelerators},
                           {"memoryGb", machineType.capacity.memoryGb},
                           {"cacheGb", machineType.imageCacheGb},
                           {"pullGbPerS", machineType.imagePullGbPerS},
                           {"rate", machineType.onDemandPricePerHour},
                           {"marketPrice", machineType.spotPricePerHour},
                           {"bootS", machineType.nominalBootTimeS},
                           {"yards", machineType.zones}});
  }
  return Json{{"rigs", std::move(entries)}};
}

Result<InstanceEntry> decodeInstance(const Json& body) {
  InstanceEntry instance;
  FieldReader fields(body);
  std::string stateName;
  fields.text("ref", instance.host.text);
  fields.text("endpoint", instance.endpoint, true);
  fields.text("rig", instance.machineType);
  fields.text("yard", instance.zone);
  fields.flag("loaners", instance.spot);
  fields.text("stage", stateName);
  fields.enumerator("stage", kInstanceStateNames, stateName, instance.state);
  instance.ageS = amountField(body, "ageS").value_or(0);
  return fields.result(std::move(instance));
}

}  // namespace reachhoist::wire
