// Settings, machine types and jobs for tests and measurements of shares: one team with two classes of array
// jobs, "survey" and "recon".
#pragma once

#include <string>
#include <vector>

#include "config/settings.hpp"
#include "standin/cloud.hpp"
#include "standin/workload.hpp"

namespace standin {

// Returns settings with the controllers in the zones in turn. Both classes have the objective that tasks
// start within startWithinS.
reachhoist::config::Settings twoClassSettings(const std::vector<std::string>& zones, int controllerCount,
                                              const std::string& peerEndpoint, double startWithinS);

// Returns a machine type with on-demand instances only. Name, capacity, pull rate, boot time, spot price and
// zones are those of the given type.
MachineTypeSpec onDemandOnly(reachhoist::wire::MachineType type, int countPerZone);

// An array job of the common team.
struct ArrayJob {
  std::string ref;
  std::string jobClass;
  std::uint32_t taskCount = 1;
  reachhoist::wire::Resources taskResources;
  std::string image;
  double imageSizeGb = 1;
  double runS = 10;
  double checkpointIntervalS = 0;
  double checkpointDurationS = 0;
};
JobPlan arrayPlan(const ArrayJob& job);

}  // namespace standin
