// Answers of the cloud.
#include "wire/fields.hpp"

namespace reachhoist::wire {

namespace {
constexpr EnumName<InstanceState> kInstanceStateNames[] = {{InstanceState::starting, "starting"},
                                                           {InstanceState::running, "running"},
                                                           {InstanceState::failed, "failed"}};

Result<MachineType> decodeMachineType(const Json& body) {
  MachineType machineType;
  FieldReader fields(body);
  fields.text("label", machineType.label);
  fields.resources(machineType.capacity);
  fields.amount("cacheGb", machineType.cacheGb);
  fields.amount("pullGbPerS", machineType.pullGbPerS);
  fields.amount("rate", machineType.rate);
  fields.amount("marketPrice", machineType.marketPrice);
  fields.amount("bootS", machineType.bootS);
  if (const Json* zones = fields.list("yards")) {
    for (const Json& zone : *zones)
      if (zone.is_string()) machineType.zones.push_back(zone.get<std::string>());
  }
  return fields.result(std::move(machineType));
}
}  // namespace

Result<std::vector<MachineType>> decodeCatalog(const Json& body) {
  const Json* list = field(body, "rigs");
  if (list == nullptr || !list->is_array())
    return Result<std::vector<MachineType>>::failure("no list 'rigs'");
  std::vector<MachineType> catalog;
  for (const Json& entry : *list) {
    auto machineType = decodeMachineType(entry);
    if (!machineType) return Result<std::vector<MachineType>>::failure(machineType.reason());
    catalog.push_back(std::move(*machineType));
  }
  return catalog;
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

Result<InstanceEntry> decodeInstance(const Json& body) {
  InstanceEntry instance;
  FieldReader fields(body);
  std::string state;
  fields.text("ref", instance.ref.text);
  fields.text("endpoint", instance.endpoint, true);
  fields.text("rig", instance.machineType);
  fields.text("yard", instance.zone);
  fields.flag("loaners", instance.spot);
  fields.text("stage", state);
  fields.named("stage", kInstanceStateNames, state, instance.state);
  instance.ageS = amountField(body, "ageS").value_or(0);
  return fields.result(std::move(instance));
}

}  // namespace reachhoist::wire
