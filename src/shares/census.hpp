// Counts what each group runs and asks for, over the machines that are up.
#pragma once

#include <functional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jobs/jobs.hpp"
#include "machines/machines.hpp"
#include "shares/division.hpp"
#include "shares/table.hpp"

namespace reachhoist::shares {

// Whether the attempt is on its way out: room that it holds counts as freed.
bool isLeaving(const machines::Attempt& attempt);

struct JobStanding {
  std::size_t group = 0;
  bool fixed = false;        // ranks above shares: neither held nor stopped for their sake
  bool keepsOne = false;     // an array that has begun: one of its tasks runs whatever the group has
  std::uint32_t placed = 0;  // tasks that are placed and not on their way out
};

struct Census {
  Resources capacity;
  std::vector<double> units;     // by group: the largest part of the capacity that one task or gang takes
  std::vector<GroupLoad> loads;  // by group; the last is that of the others
  std::unordered_map<std::string_view, JobStanding> jobs;  // the open ones

  const JobStanding* find(std::string_view ref) const;
};

// By group: whether it has what it is entitled to, to within one task or gang, and gives nothing that another
// group lacks.
std::vector<bool> converged(const Census& census, const std::vector<GroupShare>& shares);

using RanksAbove = std::function<bool(const jobs::Job&)>;

// `open` and the table must outlive the census.
Census takeCensus(const Table& table, const config::Settings& settings,
                  const std::vector<machines::Machine*>& machines, const std::vector<const jobs::Job*>& open,
                  const RanksAbove& ranksAbove);

}  // namespace reachhoist::shares
