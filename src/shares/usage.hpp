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

// Whether the attempt is on its way out: room that it holds counts as freed.
bool isLeaving(const machines::Attempt& attempt);

// How one open job counts in the snapshot.
struct JobStanding {
  std::size_t group = 0;
  bool fixed = false;        // ranks above shares: neither held nor stopped for their sake
  bool keepsOne = false;     // an array that has begun: one of its tasks runs whatever the group has
  std::uint32_t placed = 0;  // tasks that are placed and not on their way out
};

// Capacity, per-group load and per-job standing at one moment; input to `allocateFairShares`.
struct UsageSnapshot {
  Resources capacity;
  std::vector<double> units;     // by group: the largest part of the capacity that one task or gang takes
  std::vector<GroupLoad> loads;  // by group; the last is that of the others
  std::unordered_map<std::string_view, JobStanding> jobs;  // the open ones

  const JobStanding* find(std::string_view ref) const;
};

// By group: whether it has what it is entitled to, to within one task or gang, and gives nothing that another
// group lacks.
std::vector<bool> converged(const UsageSnapshot& usage, const std::vector<GroupShare>& shares);

// Whether a job is served before fair shares apply (and is never preempted for them).
using RanksAbove = std::function<bool(const jobs::Job&)>;

// Takes the snapshot. `open` and the table must outlive it (it keeps views of job refs).
UsageSnapshot takeUsageSnapshot(const Table& table, const config::Settings& settings,
                                const std::vector<machines::Machine*>& machines,
                                const std::vector<const jobs::Job*>& open, const RanksAbove& ranksAbove);

}  // namespace reachhoist::shares
