// An HTTP client that pools its connections: a few for each endpoint, and no more in total than its share of
// the sockets.
#pragma once

#include <memory>
#include <string>

#include "net/connection_pool.hpp"
#include "net/http_parser.hpp"
#include "net/reactor.hpp"

namespace reachhoist::net {

// The outcome of a request.
struct HttpResult {
  int status = 0;         // HTTP status; 0: no response
  bool sent = false;      // false: certainly nothing of the request reached the other side
  bool tooLarge = false;  // the response exceeded constants::kMaxResponseBytes
  std::optional<int> retryAfterS;
  std::string body;
};

// Not thread-safe; runs on the reactor.
class HttpClient {
 public:
  // maxSockets: bound on open sockets, above which pooled ones are closed.
  HttpClient(Reactor& reactor, std::size_t maxSockets);
  // Sends one request and awaits its response. endpoint: "ip:port". timeout: of the whole exchange.
  Task<HttpResult> call(std::string endpoint, std::string method, std::string target, std::string body,
                        std::chrono::milliseconds timeout);

 private:
  // A pooled connection that is still open, or null.
  std::unique_ptr<Socket> takePooled(const std::string& endpoint);

  Reactor& reactor_;
  std::size_t inUse_ = 0;  // requests under way, each with one socket
  ConnectionPool<std::unique_ptr<Socket>> pool_;
};

}  // namespace reachhoist::net
