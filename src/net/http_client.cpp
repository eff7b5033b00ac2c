#include "net/http_client.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "config/constants.hpp"
#include "wire/http_status.hpp"

namespace reachhoist::net {

namespace {
constexpr std::size_t kReadChunkBytes = 16 * 1024;

// Returns whether a pooled connection can be reused. It cannot if the peer has closed it or has sent
// unexpected bytes.
bool isReusable(int fd) {
  char byte = 0;
  const ssize_t receivedBytes = ::recv(fd, &byte, 1, MSG_PEEK);
  return receivedBytes < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Increments a counter for its own lifetime.
class CountGuard {
 public:
  explicit CountGuard(std::size_t& count) : count_(count) { ++count_; }
  CountGuard(const CountGuard&) = delete;
  CountGuard& operator=(const CountGuard&) = delete;
  ~CountGuard() { --count_; }

 private:
  std::size_t& count_;
};

// Feeds the parser until it has a complete response, it fails, or the connection ends.
Task<void> readResponse(Socket& socket, HttpParser& parser, Time deadline) {
  std::array<char, kReadChunkBytes> chunk;
  while (parser.state() == HttpParser::State::head || parser.state() == HttpParser::State::body) {
    const std::size_t receivedBytes = co_await socket.read(chunk.data(), chunk.size(), deadline);
    if (receivedBytes == 0) {
      parser.finish();
      break;
    }
    parser.feed({chunk.data(), receivedBytes});
  }
}
}  // namespace

HttpClient::HttpClient(Reactor& reactor, std::size_t maxSockets)
    : reactor_(reactor),
      pool_(maxSockets, constants::kMaxIdleConnectionsPerEndpoint, constants::kClientIdleTimeout) {}

std::unique_ptr<Socket> HttpClient::takePooled(const std::string& endpoint) {
  for (;;) {
    auto socket = pool_.take(endpoint, reactor_.now());
    if (!socket || isReusable(socket->fd())) return socket;
  }
}

Task<HttpResult> HttpClient::call(std::string endpoint, std::string method, std::string target,
                                  std::string body, std::chrono::milliseconds timeout) {
  HttpResult result;
  const Time deadline = reactor_.now() + timeout;
  Address address;
  if (!Address::parse(endpoint, address)) co_return result;
  std::unique_ptr<Socket> socket = takePooled(endpoint);
  const CountGuard guard(requestsInFlight_);
  if (!socket) {
    pool_.evictFor(requestsInFlight_);
    const Time connectDeadline = std::min(deadline, reactor_.now() + constants::kConnectTimeout);
    socket = co_await connectTo(reactor_, address, connectDeadline);
  }
  if (!socket) co_return result;
  result.sent = true;
  const std::string request = formatRequest(method, target, endpoint, body);
  if (!co_await socket->writeAll(request.data(), request.size(), deadline)) co_return result;
  HttpParser parser(HttpParser::Kind::response, constants::kMaxResponseBytes);
  co_await readResponse(*socket, parser, deadline);
  if (parser.state() != HttpParser::State::complete) {
    result.responseTooLarge =
        parser.state() == HttpParser::State::failed && parser.failureStatus() == http::kContentTooLarge;
    co_return result;
  }
  result.status = parser.message().status;
  result.retryAfterS = parser.message().retryAfterS;
  result.body = std::move(parser.message().body);
  if (parser.message().keepAlive)
    pool_.put(endpoint, std::move(socket), requestsInFlight_ - 1, reactor_.now());
  co_return result;
}

}  // namespace reachhoist::net
