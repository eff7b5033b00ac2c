#include "service/sibling_monitor.hpp"

namespace reachhoist::service {

SiblingMonitor::SiblingMonitor(Context& context, const cluster::Leadership& leadership)
    : context_(context), leadership_(leadership) {}

bool SiblingMonitor::onHeartbeat(const std::string& from, const peer::Heartbeat& heartbeat) {
  lastHeartbeats_[from] = LastHeartbeat{context_.now, heartbeat.storeConfirmed};
  context_.lastSiblingHeartbeatAt = context_.now;
  if (heartbeat.storeConfirmed) context_.lastConfirmedSiblingHeartbeatAt = context_.now;
  if (!heartbeat.leading || heartbeat.term <= announcedTerm_) return false;
  announcedTerm_ = heartbeat.term;
  announcedLeader_ = from;
  return true;
}

void SiblingMonitor::onResumed(wire::Duration suspendedFor) {
  for (auto& [label, last] : lastHeartbeats_) last.receivedAt += suspendedFor;
  context_.lastSiblingHeartbeatAt += suspendedFor;
  context_.lastConfirmedSiblingHeartbeatAt += suspendedFor;
}

bool SiblingMonitor::isReachable(const std::string& label) const {
  const auto last = lastHeartbeats_.find(label);
  return last != lastHeartbeats_.end() &&
         context_.now - last->second.receivedAt < constants::kPeerHeartbeatTimeout;
}

bool SiblingMonitor::isIsolated(Time storeConfirmedAt) const {
  if (context_.settings.siblings.empty() ||
      context_.now - storeConfirmedAt < constants::kStateIsolationTimeout)
    return false;
  bool noneReachable = true;
  for (const auto& [label, last] : lastHeartbeats_) {
    if (context_.now - last.receivedAt > constants::kPeerHeartbeatTimeout) continue;
    if (last.storeConfirmed) return true;
    noneReachable = false;
  }
  return noneReachable;
}

const std::string& SiblingMonitor::leader() const {
  return announcedTerm_ > leadership_.term() ? announcedLeader_ : leadership_.leader();
}

}  // namespace reachhoist::service
