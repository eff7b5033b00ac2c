#include "net/http_server.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>

#include "config/constants.hpp"

namespace reachhoist::net {

namespace {
constexpr std::size_t kReadChunkBytes = 8 * 1024;  // Most requests fit into one read.
}  // namespace

HttpServer::HttpServer(Reactor& reactor, std::size_t maxConnections, Handler handler)
    : reactor_(reactor), maxConnections_(maxConnections), handler_(std::move(handler)) {}

bool HttpServer::listen(const Address& address, std::string& error) {
  auto listener = listenSocket(reactor_, address, error);
  if (!listener) return false;
  listener_ = std::move(listener);
  spawn(acceptLoop());
  return true;
}

Task<void> HttpServer::acceptLoop() {
  for (;;) {
    // If the process has no free descriptors, closing an idle connection frees one.
    Fd fd = co_await acceptNext(reactor_, *listener_, [this] { closeLongestIdle(); });
    // At the connection limit an idle connection is closed in favour of the new one. If none is idle, the new
    // one is closed.
    if (connections_.size() >= maxConnections_ && !closeLongestIdle()) continue;
    const int enabled = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    connections_.push_back(Connection{std::make_unique<Socket>(reactor_, std::move(fd)), true});
    spawn(serve(std::prev(connections_.end())));
  }
}

bool HttpServer::closeLongestIdle() {
  for (auto& connection : connections_) {
    if (!connection.idle) continue;
    ::shutdown(connection.socket->fd(), SHUT_RDWR);  // The pending read of its coroutine then ends.
    connection.idle = false;
    return true;
  }
  return false;
}

Task<void> HttpServer::serve(ConnectionEntry entry) {
  co_await serveRequests(entry);
  connections_.erase(entry);
}

Task<void> HttpServer::serveRequests(ConnectionEntry entry) {
  Connection& connection = *entry;
  HttpParser parser(HttpParser::Kind::request, constants::kMaxRequestBodyBytes);
  Time deadline = reactor_.now() + constants::kRequestReadTimeout;
  for (;;) {
    if (!co_await readRequest(connection, parser, deadline)) co_return;
    if (parser.state() == HttpParser::State::failed) {
      co_await write(connection, formatResponse(parser.failureStatus(), {}, std::nullopt, false));
      co_return;
    }
    const bool keepAlive = parser.message().keepAlive;
    const HttpResponse response = co_await handle(std::move(parser.message()));
    std::string responseBytes =
        formatResponse(response.status, response.body, response.retryAfterS, keepAlive);
    if (!co_await write(connection, std::move(responseBytes)) || !keepAlive) co_return;
    parser.next();
    connection.idle = parser.isIdle();
    deadline =
        reactor_.now() + (connection.idle ? constants::kServerIdleTimeout : constants::kRequestReadTimeout);
    // The list is ordered by last use, so the connection moves to the end.
    connections_.splice(connections_.end(), connections_, entry);
  }
}

Task<bool> HttpServer::readRequest(Connection& connection, HttpParser& parser, Time deadline) {
  std::array<char, kReadChunkBytes> chunk;
  while (parser.state() == HttpParser::State::head || parser.state() == HttpParser::State::body) {
    const std::size_t receivedBytes = co_await connection.socket->read(chunk.data(), chunk.size(), deadline);
    if (receivedBytes == 0) co_return false;
    // The time-out of a request starts with its first byte, so that a client that sends slowly cannot occupy
    // the connection.
    if (connection.idle) {
      connection.idle = false;
      deadline = reactor_.now() + constants::kRequestReadTimeout;
    }
    parser.feed({chunk.data(), receivedBytes});
  }
  co_return true;
}

struct HttpServer::ResponseAwaiter {
  PendingRequest& request;
  bool await_ready() const { return request.response.has_value(); }
  void await_suspend(std::coroutine_handle<> waiter) { request.waiter = waiter; }
  HttpResponse await_resume() const { return std::move(*request.response); }
};

Task<HttpResponse> HttpServer::handle(HttpMessage request) {
  const std::uint64_t number = nextNumber_++;
  PendingRequest& pending = pending_[number];
  handler_(number, std::move(request));
  HttpResponse response = co_await ResponseAwaiter{pending};
  pending_.erase(number);
  co_return response;
}

Task<bool> HttpServer::write(Connection& connection, std::string bytes) {
  const Time deadline = reactor_.now() + constants::kRequestReadTimeout;
  co_return co_await connection.socket->writeAll(bytes.data(), bytes.size(), deadline);
}

void HttpServer::respond(std::uint64_t number, HttpResponse response) {
  const auto found = pending_.find(number);
  if (found == pending_.end() || found->second.response) return;
  found->second.response = std::move(response);
  if (found->second.waiter) reactor_.post([waiter = found->second.waiter] { waiter.resume(); });
}

}  // namespace reachhoist::net
