// Fair-share accounting of one placement round; see share_account.hpp.
#include "shares/share_account.hpp"

#include <utility>

namespace reachhoist::shares {

namespace {

constexpr double kEpsilon = 1e-9;  // as a share: covers rounding errors of sums

Resources sum(Resources a, const Resources& b) {
  a += b;
  return a;
}

Resources unitOf(const jobs::Job& job) {
  const double taskCount = job.isGang() ? job.spec.taskCount : 1;
  const Resources& task = job.spec.taskResources;
  return Resources{task.vcpus * taskCount, task.accelerators * taskCount, task.memoryGb * taskCount};
}

}  // namespace

ShareAccount::ShareAccount(UsageSnapshot usage, double reclaimStep)
    : usage_(std::move(usage)),
      shares_(allocateFairShares(usage_.capacity, usage_.loads)),
      claimedCapacity_(usage_.loads.size()),
      reclaimStep_(reclaimStep) {}

const JobUsage* ShareAccount::findJobUnderShares(std::string_view ref) const {
  const JobUsage* jobUsage = usage_.find(ref);
  return jobUsage == nullptr || jobUsage->isExempt ? nullptr : jobUsage;
}

bool ShareAccount::canStart(const jobs::Job& job) const {
  const JobUsage* jobUsage = findJobUnderShares(job.spec.ref.text);
  if (jobUsage == nullptr) return true;
  if (lacksGuaranteedTask(job)) return true;
  const GroupShare& share = shares_[jobUsage->group];
  if (share.isDemandCovered()) return true;
  return dominantShare(usage_.loads[jobUsage->group].running, usage_.capacity) < share.entitled - kEpsilon;
}

bool ShareAccount::lacksGuaranteedTask(const jobs::Job& job) const {
  const JobUsage* jobUsage = findJobUnderShares(job.spec.ref.text);
  return jobUsage != nullptr && jobUsage->isGuaranteedOneTask && jobUsage->placedCount == 0 &&
         !shares_[jobUsage->group].isDemandCovered();
}

void ShareAccount::recordStart(const jobs::Job& job, std::uint32_t taskCount) {
  const auto found = usage_.jobs.find(job.spec.ref.text);
  if (found == usage_.jobs.end()) return;
  found->second.placedCount += taskCount;
  for (std::uint32_t i = 0; i < taskCount; ++i)
    usage_.loads[found->second.group].running += job.spec.taskResources;
}

bool ShareAccount::canClaim(const jobs::Job& job) const {
  const JobUsage* jobUsage = findJobUnderShares(job.spec.ref.text);
  if (jobUsage == nullptr) return false;
  const std::size_t group = jobUsage->group;
  const Resources running = sum(usage_.loads[group].running, claimedCapacity_[group]);
  return dominantShare(running, usage_.capacity) < shares_[group].entitled - kEpsilon;
}

void ShareAccount::recordClaim(const jobs::Job& job) {
  if (const JobUsage* jobUsage = findJobUnderShares(job.spec.ref.text); jobUsage != nullptr)
    claimedCapacity_[jobUsage->group] += shares::unitOf(job);
}

bool ShareAccount::hasGroupAboveEntitlement() const {
  for (std::size_t group = 0; group < shares_.size(); ++group)
    if (!shares_[group].isDemandCovered() &&
        dominantShare(usage_.loads[group].running, usage_.capacity) > shares_[group].entitled + kEpsilon)
      return true;
  return false;
}

Resources ShareAccount::unitOf(const machines::Attempt& attempt) const {
  if (!attempt.isGangMember) return attempt.resources;
  const JobUsage* jobUsage = usage_.find(attempt.task.job.text);
  const double taskCount = jobUsage == nullptr ? 1 : jobUsage->placedCount;
  return Resources{attempt.resources.vcpus * taskCount, attempt.resources.accelerators * taskCount,
                   attempt.resources.memoryGb * taskCount};
}

bool ShareAccount::ReclaimTrial::canReclaim(const machines::Attempt& attempt) const {
  const JobUsage* jobUsage = shareAccount_.findJobUnderShares(attempt.task.job.text);
  if (jobUsage == nullptr || isBeingStopped(attempt) || shareAccount_.stoppedGangs_.contains(attempt.number))
    return false;
  const std::size_t group = jobUsage->group;
  const GroupShare& share = shareAccount_.shares_[group];
  if (share.isDemandCovered()) return false;
  const Resources unit = shareAccount_.unitOf(attempt);
  Resources remaining = shareAccount_.usage_.loads[group].running;
  remaining -= unit;
  std::uint32_t placedCount = jobUsage->placedCount;
  for (const TrialAttempt& other : attempts_) {
    if (other.isGangMember && other.attemptNumber == attempt.number) return false;
    if (other.jobRef == attempt.task.job.text) --placedCount;
    if (other.group == group) remaining -= other.unit;
  }
  if (jobUsage->isGuaranteedOneTask && placedCount <= 1) return false;
  return dominantShare(remaining, shareAccount_.usage_.capacity) >= share.entitled - kEpsilon;
}

void ShareAccount::ReclaimTrial::add(const machines::Attempt& attempt) {
  if (const JobUsage* jobUsage = shareAccount_.findJobUnderShares(attempt.task.job.text); jobUsage != nullptr)
    attempts_.push_back(TrialAttempt{attempt.task.job.text, attempt.number, jobUsage->group,
                                     attempt.isGangMember, shareAccount_.unitOf(attempt)});
}

void ShareAccount::recordStop(const machines::Attempt& attempt) {
  const auto found = usage_.jobs.find(attempt.task.job.text);
  if (found == usage_.jobs.end()) return;
  if (attempt.isGangMember && !stoppedGangs_.insert(attempt.number).second) return;
  usage_.loads[found->second.group].running -= unitOf(attempt);
  found->second.placedCount =
      attempt.isGangMember || found->second.placedCount == 0 ? 0 : found->second.placedCount - 1;
}

void ShareAccount::recordReclaim(const machines::Attempt& attempt) {
  reclaimedShare_ += dominantShare(unitOf(attempt), usage_.capacity);
  recordStop(attempt);
}

}  // namespace reachhoist::shares
