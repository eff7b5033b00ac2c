#include "shares/ledger.hpp"

#include <utility>

namespace reachhoist::shares {

namespace {

constexpr double kEpsilon = 1e-9;  // of a share: rounding of sums

Resources sum(Resources a, const Resources& b) {
  a += b;
  return a;
}

Resources unitOf(const jobs::Job& job) {
  const double tasks = job.isGang() ? job.spec.taskCount : 1;
  const Resources& each = job.spec.each;
  return Resources{each.vcpus * tasks, each.accelerators * tasks, each.memoryGb * tasks};
}

}  // namespace

Ledger::Ledger(Census census, double step)
    : census_(std::move(census)),
      shares_(divide(census_.capacity, census_.loads)),
      claimed_(census_.loads.size()),
      step_(step) {}

const JobStanding* Ledger::governed(std::string_view ref) const {
  const JobStanding* standing = census_.find(ref);
  return standing == nullptr || standing->fixed ? nullptr : standing;
}

bool Ledger::mayTake(const jobs::Job& job) const {
  const JobStanding* standing = governed(job.spec.ref.text);
  if (standing == nullptr) return true;
  if (mustGoOn(job)) return true;
  const GroupShare& share = shares_[standing->group];
  if (share.granted()) return true;
  return dominantShare(census_.loads[standing->group].running, census_.capacity) < share.entitled - kEpsilon;
}

bool Ledger::mustGoOn(const jobs::Job& job) const {
  const JobStanding* standing = governed(job.spec.ref.text);
  return standing != nullptr && standing->keepsOne && standing->placed == 0 &&
         !shares_[standing->group].granted();
}

void Ledger::take(const jobs::Job& job, std::uint32_t tasks) {
  const auto found = census_.jobs.find(job.spec.ref.text);
  if (found == census_.jobs.end()) return;
  found->second.placed += tasks;
  for (std::uint32_t i = 0; i < tasks; ++i) census_.loads[found->second.group].running += job.spec.each;
}

bool Ledger::mayClaim(const jobs::Job& job) const {
  const JobStanding* standing = governed(job.spec.ref.text);
  if (standing == nullptr) return false;
  const std::size_t group = standing->group;
  const Resources running = sum(census_.loads[group].running, claimed_[group]);
  return dominantShare(running, census_.capacity) < shares_[group].entitled - kEpsilon;
}

void Ledger::claim(const jobs::Job& job) {
  if (const JobStanding* standing = governed(job.spec.ref.text); standing != nullptr)
    claimed_[standing->group] += shares::unitOf(job);
}

bool Ledger::anyAbove() const {
  for (std::size_t group = 0; group < shares_.size(); ++group)
    if (!shares_[group].granted() &&
        dominantShare(census_.loads[group].running, census_.capacity) > shares_[group].entitled + kEpsilon)
      return true;
  return false;
}

Resources Ledger::unitOf(const machines::Attempt& attempt) const {
  if (!attempt.gang) return attempt.each;
  const JobStanding* standing = census_.find(attempt.task.job.text);
  const double tasks = standing == nullptr ? 1 : standing->placed;
  return Resources{attempt.each.vcpus * tasks, attempt.each.accelerators * tasks,
                   attempt.each.memoryGb * tasks};
}

bool Ledger::Trial::mayGive(const machines::Attempt& attempt) const {
  const JobStanding* standing = ledger_.governed(attempt.task.job.text);
  if (standing == nullptr || isLeaving(attempt) || ledger_.gangs_.contains(attempt.number)) return false;
  const std::size_t group = standing->group;
  const GroupShare& share = ledger_.shares_[group];
  if (share.granted()) return false;
  const Resources unit = ledger_.unitOf(attempt);
  Resources rest = ledger_.census_.loads[group].running;
  rest -= unit;
  std::uint32_t placed = standing->placed;
  for (const Given& given : given_) {
    if (given.gang && given.number == attempt.number) return false;
    if (given.job == attempt.task.job.text) --placed;
    if (given.group == group) rest -= given.unit;
  }
  if (standing->keepsOne && placed <= 1) return false;
  return dominantShare(rest, ledger_.census_.capacity) >= share.entitled - kEpsilon;
}

void Ledger::Trial::give(const machines::Attempt& attempt) {
  if (const JobStanding* standing = ledger_.governed(attempt.task.job.text); standing != nullptr)
    given_.push_back(
        Given{attempt.task.job.text, attempt.number, standing->group, attempt.gang, ledger_.unitOf(attempt)});
}

void Ledger::leave(const machines::Attempt& attempt) {
  const auto found = census_.jobs.find(attempt.task.job.text);
  if (found == census_.jobs.end()) return;
  if (attempt.gang && !gangs_.insert(attempt.number).second) return;
  census_.loads[found->second.group].running -= unitOf(attempt);
  found->second.placed = attempt.gang || found->second.placed == 0 ? 0 : found->second.placed - 1;
}

void Ledger::give(const machines::Attempt& attempt) {
  reclaimed_ += dominantShare(unitOf(attempt), census_.capacity);
  leave(attempt);
}

}  // namespace reachhoist::shares
