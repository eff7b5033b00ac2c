// Failure detection among controllers: which siblings were heard lately, which of them reach the key-value
// store, and which one leads.
#pragma once

#include <map>
#include <string>

#include "cluster/leadership.hpp"
#include "service/context.hpp"

namespace reachhoist::service {

// Keeps the latest heartbeat of each sibling. Nothing here is a lease or a lock: authority comes from the
// key-value store alone.
class SiblingMonitor {
 public:
  SiblingMonitor(Context& context, const cluster::Leadership& leadership);

  // Takes a sibling's heartbeat; true if it announces a leader of a later term than any announced before.
  bool onHeartbeat(const std::string& from, const peer::Heartbeat& heartbeat);
  // The process was suspended for so long. Nothing was heard meanwhile, which says nothing about siblings.
  void onResumed(wire::Duration suspendedFor);
  // Whether the link to the sibling is up: its last heartbeat is not older than heartbeats may be.
  bool reachable(const std::string& label) const;
  // Whether this controller is cut off from the key-value store, which it last reached at `storeConfirmedAt`,
  // and either some sibling reaches it or no sibling is reachable. Users are better served elsewhere then.
  bool isIsolated(Time storeConfirmedAt) const;
  // Label of the leader by the latest of what the key-value store and siblings say; empty: not known.
  const std::string& leader() const;

 private:
  struct LastHeartbeat {
    Time at{};
    bool confirmed = false;  // the sibling reached the key-value store
  };

  Context& context_;
  const cluster::Leadership& leadership_;
  std::map<std::string, LastHeartbeat> lastHeartbeats_;  // by the sibling's label
  std::uint64_t announcedTerm_ = 0;                      // highest term that a sibling said it leads under
  std::string announcedLeader_;                          // label of that sibling
};

}  // namespace reachhoist::service
