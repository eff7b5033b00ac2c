// The bins of one placement round; see bin.hpp.
#include "placement/bin.hpp"

#include <algorithm>

namespace reachhoist::placement {

namespace {

// Whether the job has failed on the machine. Its tasks are retried on other machines, unless the job itself
// is at fault.
bool isAvoided(const Job& job, const Machine& machine) {
  return !job.failures.isJobAtFault() && job.failures.hasFailedOn(machine.host.text);
}

}  // namespace

wire::Resources Bin::capacityAfterStops() const {
  wire::Resources capacity = freeCapacity;
  capacity += stoppingCapacity;
  return capacity;
}

wire::Resources Bin::unpromisedCapacity() const {
  wire::Resources capacity = capacityAfterStops();
  capacity -= promisedCapacity;
  return capacity;
}

bool Bin::plansImage(const std::string& image) const {
  return std::any_of(plannedImages.begin(), plannedImages.end(),
                     [&](const std::string* planned) { return *planned == image; });
}

bool isUsable(const Bin& bin, const Job& job) {
  const Machine& machine = *bin.machine;
  return isEligible(job.spec, machine.machineType, machine.zone, machine.spot) && !isAvoided(job, machine);
}

double startDelayS(const Bin& bin, const Job& job) {
  const Machine& machine = *bin.machine;
  double seconds = 0;
  if (!machine.hasImage(job.spec.image)) {
    const double pullS = machine.pullSeconds(job.spec.imageSizeGb);
    const bool sharesPull = bin.plansImage(job.spec.image) || machine.isPulling(job.spec.image);
    seconds += sharesPull ? pullS * constants::kSharedPullCostShare : pullS;
  }
  if (job.spec.allowsSpot && !machine.spot) seconds += constants::kSpotJobOnDemandPenaltyS;
  const double usedShare =
      1 - bin.freeCapacity.vcpus / std::max(machine.capacity.vcpus, constants::kMinCpuDivisor);
  seconds += (job.spec.priority >= wire::Priority::high ? constants::kEmptyMachineServicePenaltyS
                                                        : constants::kEmptyMachineArrayPenaltyS) *
             (1 - usedShare);
  return seconds;
}

}  // namespace reachhoist::placement
