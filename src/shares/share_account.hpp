// Per-round fair-share accounting of the groups: which may start more tasks, which may be asked to give up
// capacity, and how much the round has reclaimed.
#pragma once

#include <set>
#include <string_view>
#include <vector>

#include "shares/usage.hpp"

namespace reachhoist::shares {

// Tracks, within one placement round, which groups may start more and which must give back capacity by
// preemption, and how much the round has reclaimed. Not thread-safe.
class ShareAccount {
 public:
  // `reclaimStep`: the part of the capacity after which a round reclaims no more; exceeded by less than one
  // claim.
  ShareAccount(UsageSnapshot usage, double reclaimStep);

  // Whether the shares let the job start another task, or its whole gang. This exceeds the entitlement by
  // less than one such unit, so that what has just been placed is never reclaimed.
  bool mayStart(const jobs::Job& job) const;
  // Counts so many tasks of the job as running.
  void start(const jobs::Job& job, std::uint32_t tasks = 1);
  // Whether the job is a started array of which nothing runs now, in a group that gets less than it demands.
  bool mustKeepRunning(const jobs::Job& job) const;

  // Whether the job's group is below its entitlement, what this round has claimed for it included.
  bool mayClaim(const jobs::Job& job) const;
  // Counts capacity that will be freed as claimed for one task of the job, or its whole gang.
  void claim(const jobs::Job& job);

  // Attempts considered for preemption together, before any of them is reclaimed. The account must not change
  // meanwhile.
  class ReclaimTrial {
   public:
    explicit ReclaimTrial(const ShareAccount& account) : shareAccount_(account) {}
    // Whether the attempt (its whole gang) can be reclaimed too, with its group still at its entitlement or
    // above.
    bool mayReclaim(const machines::Attempt& attempt) const;
    void reclaim(const machines::Attempt& attempt);

   private:
    struct ReclaimedAttempt {
      std::string_view job;
      std::uint64_t number = 0;
      std::size_t group = 0;
      bool gang = false;
      Resources unit;  // the attempt's resources, or those of its whole gang
    };
    const ShareAccount& shareAccount_;
    std::vector<ReclaimedAttempt> reclaimedAttempts_;
  };

  // Whether the attempt may be preempted for fair shares.
  bool mayReclaim(const machines::Attempt& attempt) const { return ReclaimTrial(*this).mayReclaim(attempt); }
  // Counts the attempt as preempted for fair shares.
  void reclaim(const machines::Attempt& attempt);
  // Whether any group has more than it is entitled to.
  bool anyGroupAboveEntitlement() const;
  // Whether the round may reclaim more.
  bool withinReclaimStep() const { return reclaimedShare_ < reclaimStep_; }
  // Counts the attempt as stopped for a reason other than fair shares.
  void release(const machines::Attempt& attempt);

 private:
  // The standing of a job that fair shares apply to; null for all others.
  const JobStanding* findGoverned(std::string_view ref) const;
  // Resources of the attempt, or of its whole gang.
  Resources unitOf(const machines::Attempt& attempt) const;

  UsageSnapshot usage_;
  std::vector<GroupShare> shares_;
  std::vector<Resources> claimedCapacity_;  // by group: capacity that will be freed for it
  std::set<std::uint64_t> stoppedGangs_;    // attempt numbers
  double reclaimStep_;
  double reclaimedShare_ = 0;  // of the capacity
};

}  // namespace reachhoist::shares
