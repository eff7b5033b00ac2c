// Failure detection among controllers. The monitor tracks which siblings have sent a heartbeat recently,
// which of them reach the key-value store, and which one leads.
#pragma once

#include <map>
#include <string>

#include "cluster/leadership.hpp"
#include "service/context.hpp"

namespace reachhoist::service {

// Keeps the latest heartbeat of each sibling. None of this is a lease or a lock: leadership is decided in the
// key-value store alone.
class SiblingMonitor {
 public:
  SiblingMonitor(Context& context, const cluster::Leadership& leadership);

  // Records a sibling's heartbeat. Returns whether the sibling leads under a later term than any term that a
  // sibling has announced before.
  bool onHeartbeat(const std::string& from, const peer::Heartbeat& heartbeat);
  // Shifts the times of all heartbeats by the length of a suspension of this process. It could receive no
  // heartbeat meanwhile, so their absence is no evidence of failed siblings.
  void onResumed(wire::Duration suspendedFor);
  // Returns whether the sibling's last heartbeat is recent, so that its link counts as up.
  bool isReachable(const std::string& label) const;
  // Returns whether this controller, which last reached the key-value store at `storeConfirmedAt`, is
  // isolated from the store while some sibling reaches it or no sibling is reachable. Another controller can
  // then serve users better.
  bool isIsolated(Time storeConfirmedAt) const;
  // Returns the label of the leader with the highest term, from the key-value store or from siblings; empty
  // if no leader is known.
  const std::string& leader() const;

 private:
  struct LastHeartbeat {
    Time receivedAt{};
    bool storeConfirmed = false;  // whether the sibling reached the key-value store
  };

  Context& context_;
  const cluster::Leadership& leadership_;
  std::map<std::string, LastHeartbeat> lastHeartbeats_;  // by the sibling's label
  std::uint64_t announcedTerm_ = 0;  // highest term under which a sibling has announced that it leads
  std::string announcedLeader_;      // label of that sibling
};

}  // namespace reachhoist::service
