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

struct HttpAnswer {
  int status = 503;
  std::string body;
  std::optional<int> retryAfterS;
};

class HttpServer {
 public:
  // The handler answers later through `answer` with the same number.
  using Handler = std::function<void(std::uint64_t number, HttpMessage request)>;

  HttpServer(Reactor& reactor, std::size_t maxConnections, Handler handler);
  bool listen(const Address& address, std::string& error);
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
