// Usage snapshot: what each fair-share group runs and demands, over the machines that are up.
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

// Whether the attempt is being stopped: the capacity that it holds counts as freed.
bool isLeaving(const machines::Attempt& attempt);

// How one open job counts in the snapshot.
struct JobStanding {
  std::size_t group = 0;     // index in `UsageSnapshot::loads`
  bool fixed = false;        // served before fair shares: neither delayed nor preempted for them
  bool keepsOne = false;     // a started array: one of its tasks may run whatever its group uses
  std::uint32_t placed = 0;  // tasks that are placed and not being stopped
};

// Capacity, per-group load and per-job standing at one moment; input to `allocateFairShares`.
struct UsageSnapshot {
  Resources capacity;            // of the machines that count
  std::vector<double> units;     // by group: the dominant share of its largest task or gang
  std::vector<GroupLoad> loads;  // by group; the last one is that of all other jobs
  std::unordered_map<std::string_view, JobStanding> jobs;  // open jobs, by reference

  // The job's standing, or null.
  const JobStanding* find(std::string_view ref) const;
};

// By group: whether it runs what it is entitled to, to within one task or gang, and has nothing beyond that
// which another group lacks.
std::vector<bool> converged(const UsageSnapshot& usage, const std::vector<GroupShare>& shares);

// Whether a job is served before fair shares apply (and is never preempted for them).
using ShareExemption = std::function<bool(const jobs::Job&)>;

// Takes the snapshot. `open` and the table must outlive it (it keeps views of job refs).
UsageSnapshot takeUsageSnapshot(const Table& table, const config::Settings& settings,
                                const std::vector<machines::Machine*>& machines,
                                const std::vector<const jobs::Job*>& open, const ShareExemption& isExempt);

}  // namespace reachhoist::shares
