// Per-round fair-share accounting of the groups: who may be given more, who may be asked to give, and how
// much of that this round has used up already.
#pragma once

#include <set>
#include <string_view>
#include <vector>

#include "shares/usage.hpp"

namespace reachhoist::shares {

// Tracks, within one placement round, which groups may take more and which must give back capacity by
// preemption, and how much preemption the round has done.
class ShareAccount {
 public:
  // `step`: the part of the capacity after which a round reclaims no more; exceeded by less than one claim.
  ShareAccount(UsageSnapshot usage, double step);

  // Whether the shares let the job start another task, or its whole gang. Exceeds the entitlement by less
  // than one such unit, so that what has just been placed is never asked back.
  bool mayTake(const jobs::Job& job) const;
  void take(const jobs::Job& job, std::uint32_t tasks = 1);
  // An array that has begun and of which nothing runs now, in a group that gets less than it asks for.
  bool mustGoOn(const jobs::Job& job) const;

  // Whether the job's group lies below its entitlement, with what this round has claimed counted.
  bool mayClaim(const jobs::Job& job) const;
  void claim(const jobs::Job& job);

  // What is considered to be given up together, before it is.
  class Trial {
   public:
    explicit Trial(const ShareAccount& account) : shareAccount_(account) {}
    // Whether the attempt (its whole gang) can go too, with its group still at its entitlement or above.
    bool mayGive(const machines::Attempt& attempt) const;
    void give(const machines::Attempt& attempt);

   private:
    struct Given {
      std::string_view job;
      std::uint64_t number = 0;
      std::size_t group = 0;
      bool gang = false;
      Resources unit;
    };
    const ShareAccount& shareAccount_;
    std::vector<Given> given_;
  };

  bool mayGive(const machines::Attempt& attempt) const { return Trial(*this).mayGive(attempt); }
  void give(const machines::Attempt& attempt);
  // Whether any group has more than it is entitled to.
  bool anyAbove() const;
  bool withinStep() const { return reclaimed_ < step_; }
  // It is stopped for another reason.
  void leave(const machines::Attempt& attempt);

 private:
  const JobStanding* governed(std::string_view ref) const;
  Resources unitOf(const machines::Attempt& attempt) const;

  UsageSnapshot usage_;
  std::vector<GroupShare> shares_;
  std::vector<Resources> claimed_;  // by group: room that is coming for it
  std::set<std::uint64_t> gangs_;   // attempts of gangs given up
  double step_;
  double reclaimed_ = 0;
};

}  // namespace reachhoist::shares
