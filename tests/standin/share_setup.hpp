// Settings, machines and jobs that the tests and measurements of shares have in common: two classes of
// arrays, "survey" and "recon", of one team.
#pragma once

#include <string>
#include <vector>

#include "config/settings.hpp"
#include "standin/cloud.hpp"
#include "standin/workload.hpp"

namespace standin {

// Controllers in the zones in turn; the objective of both classes is a start within startWithinS.
reachhoist::config::Settings twoClassSettings(const std::vector<std::string>& zones, int controllers,
                                              const std::string& peerEndpoint, double startWithinS);

// A type with on-demand instances only. Label, capacity, pull rate, boot time, market price and zones are
// those of the given type.
MachineTypeSpec onDemandOnly(reachhoist::wire::MachineType type, int perZone);

struct ArrayJob {
  std::string ref;
  std::string jobClass;
  std::uint32_t tasks = 1;
  reachhoist::wire::Resources each;
  std::string image;
  double imageSizeGb = 1;
  double runS = 10;
  double checkpointIntervalS = 0;
  double checkpointDurationS = 0;
};
JobPlan arrayPlan(const ArrayJob& job);

}  // namespace standin
