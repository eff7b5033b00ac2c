// Preemption for fair shares: groups above their entitlement give capacity to groups below theirs.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "placement/preemption_rules.hpp"

namespace reachhoist::placement {

// Preempts for single tasks of groups below their entitlement. Needs a share account; does not own the state.
class SharePreemptor {
 public:
  explicit SharePreemptor(RoundState& state) : state_(state) {}

  // Preempts for so many tasks of the job, as far as the job's group is below its entitlement. `covered`:
  // tasks of them for which there is capacity now or soon.
  void preemptFor(const Job& job, std::uint32_t tasks, std::uint32_t covered);

 private:
  // What one bin gives up for one task; the cheaper one comes first in a heap.
  struct Candidate {
    double costS = 0;
    std::size_t bin = 0;
    Victims victims;
    bool operator<(const Candidate& other) const { return costS > other.costS; }
  };
  void claim(const Job& job, std::uint32_t tasks);
  bool mayPreemptMore(const Job& job) const;
  std::vector<Candidate> findCandidates(const Job& job) const;
  std::optional<Candidate> findCandidate(const Job& job, std::size_t at) const;
  void preemptCheapest(const Job& job, std::vector<Candidate> heap, std::uint32_t tasks);
  void preempt(const Job& job, const Candidate& candidate);
  // Whether a job that asked for no more, and could run anywhere, found no victims in this round.
  bool foundNoVictimsBefore(const Job& job) const;

  RoundState& state_;
  std::vector<const Job*> jobsWithoutVictims_;  // that could run anywhere
};

}  // namespace reachhoist::placement
