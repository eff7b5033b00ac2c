// The working state of one placement round, shared by the classes that place and preempt.
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

// Tasks by zone.
using ZoneCounts = std::map<std::string, std::uint32_t>;

// What a round knows and has decided so far. `input` must outlive it.
struct RoundState {
  explicit RoundState(const SchedulingInput& input);

  // Whether the job fits into its team's guarantee.
  bool isWithinGuarantee(const std::string& ref) const { return guaranteedJobs.contains(ref); }
  // Whether fair shares let another task of the job, or its whole gang, start now.
  bool isWithinShare(const Job& job) const { return !shareAccount || shareAccount->mayStart(job); }
  // Whether the transaction has a condition left for another job.
  bool mayPlaceAnotherJob() const { return placedJobs < input.maxJobs; }
  // Whether one more task of the job may go to the zone.
  bool zoneAccepts(const Job& job, const std::string& zone) const;
  // Counts one more task of the job in the zone, if the job's placement depends on zones.
  void countInZone(const Job& job, const std::string& zone);
  // Zones to consider for a gang; one empty name if its tasks may be in several zones.
  std::vector<std::string> gangZones(const Job& job) const;
  // Assigns the task to the bin.
  void assign(Bin& bin, Job& job, std::uint32_t index);
  // Whether the attempt is to be stopped by this round.
  bool isPreempted(const machines::Attempt& attempt) const {
    return preemptedAttempts.contains(attempt.number);
  }
  // Adds the attempt to the plan's preemptions.
  void preempt(Machine& machine, const machines::Attempt& attempt);

  const SchedulingInput& input;
  PlacementPlan plan;
  std::vector<Bin> bins;
  std::vector<Bin> busyBins;  // with a transaction in flight: only capacity that will be freed counts
  TeamQuotas quotas;
  std::unordered_map<std::string, ZoneCounts> zoneCounts;  // by job, where its placement depends on zones
  std::set<std::uint64_t> preemptedAttempts;               // by attempt number
  std::unordered_set<std::uint64_t> unreachableGangs;      // attempt numbers with a task on such a machine
  std::unordered_set<std::string> guaranteedJobs;          // references of jobs within their team's guarantee
  wire::Priority lowestPriority = wire::Priority::prod;    // of all attempts that are not being stopped
  bool anyTeamOverGuarantee = false;                       // at the start of the round
  bool anySpotMachine = false;
  std::size_t placedJobs = 0;
  std::optional<shares::ShareAccount> shareAccount;  // none: no fair shares
  std::vector<const Job*> entitledJobs;              // below their entitlement and without capacity

 private:
  void addMachine(Machine& machine, bool countUsage, bool countZones);
  void openShareAccount();
  bool takesWork(const Machine& machine) const;
  bool isReachable(const Machine& machine) const;
};

}  // namespace reachhoist::placement
