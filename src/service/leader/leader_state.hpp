// The state of one leadership term, shared by the components of the leader.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "jobs/jobs.hpp"
#include "machines/machines.hpp"
#include "machines/placement_batches.hpp"
#include "service/context.hpp"
#include "state/committer.hpp"
#include "state/feed.hpp"

namespace reachhoist::service {

using machines::Attempt;
using machines::AttemptPhase;
using machines::Machine;
using machines::MachinePhase;

// The components of one Leader share it by reference, on one thread.
class LeaderState {
 public:
  // `partitionRevisions` holds the revision of each partition's key as this leader acquired it, by partition
  // id.
  LeaderState(Context& sharedContext, cluster::Leadership& sharedLeadership, state::Feed& sharedJobFeed,
              jobs::JobTable& jobTable, std::uint64_t leaderTerm,
              std::vector<std::uint64_t> partitionRevisions);
  LeaderState(const LeaderState&) = delete;

  // The prefix for the names of this leader's requests and writers. No later term uses it again.
  std::string uniquePrefix() const { return context.settings.label + "-" + std::to_string(term); }

  // Gives up the leadership after an inconsistency; the next leader reads all records again.
  void resign(const char* why);
  // Gives up the leadership so that a sibling with a better connection to the workers can take over.
  void stepDown(const char* why);
  // Whether the leadership has been given up, by resign() or stepDown().
  bool hasResigned() const { return resigned_; }

  // Whether the leadership and the job feed were confirmed recently enough to renew worker leases.
  bool canRenewLeases() const;
  // Whether the leadership was confirmed so recently that no other controller can lead yet. Every action that
  // costs money or gives up machines requires it: a leader behind a network partition would otherwise act
  // concurrently with its successor.
  bool holdsLeaderLease() const;
  // Whether the key-value store has confirmed the leadership since this process was last suspended.
  bool confirmedSinceResume() const;
  // The time since which this leader has been able to receive heartbeats without interruption.
  Time receivingHeartbeatsSince() const { return std::max(recordsLoadedAt, context.resumedAt); }
  // Whether this leader has acted for long enough that every live worker has had time to send it a heartbeat.
  bool firstHeartbeatWindowElapsed() const;
  // The duration of `missedHeartbeats` heartbeat intervals plus a margin.
  wire::Duration heartbeatTimeout(double missedHeartbeats, double marginS) const {
    return wire::seconds(context.settings.workers.heartbeatIntervalS * missedHeartbeats + marginS);
  }
  // The latest time at which an earlier leader can have renewed the lease of a worker. It stands in for
  // workers that have sent no heartbeat in this term.
  Time inheritedLeaseRenewal() const { return electedAt + context.settings.answerWindow(); }

  // Returns a number that no other attempt of any term has. Returns none, and resigns, if this term has used
  // up its numbers.
  std::optional<std::uint64_t> takeAttemptNumber();

  // The conditions of every durable change that a leader makes: it still holds all partitions.
  std::vector<state::Condition> partitionConditions() const;
  // Number of conditions that partitionConditions() returns.
  std::size_t partitionCount() const { return partitionRevisions_.size(); }
  // Handles a transaction whose conditions failed. `what` names the transaction in the log.
  void onTransactionRefused(const state::Outcome& outcome, const char* what);

  // Requests a placement round because the state that it plans from has changed.
  void requestPlacementRound() { placementRoundRequested = true; }

  // All machines that are not known to be terminated.
  std::vector<Machine*> existingMachines();
  // Visits all attempts of the job's tasks on all machines.
  void forEachAttempt(const std::string& ref, const std::function<void(Machine&, Attempt&)>& visit);

  Context& context;
  cluster::Leadership& leadership;
  state::Feed& jobFeed;
  jobs::JobTable& jobs;
  const std::uint64_t term;
  const Time electedAt;
  Time recordsLoadedAt{};                 // when all records of earlier leaders had been loaded
  const std::size_t valueSizeLimitBytes;  // maximum size of one stored value, in bytes of JSON
  machines::MachineTable machines;
  machines::PlacementBatchTable batches;
  std::set<std::uint32_t> staleBatches;  // batches whose stored value names terminated machines
  bool placementRoundRequested = true;

 private:
  // The older of the confirmations of the leadership and of the job feed: a confirmation counts only if all
  // cancellations up to then have been read as well.
  Time confirmedAt() const { return std::min(leadership.confirmedAt(), jobFeed.confirmedAt()); }

  std::vector<std::uint64_t> partitionRevisions_;
  std::uint64_t attemptCount_ = 0;
  bool resigned_ = false;
};

}  // namespace reachhoist::service
