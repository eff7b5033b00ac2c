// An HTTP server: one coroutine per connection, which hands whole requests to a handler and awaits its
// answer.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "net/http_parser.hpp"
#include "net/reactor.hpp"

namespace reachhoist::net {

// The response to one request: status, body and an optional Retry-After in seconds.
struct HttpAnswer {
  int status = 503;
  std::string body;
  std::optional<int> retryAfterS;
};

// HTTP/1.1 server with keep-alive and a bound on open connections: when full, the connection idle longest
// is closed to make room. Not thread-safe; runs on the reactor.
class HttpServer {
 public:
  // The handler answers later through `answer` with the same number.
  using Handler = std::function<void(std::uint64_t number, HttpMessage request)>;

  HttpServer(Reactor& reactor, std::size_t maxConnections, Handler handler);
  // Listens on the address; false with error set if the socket can't be opened. Call once.
  bool listen(const Address& address, std::string& error);
  // Sends the response to the request of this number; ignored if no such request is pending.
  void answer(std::uint64_t number, HttpAnswer answer);

 private:
  struct Pending {
    std::coroutine_handle<> handle;
    std::optional<HttpAnswer> answer;
  };
  struct Connection {
    std::unique_ptr<Socket> socket;
    bool idle = true;
  };

  Task<void> acceptLoop();
  Task<void> serve(std::list<Connection>::iterator connection);
  Task<void> converse(std::list<Connection>::iterator at);
  bool closeIdlest();

  Reactor& reactor_;
  std::size_t maxConnections_;
  Handler handler_;
  std::unique_ptr<Socket> listener_;
  std::list<Connection> connections_;  // least recently used first
  std::unordered_map<std::uint64_t, Pending> pending_;
  std::uint64_t nextNumber_ = 1;
};

}  // namespace reachhoist::net
