// The state of one leadership term that the components of the leader share.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
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

// Shared by reference among the components of one Leader, on one thread.
class LeaderState {
 public:
  // `partitionRevisions`: revision of each partition's key as this leader acquired it, by partition id.
  LeaderState(Context& sharedContext, cluster::Leadership& sharedLeadership, state::Feed& sharedJobFeed,
              jobs::JobTable& jobTable, std::uint64_t leaderTerm,
              std::vector<std::uint64_t> partitionRevisions);
  LeaderState(const LeaderState&) = delete;

  // A prefix for the names of requests and writers of this leader; never used again in a later term.
  std::string uniquePrefix() const { return context.settings.label + "-" + std::to_string(term); }

  // Gives up the leadership after an inconsistency; the next leader reads all records again.
  void resign(const char* why);
  // Hands the leadership to a sibling that may reach the workers better.
  void stepDown(const char* why);
  // Whether the leadership has been given up, by resign() or stepDown().
  bool resigned() const { return resigned_; }

  // Whether the leadership and the job feed were confirmed recently enough to renew worker leases.
  bool mayRenewLeases() const;
  // Whether the leadership was confirmed so recently that no other controller can lead yet. Required for
  // whatever costs money or gives up machines: a leader behind a network partition would do it beside the
  // next one.
  bool holdsLeaderLease() const;
  // Whether the key-value store has confirmed the leadership since this process last stood still.
  bool confirmedSinceResume() const;
  // Since when heartbeats could arrive without interruption.
  Time listeningSince() const { return std::max(actingSince, context.resumedAt); }
  // Whether all live workers have had the time for a heartbeat to this leader.
  bool heardFromWorkers() const;
  // The time that so many missed heartbeats take, plus a margin in seconds.
  wire::Duration heartbeatTimeout(double missedHeartbeats, double marginS) const {
    return wire::seconds(context.settings.workers.heartbeatIntervalS * missedHeartbeats + marginS);
  }
  // Until then an earlier leader may have renewed the lease of a worker not heard from in this term.
  Time inheritedLeaseRenewal() const { return electedAt + context.settings.answerWindow(); }

  // The conditions of every durable change of a leader: it still holds all partitions.
  std::vector<state::Condition> partitionConditions() const;
  // Number of conditions that partitionConditions() returns.
  std::size_t partitionCount() const { return partitionRevisions_.size(); }
  // Reacts to a transaction whose preconditions failed; `what` names it in the log.
  void onTransactionRefused(const state::Outcome& outcome, const char* what);

  // Something has changed that the next placement round should take into account.
  void requestPlacementRound() { placementRoundRequested = true; }

  // All machines that are not known to be terminated.
  std::vector<Machine*> existingMachines();
  // Visits all attempts of the job's tasks, on whatever machine.
  void forEachAttempt(const std::string& ref, const std::function<void(Machine&, Attempt&)>& visit);

  Context& context;
  cluster::Leadership& leadership;
  state::Feed& jobFeed;
  jobs::JobTable& jobs;
  const std::uint64_t term;
  const Time electedAt;
  Time actingSince{};                // when the records had been loaded
  const std::size_t valueSizeLimit;  // bytes that one stored value may hold, in JSON form
  machines::MachineTable machines;
  machines::PlacementBatchTable batches;
  std::set<std::uint32_t> staleBatches;  // batches whose stored value names terminated machines
  bool placementRoundRequested = true;

 private:
  // The older of the confirmations of the leadership and of the job feed: the read that confirms must also
  // have brought in every cancellation.
  Time confirmedAt() const { return std::min(leadership.confirmedAt(), jobFeed.confirmedAt()); }

  std::vector<std::uint64_t> partitionRevisions_;
  bool resigned_ = false;
};

}  // namespace reachhoist::service
