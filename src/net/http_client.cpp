#include "net/http_client.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "config/constants.hpp"
#include "wire/http_status.hpp"

namespace reachhoist::net {

namespace {
constexpr std::size_t kReadChunk = 16 * 1024;  // bytes

// A pooled connection on which the peer has sent its end, or anything else, can't be reused.
bool stillOpen(int fd) {
  char byte = 0;
  const ssize_t got = ::recv(fd, &byte, 1, MSG_PEEK);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Counts for as long as it lives.
class CountGuard {
 public:
  explicit CountGuard(std::size_t& count) : count_(count) { ++count_; }
  CountGuard(const CountGuard&) = delete;
  CountGuard& operator=(const CountGuard&) = delete;
  ~CountGuard() { --count_; }

 private:
  std::size_t& count_;
};

// Feeds the parser until it has a response, has failed, or the connection ends.
Task<void> readResponse(Socket& socket, HttpParser& parser, Time deadline) {
  std::array<char, kReadChunk> chunk;
  while (parser.state() == HttpParser::State::head || parser.state() == HttpParser::State::body) {
    const std::size_t got = co_await socket.read(chunk.data(), chunk.size(), deadline);
    if (got == 0) {
      parser.finish();
      break;
    }
    parser.feed({chunk.data(), got});
  }
}
}  // namespace

HttpClient::HttpClient(Reactor& reactor, std::size_t maxSockets)
    : reactor_(reactor), pool_(maxSockets, constants::kMaxIdlePerEndpoint, constants::kClientIdleTimeout) {}

std::unique_ptr<Socket> HttpClient::takePooled(const std::string& endpoint) {
  for (;;) {
    auto socket = pool_.take(endpoint, reactor_.now());
    if (!socket || stillOpen(socket->fd())) return socket;
  }
}

Task<HttpResult> HttpClient::call(std::string endpoint, std::string method, std::string target,
                                  std::string body, std::chrono::milliseconds timeout) {
  HttpResult result;
  const Time deadline = reactor_.now() + timeout;
  Address address;
  if (!Address::parse(endpoint, address)) co_return result;
  std::unique_ptr<Socket> socket = takePooled(endpoint);
  const CountGuard guard(inUse_);
  if (!socket) {
    pool_.evictFor(inUse_);
    const Time connectBy = std::min(deadline, reactor_.now() + constants::kConnectTimeout);
    socket = co_await connectTo(reactor_, address, connectBy);
  }
  if (!socket) co_return result;
  result.sent = true;
  const std::string text = formatRequest(method, target, endpoint, body);
  if (!co_await socket->writeAll(text.data(), text.size(), deadline)) co_return result;
  HttpParser parser(HttpParser::Kind::response, constants::kMaxResponseBytes);
  co_await readResponse(*socket, parser, deadline);
  if (parser.state() != HttpParser::State::complete) {
    result.tooLarge =
        parser.state() == HttpParser::State::failed && parser.failureStatus() == http::kContentTooLarge;
    co_return result;
  }
  result.status = parser.message().status;
  result.retryAfterS = parser.message().retryAfterS;
  result.body = std::move(parser.message().body);
  if (parser.message().keepAlive) pool_.put(endpoint, std::move(socket), inUse_ - 1, reactor_.now());
  co_return result;
}

}  // namespace reachhoist::net
