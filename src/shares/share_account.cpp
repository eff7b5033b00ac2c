// Per-round fair-share accounting; see share_account.hpp.
#include "shares/share_account.hpp"

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
  const Resources& each = job.spec.taskResources;
  return Resources{each.vcpus * tasks, each.accelerators * tasks, each.memoryGb * tasks};
}

}  // namespace

ShareAccount::ShareAccount(UsageSnapshot usage, double reclaimStep)
    : usage_(std::move(usage)),
      shares_(allocateFairShares(usage_.capacity, usage_.loads)),
      claimedCapacity_(usage_.loads.size()),
      reclaimStep_(reclaimStep) {}

const JobStanding* ShareAccount::findGoverned(std::string_view ref) const {
  const JobStanding* standing = usage_.find(ref);
  return standing == nullptr || standing->fixed ? nullptr : standing;
}

bool ShareAccount::mayStart(const jobs::Job& job) const {
  const JobStanding* standing = findGoverned(job.spec.ref.text);
  if (standing == nullptr) return true;
  if (mustKeepRunning(job)) return true;
  const GroupShare& share = shares_[standing->group];
  if (share.granted()) return true;
  return dominantShare(usage_.loads[standing->group].running, usage_.capacity) < share.entitled - kEpsilon;
}

bool ShareAccount::mustKeepRunning(const jobs::Job& job) const {
  const JobStanding* standing = findGoverned(job.spec.ref.text);
  return standing != nullptr && standing->keepsOne && standing->placed == 0 &&
         !shares_[standing->group].granted();
}

void ShareAccount::start(const jobs::Job& job, std::uint32_t tasks) {
  const auto found = usage_.jobs.find(job.spec.ref.text);
  if (found == usage_.jobs.end()) return;
  found->second.placed += tasks;
  for (std::uint32_t i = 0; i < tasks; ++i)
    usage_.loads[found->second.group].running += job.spec.taskResources;
}

bool ShareAccount::mayClaim(const jobs::Job& job) const {
  const JobStanding* standing = findGoverned(job.spec.ref.text);
  if (standing == nullptr) return false;
  const std::size_t group = standing->group;
  const Resources running = sum(usage_.loads[group].running, claimedCapacity_[group]);
  return dominantShare(running, usage_.capacity) < shares_[group].entitled - kEpsilon;
}

void ShareAccount::claim(const jobs::Job& job) {
  if (const JobStanding* standing = findGoverned(job.spec.ref.text); standing != nullptr)
    claimedCapacity_[standing->group] += shares::unitOf(job);
}

bool ShareAccount::anyGroupAboveEntitlement() const {
  for (std::size_t group = 0; group < shares_.size(); ++group)
    if (!shares_[group].granted() &&
        dominantShare(usage_.loads[group].running, usage_.capacity) > shares_[group].entitled + kEpsilon)
      return true;
  return false;
}

Resources ShareAccount::unitOf(const machines::Attempt& attempt) const {
  if (!attempt.isGangMember) return attempt.resources;
  const JobStanding* standing = usage_.find(attempt.task.job.text);
  const double tasks = standing == nullptr ? 1 : standing->placed;
  return Resources{attempt.resources.vcpus * tasks, attempt.resources.accelerators * tasks,
                   attempt.resources.memoryGb * tasks};
}

bool ShareAccount::ReclaimTrial::mayReclaim(const machines::Attempt& attempt) const {
  const JobStanding* standing = shareAccount_.findGoverned(attempt.task.job.text);
  if (standing == nullptr || isLeaving(attempt) || shareAccount_.stoppedGangs_.contains(attempt.number))
    return false;
  const std::size_t group = standing->group;
  const GroupShare& share = shareAccount_.shares_[group];
  if (share.granted()) return false;
  const Resources unit = shareAccount_.unitOf(attempt);
  Resources rest = shareAccount_.usage_.loads[group].running;
  rest -= unit;
  std::uint32_t placed = standing->placed;
  for (const ReclaimedAttempt& reclaimed : reclaimedAttempts_) {
    if (reclaimed.gang && reclaimed.number == attempt.number) return false;
    if (reclaimed.job == attempt.task.job.text) --placed;
    if (reclaimed.group == group) rest -= reclaimed.unit;
  }
  if (standing->keepsOne && placed <= 1) return false;
  return dominantShare(rest, shareAccount_.usage_.capacity) >= share.entitled - kEpsilon;
}

void ShareAccount::ReclaimTrial::reclaim(const machines::Attempt& attempt) {
  if (const JobStanding* standing = shareAccount_.findGoverned(attempt.task.job.text); standing != nullptr)
    reclaimedAttempts_.push_back(ReclaimedAttempt{attempt.task.job.text, attempt.number, standing->group,
                                                  attempt.isGangMember, shareAccount_.unitOf(attempt)});
}

void ShareAccount::release(const machines::Attempt& attempt) {
  const auto found = usage_.jobs.find(attempt.task.job.text);
  if (found == usage_.jobs.end()) return;
  if (attempt.isGangMember && !stoppedGangs_.insert(attempt.number).second) return;
  usage_.loads[found->second.group].running -= unitOf(attempt);
  found->second.placed = attempt.isGangMember || found->second.placed == 0 ? 0 : found->second.placed - 1;
}

void ShareAccount::reclaim(const machines::Attempt& attempt) {
  reclaimedShare_ += dominantShare(unitOf(attempt), usage_.capacity);
  release(attempt);
}

}  // namespace reachhoist::shares
