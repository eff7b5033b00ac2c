// Usage snapshot: the usage and the demand of each fair-share group on the machines that are up.
#pragma once

#include <functional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jobs/jobs.hpp"
#include "machines/machines.hpp"
#include "shares/fair_share.hpp"
#include "shares/table.hpp"

namespace reachhoist::shares {

// Whether the attempt is being stopped. The capacity that it still holds counts as freed.
bool isBeingStopped(const machines::Attempt& attempt);

// The usage of one open job, and how fair shares apply to it.
struct JobUsage {
  std::size_t group = 0;             // index in `UsageSnapshot::loads`
  bool isExempt = false;             // fair shares neither delay nor preempt the job
  bool isGuaranteedOneTask = false;  // a started array: one of its tasks can run however much its group uses
  std::uint32_t placedCount = 0;     // number of tasks that are placed and not being stopped
};

// The capacity and the usage by group and by job at one moment; input to `allocateFairShares`.
struct UsageSnapshot {
  Resources capacity;              // of the machines that are up, not quarantined and without a spot notice
  std::vector<double> unitShares;  // by group: the dominant share of its largest task or gang
  std::vector<GroupLoad> loads;    // by group; the last group is that of all jobs that match no other
  std::unordered_map<std::string_view, JobUsage> jobs;  // open jobs, by reference

  // The usage of the job, or null.
  const JobUsage* find(std::string_view ref) const;
};

// For each group, whether it has converged: its usage is at most one task or gang below its entitlement, and
// it exceeds the entitlement by more than that only if no group is below its own by more.
std::vector<bool> converged(const UsageSnapshot& usage, const std::vector<GroupShare>& shares);

// Whether a job is exempt from fair shares: it is served before they apply and is never preempted for them.
using ShareExemption = std::function<bool(const jobs::Job&)>;

// Takes the snapshot. The jobs must outlive it, because it keeps views of their references.
UsageSnapshot takeUsageSnapshot(const Table& table, const config::Settings& settings,
                                const std::vector<machines::Machine*>& machines,
                                const std::vector<const jobs::Job*>& openJobs,
                                const ShareExemption& isExempt);

}  // namespace reachhoist::shares
