#include "net/http_client.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "config/constants.hpp"

namespace reachhoist::net {

namespace {
constexpr std::size_t kReadChunk = 16 * 1024;  // bytes

// A kept connection on which the other side has sent an end (or anything at all) is of no more use.
bool stillOpen(int fd) {
  char byte = 0;
  const ssize_t got = ::recv(fd, &byte, 1, MSG_PEEK);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}
}  // namespace

std::unique_ptr<Socket> HttpClient::takeKept(const std::string& endpoint) {
  const auto found = kept_.find(endpoint);
  if (found == kept_.end()) return nullptr;
  auto& kept = found->second;
  const Time oldest = reactor_.now() - constants::kPoolIdle;
  while (!kept.empty() && kept.front().since < oldest) kept.pop_front();
  std::unique_ptr<Socket> socket;
  while (!kept.empty() && !socket) {
    socket = std::move(kept.back().socket);
    kept.pop_back();
    if (!stillOpen(socket->fd())) socket.reset();
  }
  if (kept.empty()) kept_.erase(found);
  return socket;
}

void HttpClient::keep(const std::string& endpoint, std::unique_ptr<Socket> socket) {
  auto& kept = kept_[endpoint];
  kept.push_back(Kept{std::move(socket), reactor_.now()});
  if (kept.size() > constants::kPoolPerEndpoint) kept.pop_front();
}

Task<ClientResult> HttpClient::call(std::string endpoint, std::string method, std::string target,
                                    std::string body, std::chrono::milliseconds timeout) {
  ClientResult result;
  const Time deadline = reactor_.now() + timeout;
  Address address;
  if (!Address::parse(endpoint, address)) co_return result;
  std::unique_ptr<Socket> socket = takeKept(endpoint);
  if (!socket) {
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
  if (parser.state() != HttpParser::State::complete) co_return result;
  result.status = parser.message().status;
  result.retryAfterS = parser.message().retryAfterS;
  result.body = std::move(parser.message().body);
  if (parser.message().keepAlive) keep(endpoint, std::move(socket));
  co_return result;
}

}  // namespace reachhoist::net
