#include "net/http_server.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

#include "config/constants.hpp"

namespace reachhoist::net {

namespace {
constexpr std::size_t kReadChunk = 8 * 1024;           // bytes; most requests fit in one read
constexpr std::chrono::milliseconds kAcceptPause{50};  // after running out of descriptors
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
    Fd fd = acceptConnection(*listener_);
    if (!fd) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) {
        co_await listener_->readable(Time::max());
      } else if (errno != EINTR && errno != ECONNABORTED) {
        // Out of descriptors: whoever has been idle longest makes room for the next.
        closeIdlest();
        co_await reactor_.sleepUntil(reactor_.now() + kAcceptPause);
      }
      continue;
    }
    // Full: the connection that has been idle longest makes room, or else the new one is turned away.
    if (connections_.size() >= maxConnections_ && !closeIdlest()) continue;
    const int one = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    connections_.push_back(Connection{std::make_unique<Socket>(reactor_, std::move(fd)), true});
    spawn(serve(std::prev(connections_.end())));
  }
}

bool HttpServer::closeIdlest() {
  for (auto& connection : connections_) {
    if (!connection.idle) continue;
    ::shutdown(connection.socket->fd(), SHUT_RDWR);  // its coroutine sees the end and leaves
    connection.idle = false;
    return true;
  }
  return false;
}

Task<void> HttpServer::serve(std::list<Connection>::iterator connection) {
  co_await converse(connection);
  connections_.erase(connection);
}

Task<void> HttpServer::converse(std::list<Connection>::iterator at) {
  Connection& connection = *at;
  HttpParser parser(HttpParser::Kind::request, constants::kMaxBodyBytes);
  std::array<char, kReadChunk> chunk;
  Time deadline = reactor_.now() + constants::kRequestReadTimeout;
  for (;;) {
    while (parser.state() == HttpParser::State::head || parser.state() == HttpParser::State::body) {
      const std::size_t got = co_await connection.socket->read(chunk.data(), chunk.size(), deadline);
      if (got == 0) co_return;
      // The clock of a request starts with its first byte, so that a trickle can't hold a connection.
      if (connection.idle) {
        connection.idle = false;
        deadline = reactor_.now() + constants::kRequestReadTimeout;
      }
      parser.feed({chunk.data(), got});
    }
    if (parser.state() == HttpParser::State::failed) {
      const std::string text = formatAnswer(parser.failureStatus(), {}, std::nullopt, false);
      co_await connection.socket->writeAll(text.data(), text.size(),
                                           reactor_.now() + constants::kRequestReadTimeout);
      co_return;
    }
    const std::uint64_t number = nextNumber_++;
    const bool keepAlive = parser.message().keepAlive;
    pending_.emplace(number, Pending{});
    handler_(number, std::move(parser.message()));
    struct Await {
      Pending& pending;
      bool await_ready() const { return pending.answer.has_value(); }
      void await_suspend(std::coroutine_handle<> handle) { pending.handle = handle; }
      void await_resume() const {}
    };
    auto& pending = pending_.at(number);
    co_await Await{pending};
    const HttpAnswer answer = std::move(*pending.answer);
    pending_.erase(number);
    const std::string text = formatAnswer(answer.status, answer.body, answer.retryAfterS, keepAlive);
    const Time limit = reactor_.now() + constants::kRequestReadTimeout;
    if (!co_await connection.socket->writeAll(text.data(), text.size(), limit) || !keepAlive) co_return;
    parser.next();
    connection.idle = parser.idle();
    deadline =
        reactor_.now() + (connection.idle ? constants::kServerIdleTimeout : constants::kRequestReadTimeout);
    // Most recently used last.
    connections_.splice(connections_.end(), connections_, at);
  }
}

void HttpServer::answer(std::uint64_t number, HttpAnswer answer) {
  const auto found = pending_.find(number);
  if (found == pending_.end() || found->second.answer) return;
  found->second.answer = std::move(answer);
  if (found->second.handle) reactor_.post([handle = found->second.handle] { handle.resume(); });
}

}  // namespace reachhoist::net
