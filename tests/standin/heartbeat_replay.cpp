#include "standin/heartbeat_replay.hpp"

#include "standin/world.hpp"

namespace standin {

namespace {
constexpr double kRetryDelayS = 0.01;
}  // namespace

void HeartbeatReplay::onHeartbeatSent(const std::string& host, const std::string& body) {
  const auto found = delaysS_.find(host);
  if (found == delaysS_.end()) return;
  world_.sim.after(found->second, [this, body] { deliver(body); });
  delaysS_.erase(found);
}

// Retries at short intervals, so that the copy reaches a new leader before the workers find that leader.
void HeartbeatReplay::deliver(const std::string& body) {
  ControllerProcess* leader = world_.controllers.leadingProcess();
  if (leader == nullptr) return retry(body);
  world_.sendToController(*leader, "POST", kHeartbeatPath, body, [this, body](int status, const Json&) {
    if (status != 200) retry(body);
  });
}

void HeartbeatReplay::retry(const std::string& body) {
  world_.sim.after(kRetryDelayS, [this, body] { deliver(body); });
}

}  // namespace standin
