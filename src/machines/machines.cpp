#include "machines/machines.hpp"

#include <algorithm>

namespace reachhoist::machines {

void Attempt::to(AttemptPhase next, Time now) {
  if (phase == next) return;
  if (next == AttemptPhase::running && runningSince == Time{}) runningSince = now;
  phase = next;
  since = now;
}

void Machine::to(MachinePhase next, Time now) {
  if (phase == next) return;
  if (next == MachinePhase::up && upSince == Time{}) {
    upSince = now;
    idleSince = now;
  }
  phase = next;
}

wire::Resources Machine::freeCapacity() const {
  wire::Resources capacity = total;
  for (const Attempt& attempt : attempts)
    if (attempt.holdsCapacity()) capacity -= attempt.each;
  return capacity;
}

void Machine::clearErrors() {
  consecutiveErrors = 0;
  failedJobs.clear();
  suspectUntil = {};
}

bool Machine::empty() const {
  return std::none_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.holdsCapacity(); });
}

Attempt* Machine::find(const wire::TaskId& task, std::uint64_t number) {
  for (Attempt& attempt : attempts)
    if (attempt.number == number && attempt.task == task) return &attempt;
  return nullptr;
}

bool Machine::fetching(const std::string& image) const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [&](const Attempt& a) { return a.holdsCapacity() && a.image == image; });
}

void Machine::noteImage(const std::string& image, double sizeGb) {
  images[image] = sizeGb;
  // Which image the machine drops when its cache is full is its own affair: past the limit nothing but the
  // newest is sure.
  double sum = 0;
  for (const auto& [label, gb] : images) sum += gb;
  if (cacheGb > 0 && sum > cacheGb) {
    images.clear();
    images[image] = sizeGb;
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
