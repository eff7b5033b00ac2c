// An HTTP client that keeps connections for their next use: a few for each address, and no more in all than
// its share of the sockets.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

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
  HttpClient(Reactor& reactor, std::size_t socketsMost) : reactor_(reactor), socketsMost_(socketsMost) {}
  Task<ClientResult> call(std::string endpoint, std::string method, std::string target, std::string body,
                          std::chrono::milliseconds timeout);

 private:
  struct Kept {
    std::string endpoint;
    std::unique_ptr<Socket> socket;
    Time since;
  };
  using KeptList = std::list<Kept>;
  std::unique_ptr<Socket> takeKept(const std::string& endpoint);
  void keep(const std::string& endpoint, std::unique_ptr<Socket> socket);
  void drop(KeptList::iterator kept);
  void dropOld();
  // A fleet of workers would otherwise fill all sockets with idle connections, one to each.
  void makeRoom();

  Reactor& reactor_;
  std::size_t socketsMost_;
  std::size_t inUse_ = 0;
  KeptList kept_;  // longest idle first
  std::unordered_map<std::string, std::vector<KeptList::iterator>> byEndpoint_;
};

}  // namespace reachhoist::net
