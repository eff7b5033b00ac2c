// An HTTP client that keeps connections for their next use: a few for each address, and no more in all than
// its share of the sockets.
#pragma once

#include <memory>
#include <string>

#include "net/connection_pool.hpp"
#include "net/http_parser.hpp"
#include "net/reactor.hpp"

namespace reachhoist::net {

struct ClientResult {
  int status = 0;         // 0: no answer
  bool sent = false;      // false: certainly nothing of the request reached the other side
  bool tooLarge = false;  // the answer was longer than is taken
  std::optional<int> retryAfterS;
  std::string body;
};

class HttpClient {
 public:
  HttpClient(Reactor& reactor, std::size_t socketsMost);
  Task<ClientResult> call(std::string endpoint, std::string method, std::string target, std::string body,
                          std::chrono::milliseconds timeout);

 private:
  std::unique_ptr<Socket> takePooled(const std::string& endpoint);

  Reactor& reactor_;
  std::size_t inUse_ = 0;
  ConnectionPool<std::unique_ptr<Socket>> pool_;
};

}  // namespace reachhoist::net
