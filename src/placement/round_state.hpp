// The working state of one placement round. The classes that place tasks and preempt attempts share it.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "placement/bin.hpp"
#include "placement/planner.hpp"
#include "placement/team_quotas.hpp"
#include "shares/share_account.hpp"

namespace reachhoist::placement {

// Number of tasks by zone.
using ZoneCounts = std::map<std::string, std::uint32_t>;

// The input of a round, derived data and the decisions so far. `input` must outlive the state.
struct RoundState {
  explicit RoundState(const SchedulingInput& input);

  // Whether the job is within its team's guarantee.
  bool isWithinGuarantee(const std::string& ref) const { return guaranteedJobs.contains(ref); }
  // Whether the job has waited for its team's guarantee so long that it may stop work of any priority.
  bool isOverdueWithinGuarantee(const Job& job) const;
  // Whether fair shares allow another task of the job, or its whole gang, to start now.
  bool isWithinShare(const Job& job) const { return !shareAccount || shareAccount->canStart(job); }
  // Whether the transaction has a condition left for another job.
  bool canPlaceAnotherJob() const { return placedJobCount < input.maxJobs; }
  // Whether the job's zone rules allow one more task in the zone.
  bool zoneAccepts(const Job& job, const std::string& zone) const;
  // Counts one more task of the job in the zone, if the job's placement depends on zones.
  void countInZone(const Job& job, const std::string& zone);
  // The zones to consider for a gang. One empty name stands for all zones if the gang can span several.
  std::vector<std::string> gangZones(const Job& job) const;
  // Assigns the task to the bin.
  void assign(Bin& bin, Job& job, std::uint32_t taskIndex);
  // Whether this round preempts the attempt.
  bool isPreempted(const machines::Attempt& attempt) const {
    return preemptedAttempts.contains(attempt.number);
  }
  // Adds the attempt to the plan's preemptions.
  void preempt(Machine& machine, const machines::Attempt& attempt);

  const SchedulingInput& input;
  PlacementPlan plan;
  std::vector<Bin> bins;
  // Bins of machines with a transaction in flight. Only their pending capacity counts; they get no tasks.
  std::vector<Bin> binsInTransaction;
  TeamQuotas quotas;
  // Placed tasks by zone, for each waiting gang or waiting job with zone rules; by job reference.
  std::unordered_map<std::string, ZoneCounts> zoneCounts;
  std::set<std::uint64_t> preemptedAttempts;           // attempt numbers
  std::unordered_set<std::uint64_t> unreachableGangs;  // attempt numbers of gangs with an unreachable machine
  std::unordered_set<std::string> guaranteedJobs;      // references of jobs within their team's guarantee
  wire::Priority lowestPriority = wire::Priority::prod;  // of all attempts that are not being stopped
  bool hasTeamOverGuarantee = false;                     // at the start of the round
  bool hasSpotMachine = false;
  std::size_t placedJobCount = 0;                    // jobs that got tasks in this round
  std::optional<shares::ShareAccount> shareAccount;  // empty if fair shares are off
  std::vector<const Job*> entitledJobs;  // jobs of groups below their entitlement that lack capacity

 private:
  void addMachine(Machine& machine, bool countsUsage, bool countsZones);
  void createShareAccount();
  bool isSchedulable(const Machine& machine) const;
  bool isReachable(const Machine& machine) const;
};

}  // namespace reachhoist::placement
