// An HTTP server with one coroutine per connection. The coroutine passes each request to a handler and awaits
// the response.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "net/http_parser.hpp"
#include "net/reactor.hpp"

namespace reachhoist::net {

// The response to one request.
struct HttpResponse {
  int status = 503;
  std::string body;
  std::optional<int> retryAfterS;
};

// Serves HTTP/1.1 with keep-alive on the reactor and limits the open connections. At the limit it closes the
// connection that has been idle longest in favour of a new one. It is not thread-safe.
class HttpServer {
 public:
  // The handler receives each request with its number. It responds with respond() and the same number, either
  // immediately or later.
  using Handler = std::function<void(std::uint64_t number, HttpMessage request)>;

  HttpServer(Reactor& reactor, std::size_t maxConnections, Handler handler);
  // Starts to listen on the address. If the socket cannot be opened, sets `error` and returns false. It may
  // be called only once.
  bool listen(const Address& address, std::string& error);
  // Sends the response to the request with this number. It has no effect if no such request is pending.
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
    bool idle = true;  // No byte of a request has been received.
  };
  using ConnectionEntry = std::list<Connection>::iterator;

  Task<void> acceptLoop();
  // Serves the connection until it ends, then removes it.
  Task<void> serve(ConnectionEntry entry);
  Task<void> serveRequests(ConnectionEntry entry);
  // Reads until the parser has a complete request or fails. Returns false if the connection ended or timed
  // out. The deadline applies to the first byte of a request. The complete request must then arrive within
  // constants::kRequestReadTimeout.
  Task<bool> readRequest(Connection& connection, HttpParser& parser, Time deadline);
  // Passes the request to the handler and awaits its response.
  Task<HttpResponse> handle(HttpMessage request);
  // Writes all bytes. Returns false if that fails or takes longer than constants::kRequestReadTimeout.
  Task<bool> write(Connection& connection, std::string bytes);
  // Closes the connection that has been idle longest. Returns false if no connection is idle.
  bool closeLongestIdle();

  Reactor& reactor_;
  std::size_t maxConnections_;
  Handler handler_;
  std::unique_ptr<Socket> listener_;
  std::list<Connection> connections_;  // ordered by last use, earliest first
  std::unordered_map<std::uint64_t, PendingRequest> pending_;
  std::uint64_t nextNumber_ = 1;
};

}  // namespace reachhoist::net
