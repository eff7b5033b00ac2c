// An HTTP client with a small pool of kept connections for each address.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include "net/http_parser.hpp"
#include "net/reactor.hpp"

namespace reachhoist::net {

struct ClientResult {
  int status = 0;     // 0: no answer
  bool sent = false;  // false: certainly nothing of the request reached the other side
  std::optional<int> retryAfterS;
  std::string body;
};

class HttpClient {
 public:
  explicit HttpClient(Reactor& reactor) : reactor_(reactor) {}
  Task<ClientResult> call(std::string endpoint, std::string method, std::string target, std::string body,
                          std::chrono::milliseconds timeout);

 private:
  struct Kept {
    std::unique_ptr<Socket> socket;
    Time since;
  };
  std::unique_ptr<Socket> takeKept(const std::string& endpoint);
  void keep(const std::string& endpoint, std::unique_ptr<Socket> socket);

  Reactor& reactor_;
  std::unordered_map<std::string, std::deque<Kept>> kept_;
};

}  // namespace reachhoist::net
