// A pool of idle client connections kept for reuse: a few per endpoint, and no more in all than a share of
// the process's sockets. Connections idle for longer than a limit are closed first.
#pragma once

#include <chrono>
#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace reachhoist::net {

// Holds idle connections of type Connection (movable, default-constructible to an empty value) by endpoint.
// The least recently used connection is evicted first. Not thread-safe; used from the reactor's thread.
template <class Connection>
class ConnectionPool {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // maxSockets: sockets in use plus pooled ones may not exceed it. maxPerEndpoint: pooled connections per
  // endpoint. maxIdle: a connection pooled for longer is closed.
  ConnectionPool(std::size_t maxSockets, std::size_t maxPerEndpoint, Time::duration maxIdle)
      : maxSockets_(maxSockets), maxPerEndpoint_(maxPerEndpoint), maxIdle_(maxIdle) {}

  // Removes and returns the most recently pooled connection to the endpoint, or an empty Connection if there
  // is none. Expired connections are closed first.
  Connection take(const std::string& endpoint, Time now) {
    while (!idle_.empty() && idle_.front().since < now - maxIdle_) evict(idle_.begin());
    const auto found = byEndpoint_.find(endpoint);
    if (found == byEndpoint_.end()) return Connection{};
    const auto newest = found->second.back();
    Connection connection = std::move(newest->connection);
    evict(newest);
    return connection;
  }

  // Pools a connection to the endpoint. inUse: sockets the caller has open besides this one.
  void put(const std::string& endpoint, Connection connection, std::size_t inUse, Time now) {
    evictFor(inUse + 1);
    auto& entries = byEndpoint_[endpoint];
    entries.push_back(idle_.insert(idle_.end(), Entry{endpoint, std::move(connection), now}));
    if (entries.size() > maxPerEndpoint_) evict(entries.front());
  }

  // Closes the longest idle connections until inUse plus the pooled ones fit into maxSockets. A fleet of
  // workers would otherwise fill all sockets with idle connections, one to each.
  void evictFor(std::size_t inUse) {
    while (!idle_.empty() && inUse + idle_.size() > maxSockets_) evict(idle_.begin());
  }

  // Number of pooled connections.
  std::size_t size() const { return idle_.size(); }

 private:
  struct Entry {
    std::string endpoint;
    Connection connection;
    Time since;
  };
  using List = std::list<Entry>;

  void evict(typename List::iterator entry) {
    const auto found = byEndpoint_.find(entry->endpoint);
    std::erase(found->second, entry);
    if (found->second.empty()) byEndpoint_.erase(found);
    idle_.erase(entry);
  }

  std::size_t maxSockets_;
  std::size_t maxPerEndpoint_;
  Time::duration maxIdle_;
  List idle_;  // longest idle first
  std::unordered_map<std::string, std::vector<typename List::iterator>> byEndpoint_;
};

}  // namespace reachhoist::net
