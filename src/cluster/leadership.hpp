// Leader election over the key-value store: the leader key is attached to a lease, and the term lives in a
// key without one, so that it never goes back. The new leader then takes ownership of every partition.
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

// Explicit state machine of one controller's leader election. Not thread-safe; driven by tick().
class Leadership {
 public:
  // observing: somebody else leads, or nobody is known to. waiting: vacant, after a random pause.
  // leasing, campaigning: trying to take it. taking: the lead is ours, and the parts are being taken in
  // further transactions, because they don't fit into the one that took it. leading: ours until the lease is
  // lost. refusing: the records are of another layout, so this program must not lead.
  enum class State { observing, waiting, leasing, campaigning, taking, leading, refusing };
  // Callbacks on changes of leadership; all are required.
  struct Handlers {
    std::function<void(std::uint64_t term, const std::vector<std::uint64_t>& partitionRevisions)> elected;
    std::function<void(const char* why)> deposed;
    std::function<void(std::uint64_t layout)>
        refused;  // the records are of a layout that this program can't read
  };

  // seed: of the random jitter before a campaign, so that controllers don't campaign at once.
  Leadership(state::Client& client, const config::Settings& settings, std::uint64_t seed, Handlers handlers);

  // Begins watching the leader keys; call once.
  void start(Time now);
  // Drives campaigns, partition acquisition and lease renewal; call on each tick of the event loop.
  void tick(Time now);
  // Gives up what this life holds in memory; the key is taken anew under a higher term.
  void resign(const char* why);
  // Leaves the lead to a sibling that may fare better, and does not try for it for a while.
  void stepDown(const char* why);

  // Whether this controller leads and owns every partition.
  bool leading() const { return state_ == State::leading; }
  // The highest term known of; this controller's own while it leads.
  std::uint64_t term() const { return term_; }
  // Number of partitions of the machines.
  unsigned parts() const { return partitionCount_; }
  // The leader by the last word of the state service; empty when vacant.
  const std::string& leader() const { return leader_; }
  // What the first record of a kind that earlier versions can't read must be written with: it raises the
  // layout, so that none of them leads from then on. Nothing when that is done or the term is not known.
  // Whether the stored layout is the one with gangs already.
  bool layoutRaised() const { return layout_ >= constants::kRecordLayoutWithGangs; }
  std::optional<std::pair<state::Condition, state::Write>> raiseLayout() const;
  // Ownership is proven up to this time.
  Time confirmedAt() const { return confirmedAt_; }

 private:
  void to(State next) { state_ = next; }
  void onEntry(const std::string& key, const Json* value, std::uint64_t revision);
  void onCaughtUp();
  void lease();
  void campaign();
  void acquirePartitions();
  void abandonTaking();
  void renew();
  void depose(const char* why);
  void pause();
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
  std::uint64_t term_ = 0;         // the last one known of
  std::uint64_t ownRevision_ = 0;  // of the leader key as this life wrote it
  unsigned partitionCount_ = 1;
  std::uint64_t layout_ = constants::kRecordLayout;
  std::vector<std::uint64_t> partitionRevisions_;  // of the parts taken so far
  Time retryAcquireAt_{};
  bool acquireInFlight_ = false;
  std::uint64_t leaseId_ = 0;
};

}  // namespace reachhoist::cluster
