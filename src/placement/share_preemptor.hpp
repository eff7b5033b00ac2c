// Preemption for fair shares: reclaims capacity from groups above their entitlement for groups below theirs.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "placement/preemption_rules.hpp"

namespace reachhoist::placement {

// Preempts attempts for single tasks of groups below their entitlement. The state must have a share account.
// Does not own the state.
class SharePreemptor {
 public:
  explicit SharePreemptor(RoundState& state) : state_(state) {}

  // Preempts attempts for up to `taskCount` tasks of the job, while the job's group is below its entitlement.
  // For `coveredTasks` of these tasks the round has already found pending capacity or preempted attempts.
  void preemptFor(const Job& job, std::uint32_t taskCount, std::uint32_t coveredTasks);

 private:
  // The victims on one bin that free capacity for one task. The cheapest candidate is at the top of a heap.
  struct Candidate {
    double costS = 0;
    std::size_t binIndex = 0;  // in `RoundState::bins`
    Victims victims;
    bool operator<(const Candidate& other) const { return costS > other.costS; }
  };
  void recordClaims(const Job& job, std::uint32_t taskCount);
  bool canPreemptMore(const Job& job) const;
  std::vector<Candidate> findCandidates(const Job& job) const;
  std::optional<Candidate> findCandidate(const Job& job, std::size_t binIndex) const;
  void preemptCheapest(const Job& job, std::vector<Candidate> heap, std::uint32_t taskCount);
  void preempt(const Job& job, const Candidate& candidate);
  // Whether this round has found no victims for a job that can run on any machine, needs no more resources
  // and has no lower priority.
  bool foundNoVictimsBefore(const Job& job) const;

  RoundState& state_;
  std::vector<const Job*> jobsWithoutVictims_;  // jobs that can run on any machine
};

}  // namespace reachhoist::placement
