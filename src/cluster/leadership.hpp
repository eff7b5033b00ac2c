// Leader election over the key-value store: the leader key is attached to a lease, while the term is in a key
// without one, so that it never decreases. The new leader then acquires every partition.
#pragma once

#include <functional>
#include <random>

#include "cluster/partitions.hpp"
#include "state/feed.hpp"

namespace reachhoist::cluster {

using wire::Json;
using wire::Time;

// Stored key of the current term, the partition count and the record layout.
inline constexpr const char* kTermKey = "leader-term";

// A write of a transaction and the precondition it depends on.
struct ConditionalWrite {
  state::Condition condition;
  state::Write write;
};

// State machine of one controller's leader election. Not thread-safe; driven by tick().
class Leadership {
 public:
  // observing: another controller leads, or the leader is not known yet. waiting: there is no leader, and
  // this controller pauses before its next attempt. leasing, campaigning: it requests a lease, and then the
  // leadership. taking: it is elected, and acquires the partitions that did not fit into the transaction of
  // the election. leading: it leads until the lease is lost. refusing: the stored records have a layout that
  // this version can't read, so it must not lead.
  enum class State { observing, waiting, leasing, campaigning, taking, leading, refusing };
  // Callbacks on changes of leadership; all are required.
  struct Handlers {
    // This controller leads, and has acquired each partition at the revision in its place.
    std::function<void(std::uint64_t term, const std::vector<std::uint64_t>& partitionRevisions)> elected;
    // It leads no more.
    std::function<void(const char* why)> deposed;
    // The stored records have a layout that this version can't read.
    std::function<void(std::uint64_t layout)> refused;
  };

  // seed: of the random jitter before a campaign, so that controllers don't campaign at once.
  Leadership(state::Client& client, const config::Settings& settings, std::uint64_t seed, Handlers handlers);

  // Begins watching the leader keys; call once.
  void start(Time now);
  // Drives campaigns, partition acquisition and lease renewal; call on each tick of the event loop.
  void tick(Time now);
  // Ends the leadership without releasing the lease; the next attempt uses a higher term.
  void resign(const char* why);
  // Releases the leadership to a sibling that may be better placed, and starts no attempt for a while.
  void stepDown(const char* why);

  // Whether this controller leads and has acquired every partition.
  bool isLeading() const { return state_ == State::leading; }
  // The highest term known of; this controller's own while it leads.
  std::uint64_t term() const { return term_; }
  // Label of the leader as the store last told it; empty if there is none.
  const std::string& leader() const { return leader_; }
  // Whether the stored layout is already the one with gangs.
  bool layoutRaised() const { return layout_ >= constants::kRecordLayoutWithGangs; }
  // The write that raises the stored layout, so that no version that can't read it leads from then on. The
  // first record of the new layout must be written in the same transaction. Nothing if the layout is raised
  // already or the term is not known.
  std::optional<ConditionalWrite> raiseLayout() const;
  // Up to this time the leader lease is known to have been held.
  Time confirmedAt() const { return confirmedAt_; }

 private:
  void to(State next) { state_ = next; }
  void onEntry(const std::string& key, const Json* value, std::uint64_t revision);
  void onCaughtUp();
  bool anotherLeads() const;
  state::Write writeTerm(std::uint64_t term, std::uint64_t layout) const;
  state::Write writePartition(PartitionId partition, std::uint64_t term) const;
  void requestLease();
  void campaign();
  // included: how many partitions the election's transaction has acquired.
  void onCampaignAnswer(const wire::CallResult& result, std::uint64_t term, Time sent, PartitionId included);
  void acquirePartitions();
  // end: one past the last partition that the transaction acquires.
  void onAcquireAnswer(const wire::CallResult& result, PartitionId end);
  void abandonTaking();
  void renew();
  void onRenewed(const wire::CallResult& result, Time sent);
  // Ends the leadership after the lease was lost.
  void depose(const char* why);
  // Waits for a random time before the next attempt.
  void pause();
  void retryElection();
  void checkLayout(std::uint64_t layout);

  state::Client& client_;
  const config::Settings& settings_;
  Handlers handlers_;
  state::Feed feed_;
  std::mt19937_64 jitter_;
  State state_ = State::observing;
  Time now_{};
  Time nextAttemptAt_{};
  Time nextRenewAt_{};
  Time confirmedAt_{};
  bool renewInFlight_ = false;
  std::string leader_;
  std::uint64_t leaderRevision_ = 0;
  std::uint64_t termRevision_ = 0;
  std::uint64_t term_ = 0;         // the highest known
  std::uint64_t ownRevision_ = 0;  // of the leader key as this controller wrote it last
  unsigned partitionCount_ = 1;
  std::uint64_t layout_ = constants::kRecordLayout;
  std::vector<std::uint64_t> partitionRevisions_;  // of the partitions acquired so far
  Time retryAcquireAt_{};
  bool acquireInFlight_ = false;
  std::uint64_t leaseId_ = 0;
};

}  // namespace reachhoist::cluster
