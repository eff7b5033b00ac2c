#include "net/http_client.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "config/constants.hpp"

namespace reachhoist::net {

namespace {
constexpr std::size_t kReadChunk = 16 * 1024;  // bytes
constexpr int kTooLarge = 413;                 // the parser's word for a body over the limit

// A kept connection on which the other side has sent an end (or anything at all) is of no more use.
bool stillOpen(int fd) {
  char byte = 0;
  const ssize_t got = ::recv(fd, &byte, 1, MSG_PEEK);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}
}  // namespace

void HttpClient::drop(KeptList::iterator kept) {
  const auto found = byEndpoint_.find(kept->endpoint);
  std::erase(found->second, kept);
  if (found->second.empty()) byEndpoint_.erase(found);
  kept_.erase(kept);
}

void HttpClient::dropOld() {
  const Time oldest = reactor_.now() - constants::kPoolIdle;
  while (!kept_.empty() && kept_.front().since < oldest) drop(kept_.begin());
}

void HttpClient::makeRoom() {
  while (!kept_.empty() && inUse_ + kept_.size() >= socketsMost_) drop(kept_.begin());
}

std::unique_ptr<Socket> HttpClient::takeKept(const std::string& endpoint) {
  dropOld();
  std::unique_ptr<Socket> socket;
  while (!socket) {
    const auto found = byEndpoint_.find(endpoint);
    if (found == byEndpoint_.end()) break;
    const auto newest = found->second.back();
    socket = std::move(newest->socket);
    drop(newest);
    if (!stillOpen(socket->fd())) socket.reset();
  }
  return socket;
}

void HttpClient::keep(const std::string& endpoint, std::unique_ptr<Socket> socket) {
  makeRoom();
  auto& ours = byEndpoint_[endpoint];
  ours.push_back(kept_.insert(kept_.end(), Kept{endpoint, std::move(socket), reactor_.now()}));
  if (ours.size() > constants::kPoolPerEndpoint) drop(ours.front());
}

Task<ClientResult> HttpClient::call(std::string endpoint, std::string method, std::string target,
                                    std::string body, std::chrono::milliseconds timeout) {
  ClientResult result;
  const Time deadline = reactor_.now() + timeout;
  Address address;
  if (!Address::parse(endpoint, address)) co_return result;
  struct Use {
    std::size_t& count;
    explicit Use(std::size_t& of) : count(of) { ++count; }
    Use(const Use&) = delete;
    ~Use() { --count; }
  };
  std::unique_ptr<Socket> socket = takeKept(endpoint);
  const Use use(inUse_);
  if (!socket) {
    makeRoom();
    const Time connectBy = std::min(deadline, reactor_.now() + constants::kConnectTimeout);
    socket = co_await connectTo(reactor_, address, connectBy);
  }
  if (!socket) co_return result;
  result.sent = true;
  const std::string text = formatRequest(method, target, endpoint, body);
  if (!co_await socket->writeAll(text.data(), text.size(), deadline)) co_return result;
  HttpParser parser(HttpParser::Kind::answer, constants::kMaxAnswerBytes);
  std::array<char, kReadChunk> chunk;
  while (parser.state() == HttpParser::State::head || parser.state() == HttpParser::State::body) {
    const std::size_t got = co_await socket->read(chunk.data(), chunk.size(), deadline);
    if (got == 0) {
      parser.finish();
      break;
    }
    parser.feed({chunk.data(), got});
  }
  if (parser.state() != HttpParser::State::complete) {
    result.tooLarge = parser.state() == HttpParser::State::failed && parser.failureStatus() == kTooLarge;
    co_return result;
  }
  result.status = parser.message().status;
  result.retryAfterS = parser.message().retryAfterS;
  result.body = std::move(parser.message().body);
  if (parser.message().keepAlive) keep(endpoint, std::move(socket));
  co_return result;
}

}  // namespace reachhoist::net
