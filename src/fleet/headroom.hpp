// The headroom that scale-in leaves free for the next services.
#pragma once

#include "fleet/snapshot.hpp"

namespace reachhoist::fleet {

// vCPUs that production work holds on the machine.
double productionCpus(const Machine& machine);

// The headroom: free vCPUs on on-demand machines that are up, against the share of production work's vCPUs
// that must stay free for the next services. Idle machines are released only beyond it.
class Headroom {
 public:
  explicit Headroom(const FleetSnapshot& snapshot);
  // Whether the headroom holds without this machine. Spot machines are no part of it.
  bool allowsRelease(const Machine& machine) const;
  // Counts the machine as released: its vCPUs leave the headroom.
  void release(const Machine& machine);

 private:
  double freeCpus_ = 0;
  double requiredCpus_ = 0;
};

}  // namespace reachhoist::fleet
