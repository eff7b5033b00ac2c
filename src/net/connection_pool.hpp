// A pool of idle client connections. It limits the connections per endpoint, the total number of sockets and
// the time for which a connection stays idle.
#pragma once

#include <chrono>
#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace reachhoist::net {

// Stores idle connections by endpoint. Connection is movable, and its default constructor creates an empty
// value. The pool evicts the connection that has been idle longest first. It is not thread-safe and belongs
// to the reactor's thread.
template <class Connection>
class ConnectionPool {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // `maxSockets` limits the sum of sockets in use and pooled connections, and `maxPerEndpoint` the pooled
  // connections of one endpoint. A connection that has been idle for longer than `maxIdleTime` is closed.
  ConnectionPool(std::size_t maxSockets, std::size_t maxPerEndpoint, Time::duration maxIdleTime)
      : maxSockets_(maxSockets), maxPerEndpoint_(maxPerEndpoint), maxIdleTime_(maxIdleTime) {}

  // Removes and returns the most recently pooled connection to the endpoint, or an empty Connection if there
  // is none. It first closes the connections that have been idle for too long.
  Connection take(const std::string& endpoint, Time now) {
    while (!idle_.empty() && idle_.front().idleSince < now - maxIdleTime_) evict(idle_.begin());
    const auto found = byEndpoint_.find(endpoint);
    if (found == byEndpoint_.end()) return Connection{};
    const auto newest = found->second.back();
    Connection connection = std::move(newest->connection);
    evict(newest);
    return connection;
  }

  // Adds a connection to the pool. `socketsInUse` counts the caller's other open sockets.
  void put(const std::string& endpoint, Connection connection, std::size_t socketsInUse, Time now) {
    evictFor(socketsInUse + 1);
    auto& entries = byEndpoint_[endpoint];
    entries.push_back(idle_.insert(idle_.end(), Entry{endpoint, std::move(connection), now}));
    if (entries.size() > maxPerEndpoint_) evict(entries.front());
  }

  // Closes the connections that have been idle longest until the sockets in use and the pooled connections
  // together do not exceed `maxSockets`. Otherwise idle connections to the workers of a large fleet would
  // take all sockets.
  void evictFor(std::size_t socketsInUse) {
    while (!idle_.empty() && socketsInUse + idle_.size() > maxSockets_) evict(idle_.begin());
  }

  // Returns the number of pooled connections.
  std::size_t size() const { return idle_.size(); }

 private:
  struct Entry {
    std::string endpoint;
    Connection connection;
    Time idleSince;
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
  Time::duration maxIdleTime_;
  List idle_;  // ordered by `idleSince`, earliest first
  std::unordered_map<std::string, std::vector<typename List::iterator>> byEndpoint_;
};

}  // namespace reachhoist::net
