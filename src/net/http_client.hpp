// An HTTP client that reuses its connections and limits the number of its open sockets.
#pragma once

#include <memory>
#include <string>

#include "net/connection_pool.hpp"
#include "net/http_parser.hpp"
#include "net/reactor.hpp"

namespace reachhoist::net {

// The result of a request.
struct HttpResult {
  int status = 0;                 // HTTP status; 0 means that no response was received
  bool sent = false;              // false only if no byte of the request can have reached the server
  bool responseTooLarge = false;  // The response exceeded constants::kMaxResponseBytes.
  std::optional<int> retryAfterS;
  std::string body;
};

// Sends HTTP/1.1 requests on the reactor. It is not thread-safe.
class HttpClient {
 public:
  // If the open sockets exceed `maxSockets`, pooled connections are closed.
  HttpClient(Reactor& reactor, std::size_t maxSockets);
  // Sends one request and awaits its response. The endpoint has the form "ip:port", and the timeout covers
  // the connection attempt, the request and the response.
  Task<HttpResult> call(std::string endpoint, std::string method, std::string target, std::string body,
                        std::chrono::milliseconds timeout);

 private:
  // Returns a pooled connection that can be reused, or null.
  std::unique_ptr<Socket> takePooled(const std::string& endpoint);

  Reactor& reactor_;
  std::size_t requestsInFlight_ = 0;  // Each request in flight uses one socket.
  ConnectionPool<std::unique_ptr<Socket>> pool_;
};

}  // namespace reachhoist::net
