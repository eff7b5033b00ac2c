// An HTTP server with one coroutine per connection, which passes each request to a handler and awaits its
// response.
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
struct HttpResponse {
  int status = 503;
  std::string body;
  std::optional<int> retryAfterS;
};

// HTTP/1.1 server with keep-alive and a bound on open connections: when full, the connection idle longest
// is closed in favour of the new one. Not thread-safe; runs on the reactor.
class HttpServer {
 public:
  // Takes a request. The response follows through respond() under the same number, now or later.
  using Handler = std::function<void(std::uint64_t number, HttpMessage request)>;

  // maxConnections: bound on open connections.
  HttpServer(Reactor& reactor, std::size_t maxConnections, Handler handler);
  // Listens on the address; false with error set if the socket can't be opened. Call once.
  bool listen(const Address& address, std::string& error);
  // Sends the response to the request of this number; ignored if no such request is pending.
  void respond(std::uint64_t number, HttpResponse response);

 private:
  // A request that was passed to the handler.
  struct PendingRequest {
    std::coroutine_handle<> waiter;  // the coroutine that awaits the response
    std::optional<HttpResponse> response;
  };
  struct ResponseAwaiter;
  struct Connection {
    std::unique_ptr<Socket> socket;
    bool idle = true;  // no part of a request has arrived
  };
  using ConnectionEntry = std::list<Connection>::iterator;

  Task<void> acceptLoop();
  // Serves the connection until it ends, and removes it.
  Task<void> serve(ConnectionEntry entry);
  Task<void> serveRequests(ConnectionEntry entry);
  // Reads until the parser has a request or has failed; false if the connection ended or timed out. deadline:
  // of the first byte; once a request has begun, the whole of it has constants::kRequestReadTimeout.
  Task<bool> readRequest(Connection& connection, HttpParser& parser, Time deadline);
  // Passes the request to the handler and awaits its response.
  Task<HttpResponse> handle(HttpMessage request);
  // Writes the whole text; false if that fails or takes longer than constants::kRequestReadTimeout.
  Task<bool> write(Connection& connection, std::string text);
  // Closes the connection that has been idle longest; false if all are busy.
  bool closeIdlest();

  Reactor& reactor_;
  std::size_t maxConnections_;
  Handler handler_;
  std::unique_ptr<Socket> listener_;
  std::list<Connection> connections_;  // least recently used first
  std::unordered_map<std::uint64_t, PendingRequest> pending_;
  std::uint64_t nextNumber_ = 1;
};

}  // namespace reachhoist::net
