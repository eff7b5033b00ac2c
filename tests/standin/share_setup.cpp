#include "standin/share_setup.hpp"

namespace standin {

namespace {
constexpr const char* kTeam = "t";
constexpr double kObjectiveShare = 0.9;
}  // namespace

reachhoist::config::Settings twoClassSettings(const std::vector<std::string>& zones, int controllerCount,
                                              const std::string& peerEndpoint, double startWithinS) {
  reachhoist::config::Settings settings;
  settings.zones = zones;
  settings.teams.push_back({kTeam, 0, 0, 0, 0});
  for (const char* jobClass : {"survey", "recon"})
    settings.objectives.push_back({"wait", jobClass, startWithinS, kObjectiveShare, 0});
  for (int i = 0; i < controllerCount; ++i)
    settings.siblings.push_back(
        {"hoist-" + std::to_string(i), zones[static_cast<std::size_t>(i) % zones.size()], peerEndpoint});
  return settings;
}

MachineTypeSpec onDemandOnly(reachhoist::wire::MachineType type, int countPerZone) {
  MachineTypeSpec spec;
  spec.type = std::move(type);
  spec.type.imageCacheGb = 50;
  spec.type.onDemandPricePerHour = 1;
  spec.onDemandPerZone = countPerZone;
  spec.spotPerZone = 0;
  return spec;
}

JobPlan arrayPlan(const ArrayJob& job) {
  JobPlan plan;
  plan.spec.ref.text = job.ref;
  plan.spec.jobClass = job.jobClass;
  plan.spec.team = kTeam;
  plan.spec.taskCount = job.taskCount;
  plan.spec.taskResources = job.taskResources;
  plan.spec.image = job.image;
  plan.spec.imageSizeGb = job.imageSizeGb;
  plan.spec.expectedRunTimeS = plan.runS = job.runS;
  plan.spec.checkpointIntervalS = job.checkpointIntervalS;
  plan.spec.checkpointDurationS = job.checkpointDurationS;
  return plan;
}

}  // namespace standin
