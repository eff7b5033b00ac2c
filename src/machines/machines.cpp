// Machines and their task attempts.
#include "machines/machines.hpp"

#include <algorithm>

namespace reachhoist::machines {

double Attempt::stopGracePeriodS() const {
  return canCheckpoint ? checkpointDurationS + constants::kCheckpointGraceMarginS : 0;
}

void Attempt::setPhase(AttemptPhase next, Time now) {
  if (phase == next) return;
  if (next == AttemptPhase::running && runningSince == Time{}) runningSince = now;
  phase = next;
  phaseSince = now;
}

void Machine::setPhase(MachinePhase next, Time now) {
  if (phase == next) return;
  if (next == MachinePhase::up && upSince == Time{}) {
    upSince = now;
    idleSince = now;
  }
  phase = next;
}

wire::Resources Machine::freeCapacity() const {
  wire::Resources free = capacity;
  for (const Attempt& attempt : attempts)
    if (attempt.holdsCapacity()) free -= attempt.resources;
  return free;
}

void MachineFailures::clearSuspicion() {
  consecutiveErrors = 0;
  failedJobs.clear();
  suspectUntil = {};
}

bool Machine::isIdle() const {
  return std::none_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.holdsCapacity(); });
}

Attempt* Machine::find(const wire::TaskId& task, std::uint64_t number) {
  for (Attempt& attempt : attempts)
    if (attempt.number == number && attempt.task == task) return &attempt;
  return nullptr;
}

bool Machine::isPulling(const std::string& image) const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [&](const Attempt& a) { return a.holdsCapacity() && a.image == image; });
}

double Machine::pullSeconds(double gigabytes) const {
  return gigabytes / std::max(imagePullGbPerS, constants::kMinPullGbPerS);
}

void Machine::recordImage(const std::string& image, double imageSizeGb) {
  images[image] = imageSizeGb;
  // Workers do not report which images they evict from a full cache, so only the newest is certain to be
  // there.
  double cachedGb = 0;
  for (const auto& [label, gb] : images) cachedGb += gb;
  if (imageCacheGb > 0 && cachedGb > imageCacheGb) {
    images.clear();
    images[image] = imageSizeGb;
  }
}

Machine* MachineTable::find(const std::string& host) {
  const auto found = machines_.find(host);
  return found == machines_.end() ? nullptr : &found->second;
}

Machine& MachineTable::add(const std::string& host) {
  Machine& machine = machines_[host];
  machine.host.text = host;
  return machine;
}

}  // namespace reachhoist::machines
