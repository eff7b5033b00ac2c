// The headroom: capacity that scale-in leaves free for the next services.
#pragma once

#include "fleet/snapshot.hpp"

namespace reachhoist::fleet {

// The vCPUs that production work holds on the machine.
double productionCpus(const Machine& machine);

// The headroom consists of the free vCPUs on on-demand machines that are up. It must not fall below a share
// of the vCPUs that production work uses, so idle machines are released only beyond that.
class Headroom {
 public:
  explicit Headroom(const FleetSnapshot& snapshot);
  // Whether the headroom suffices without this machine. Spot machines do not count towards it.
  bool allowsRelease(const Machine& machine) const;
  // Counts the machine as released, which takes its vCPUs from the headroom.
  void release(const Machine& machine);

 private:
  double freeCpus_ = 0;
  double requiredCpus_ = 0;
};

}  // namespace reachhoist::fleet
