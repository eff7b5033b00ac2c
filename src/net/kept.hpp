// Connections kept for their next use: a few for each address, and no more in all than a share of the
// sockets.
#pragma once

#include <chrono>
#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace reachhoist::net {

template <class Connection>
class KeptConnections {
 public:
  using Time = std::chrono::steady_clock::time_point;

  KeptConnections(std::size_t socketsMost, std::size_t perEndpoint, Time::duration idleMost)
      : socketsMost_(socketsMost), perEndpoint_(perEndpoint), idleMost_(idleMost) {}

  // The connection used last, or an empty one.
  Connection take(const std::string& endpoint, Time now) {
    while (!kept_.empty() && kept_.front().since < now - idleMost_) drop(kept_.begin());
    const auto found = byEndpoint_.find(endpoint);
    if (found == byEndpoint_.end()) return Connection{};
    const auto newest = found->second.back();
    Connection connection = std::move(newest->connection);
    drop(newest);
    return connection;
  }

  void keep(const std::string& endpoint, Connection connection, std::size_t inUse, Time now) {
    makeRoom(inUse + 1);
    auto& ours = byEndpoint_[endpoint];
    ours.push_back(kept_.insert(kept_.end(), Kept{endpoint, std::move(connection), now}));
    if (ours.size() > perEndpoint_) drop(ours.front());
  }

  // A fleet of workers would otherwise fill all sockets with idle connections, one to each.
  void makeRoom(std::size_t inUse) {
    while (!kept_.empty() && inUse + kept_.size() > socketsMost_) drop(kept_.begin());
  }

  std::size_t size() const { return kept_.size(); }

 private:
  struct Kept {
    std::string endpoint;
    Connection connection;
    Time since;
  };
  using List = std::list<Kept>;

  void drop(typename List::iterator kept) {
    const auto found = byEndpoint_.find(kept->endpoint);
    std::erase(found->second, kept);
    if (found->second.empty()) byEndpoint_.erase(found);
    kept_.erase(kept);
  }

  std::size_t socketsMost_;
  std::size_t perEndpoint_;
  Time::duration idleMost_;
  List kept_;  // longest idle first
  std::unordered_map<std::string, std::vector<typename List::iterator>> byEndpoint_;
};

}  // namespace reachhoist::net
