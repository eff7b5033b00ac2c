// Leader election over the key-value store. The leader key is attached to a lease. The term is in a key
// without a lease, so that it never decreases. A new leader then acquires every partition.
#pragma once

#include <functional>
#include <random>

#include "cluster/election_events.hpp"
#include "cluster/election_records.hpp"
#include "cluster/partitions.hpp"
#include "state/feed.hpp"

namespace reachhoist::cluster {

using wire::Json;
using wire::Time;

// The stored key of the current term, the partition count and the record layout.
inline constexpr const char* kTermKey = "leader-term";

// A write of a transaction and the precondition on which it depends.
struct ConditionalWrite {
  state::Condition condition;
  state::Write write;
};

// The state machine of one controller's leader election. tick() drives it. It is not thread-safe.
class Leadership {
 public:
  // observing: another controller leads, or the leader is not known yet. waiting: there is no leader, and
  // this controller waits for the time of its next attempt. leasing: it requests a lease. campaigning: it
  // requests the leadership. acquiring: it is elected, and acquires the partitions that did not fit into the
  // transaction of the election. leading: it leads until the lease is lost. refusing: the stored records have
  // a layout that this version cannot read, so it must not lead.
  enum class State { observing, waiting, leasing, campaigning, acquiring, leading, refusing };
  // Callbacks on changes of leadership. All are required, but for `observed`.
  struct Handlers {
    // This controller leads and has acquired all partitions; the revisions are ordered by partition id.
    std::function<void(std::uint64_t term, const std::vector<std::uint64_t>& partitionRevisions)> elected;
    // This controller no longer leads.
    std::function<void(const char* reason)> deposed;
    // The stored records have a layout that this version cannot read.
    std::function<void(std::uint64_t layout)> layoutUnsupported;
    // Called with each event of an election, for the log.
    std::function<void(const ElectionEvent& event)> observed = {};
  };

  // `seed` seeds the random jitter before a campaign, which keeps controllers from campaigning at the same
  // time.
  Leadership(state::Client& client, const config::Settings& settings, std::uint64_t seed, Handlers handlers);

  // Begins to watch the leader keys. It must be called once.
  void start(Time now);
  // Drives campaigns, partition acquisition and lease renewal. It must be called on each tick of the event
  // loop.
  void tick(Time now);
  // Ends the leadership without releasing the lease. The next attempt uses a higher term.
  void resign(const char* reason);
  // Releases the lease, so that a sibling with better connectivity can lead, and starts no attempt for
  // constants::kStepDownCooldown.
  void stepDown(const char* reason);

  // Returns whether this controller leads and has acquired every partition.
  bool isLeading() const { return state_ == State::leading; }
  // Returns this controller's own term while it leads, and otherwise the highest known term.
  std::uint64_t term() const { return isElected() ? ownTerm_ : records_.highestTerm(); }
  // Returns the label of the leader in the last received record; empty if there is none.
  const std::string& leader() const { return records_.leader(); }
  // Returns whether the stored layout is already the one with gangs.
  bool layoutRaised() const { return layout_ >= constants::kRecordLayoutWithGangs; }
  // Returns the write that raises the stored layout, after which no version that cannot read the layout
  // leads. The first record of the new layout must be written in the same transaction. Returns nothing if the
  // layout has already been raised or the term is not known.
  std::optional<ConditionalWrite> layoutRaisingWrite() const;
  // Returns the latest time at which this controller is known to have held the leader lease.
  Time confirmedAt() const { return confirmedAt_; }

 private:
  void transitionTo(State next) { state_ = next; }
  // Returns whether this controller has won an election and has not been deposed since.
  bool isElected() const { return state_ == State::leading || state_ == State::acquiring; }
  void report(const ElectionEvent& event) const;
  void onEntry(const std::string& key, const Json* value, std::uint64_t revision);
  void onLeaderRecord(const Json* value, std::uint64_t revision);
  void onTermRecord(const Json& value, std::uint64_t revision);
  void onCaughtUp();
  bool hasOtherLeader() const;
  // Returns whether the leader record shows that another controller leads since this one's election.
  bool isDeposedByRecord() const;
  state::Write termWrite(std::uint64_t term, std::uint64_t layout) const;
  state::Write partitionWrite(PartitionId partition, std::uint64_t term) const;
  void requestLease();
  void campaign();
  // `includedPartitions` is the number of partitions that the election's transaction has acquired.
  void onCampaignAnswer(const wire::CallResult& result, std::uint64_t term, Time sentAt,
                        PartitionId includedPartitions);
  void acquirePartitions();
  // `end` is one past the last partition that the transaction acquires.
  void onAcquireAnswer(const wire::CallResult& result, PartitionId end);
  void abandonAcquisition();
  void renew();
  void onRenewed(const wire::CallResult& result, Time sentAt);
  // Ends the leadership after the lease was lost.
  void depose(const char* reason);
  // Schedules the next attempt after a random delay.
  void scheduleAttempt();
  // Schedules the next attempt after constants::kElectionRetryInterval.
  void scheduleRetry();
  void checkLayout(std::uint64_t layout);

  state::Client& client_;
  const config::Settings& settings_;
  Handlers handlers_;
  state::Feed feed_;
  std::mt19937_64 jitterRandom_;
  State state_ = State::observing;
  Time now_{};
  Time nextAttemptAt_{};
  Time nextRenewAt_{};
  Time confirmedAt_{};
  bool renewInFlight_ = false;
  ElectionRecords records_;
  std::uint64_t ownTerm_ = 0;            // the term of this controller's last election
  std::uint64_t ownLeaderRevision_ = 0;  // mod revision of this controller's last write of the leader key
  unsigned partitionCount_ = 1;
  std::uint64_t layout_ = constants::kRecordLayout;
  std::vector<std::uint64_t> partitionRevisions_;  // mod revisions of the partitions acquired so far
  Time retryAcquireAt_{};
  bool acquireInFlight_ = false;
  std::uint64_t leaseId_ = 0;
};

}  // namespace reachhoist::cluster
