// Fair-share accounting of one placement round: which groups can start more tasks, which attempts can be
// preempted for the groups below their entitlement, and how much capacity the round has reclaimed.
#pragma once

#include <set>
#include <string_view>
#include <vector>

#include "shares/usage.hpp"

namespace reachhoist::shares {

// Tracks the usage of the fair-share groups within one placement round, and how much capacity the round has
// reclaimed by preemption. Not thread-safe.
class ShareAccount {
 public:
  // The round stops reclaiming once it has reclaimed `reclaimStep`, a part of the capacity. It exceeds this
  // part by less than the capacity that one claim takes.
  ShareAccount(UsageSnapshot usage, double reclaimStep);

  // Whether fair shares allow the job to start another task, or its whole gang. The group's usage exceeds the
  // entitlement by less than one such unit, so that a task that has just been placed is never reclaimed.
  bool canStart(const jobs::Job& job) const;
  // Counts the given number of tasks of the job as running.
  void recordStart(const jobs::Job& job, std::uint32_t taskCount = 1);
  // Whether the job is a started array that runs none of its tasks, in a group that is entitled to less than
  // it demands.
  bool lacksGuaranteedTask(const jobs::Job& job) const;

  // Whether the job's group is below its entitlement, even if the capacity that this round has claimed for it
  // counts as used.
  bool canClaim(const jobs::Job& job) const;
  // Records a claim on capacity that will be freed, for one task of the job, or for its whole gang.
  void recordClaim(const jobs::Job& job);

  // A set of attempts that would be reclaimed together. The account must not change while a trial exists.
  class ReclaimTrial {
   public:
    explicit ReclaimTrial(const ShareAccount& account) : shareAccount_(account) {}
    // Whether the attempt (with its whole gang) can be reclaimed in addition, so that its group stays at or
    // above its entitlement.
    bool canReclaim(const machines::Attempt& attempt) const;
    void add(const machines::Attempt& attempt);

   private:
    struct TrialAttempt {
      std::string_view jobRef;
      std::uint64_t attemptNumber = 0;
      std::size_t group = 0;
      bool isGangMember = false;
      Resources unit;  // resources of the attempt, or of its whole gang
    };
    const ShareAccount& shareAccount_;
    std::vector<TrialAttempt> attempts_;
  };

  // Whether the attempt can be preempted for fair shares.
  bool canReclaim(const machines::Attempt& attempt) const { return ReclaimTrial(*this).canReclaim(attempt); }
  // Counts the attempt (with its whole gang) as preempted for fair shares.
  void recordReclaim(const machines::Attempt& attempt);
  // Whether any group uses more than its entitlement while its demand is not covered.
  bool hasGroupAboveEntitlement() const;
  // Whether the round has reclaimed less than the reclaim step.
  bool isWithinReclaimStep() const { return reclaimedShare_ < reclaimStep_; }
  // Counts the attempt (with its whole gang) as stopped for a reason other than fair shares.
  void recordStop(const machines::Attempt& attempt);

 private:
  // The usage of the job; null if the job is unknown or exempt from fair shares.
  const JobUsage* findJobUnderShares(std::string_view ref) const;
  // Resources of the attempt, or of its whole gang.
  Resources unitOf(const machines::Attempt& attempt) const;

  UsageSnapshot usage_;
  std::vector<GroupShare> shares_;
  std::vector<Resources> claimedCapacity_;  // by group; capacity that will be freed for the group
  std::set<std::uint64_t> stoppedGangs_;    // by attempt number
  double reclaimStep_;
  double reclaimedShare_ = 0;  // part of the capacity
};

}  // namespace reachhoist::shares
