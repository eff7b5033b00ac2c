// Delivers delayed copies of single heartbeats.
#pragma once

#include <map>
#include <string>

namespace standin {

class World;

class HeartbeatReplay {
 public:
  explicit HeartbeatReplay(World& world) : world_(world) {}
  // The next heartbeat of the host arrives a second time, delayS later, at the controller that leads then.
  void replayNext(const std::string& host, double delayS) { delaysS_[host] = delayS; }
  void onHeartbeatSent(const std::string& host, const std::string& body);

 private:
  void deliver(const std::string& body);
  void retry(const std::string& body);

  World& world_;
  std::map<std::string, double> delaysS_;  // by host
};

}  // namespace standin
