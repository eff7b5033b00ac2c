#include "net/reactor.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <stdexcept>
#include <system_error>

#include "config/constants.hpp"

namespace reachhoist::net {

namespace {
constexpr int kMaxEventsPerIteration = 64;
constexpr std::chrono::milliseconds kAcceptRetryInterval{50};

sockaddr_in toSockaddr(const Address& address) {
  sockaddr_in socketAddress{};
  socketAddress.sin_family = AF_INET;
  socketAddress.sin_addr.s_addr = address.ip;
  socketAddress.sin_port = htons(address.port);
  return socketAddress;
}
}  // namespace

Fd& Fd::operator=(Fd&& other) noexcept {
  if (this != &other) {
    reset();
    number_ = std::exchange(other.number_, -1);
  }
  return *this;
}

void Fd::reset() {
  if (number_ >= 0) ::close(number_);
  number_ = -1;
}

bool Address::parse(const std::string& text, Address& address) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  in_addr ip{};
  if (::inet_pton(AF_INET, text.substr(0, colon).c_str(), &ip) != 1) return false;
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(begin, end, address.port);
  if (error != std::errc{} || stop != end || address.port == 0) return false;
  address.ip = ip.s_addr;
  return true;
}

// Awaits the next edge that wakes the waiter. The result is false if the deadline passed first.
struct Socket::EdgeAwaiter {
  Socket& socket;
  Waiter& waiter;
  Time deadline;
  bool await_ready() const { return waiter.ready; }
  void await_suspend(std::coroutine_handle<> handle) {
    waiter.handle = handle;
    waiter.timedOut = false;
    waiter.timer = socket.reactor_.runAt(deadline, [expired = &waiter] {
      expired->timer = 0;
      expired->timedOut = true;
      std::exchange(expired->handle, {}).resume();
    });
  }
  bool await_resume() {
    if (waiter.timedOut) {
      waiter.timedOut = false;
      return false;
    }
    waiter.ready = false;
    return true;
  }
};

Socket::Socket(Reactor& reactor, Fd fd) : reactor_(reactor), fd_(std::move(fd)) { reactor_.add(*this); }

Socket::~Socket() {
  if (read_.timer != 0) reactor_.cancel(read_.timer);
  if (write_.timer != 0) reactor_.cancel(write_.timer);
  reactor_.remove(*this);
}

void Socket::wake(Waiter& waiter) {
  waiter.ready = true;
  if (!waiter.handle) return;
  if (waiter.timer != 0) reactor_.cancel(std::exchange(waiter.timer, 0));
  std::exchange(waiter.handle, {}).resume();
}

Task<bool> Socket::readable(Time deadline) { co_return co_await EdgeAwaiter{*this, read_, deadline}; }
Task<bool> Socket::writable(Time deadline) { co_return co_await EdgeAwaiter{*this, write_, deadline}; }

Task<std::size_t> Socket::read(char* buffer, std::size_t maxBytes, Time deadline) {
  for (;;) {
    const ssize_t receivedBytes = ::recv(fd_.get(), buffer, maxBytes, 0);
    if (receivedBytes >= 0) co_return static_cast<std::size_t>(receivedBytes);
    if (errno == EINTR) continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK) co_return 0;
    if (!co_await EdgeAwaiter{*this, read_, deadline}) co_return 0;
  }
}

Task<bool> Socket::writeAll(const char* data, std::size_t size, Time deadline) {
  while (size > 0) {
    const ssize_t sentBytes = ::send(fd_.get(), data, size, MSG_NOSIGNAL);
    if (sentBytes > 0) {
      data += sentBytes;
      size -= static_cast<std::size_t>(sentBytes);
      continue;
    }
    if (sentBytes < 0 && errno == EINTR) continue;
    if (sentBytes < 0 && errno != EAGAIN && errno != EWOULDBLOCK) co_return false;
    if (!co_await EdgeAwaiter{*this, write_, deadline}) co_return false;
  }
  co_return true;
}

Reactor::Reactor() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

void Reactor::add(Socket& socket) {
  const std::uint64_t number = nextRegistration_++;
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = number;
  if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, socket.fd(), &event) != 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  sockets_[number] = &socket;
  registrations_[&socket] = number;
}

void Reactor::remove(Socket& socket) {
  const auto found = registrations_.find(&socket);
  if (found == registrations_.end()) return;
  sockets_.erase(found->second);
  registrations_.erase(found);
  ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, socket.fd(), nullptr);
}

std::uint64_t Reactor::runAt(Time when, std::function<void()> action) {
  const std::uint64_t number = nextTimer_++;
  timers_.emplace(TimerKey{when, number}, std::move(action));
  timerDue_.emplace(number, when);
  return number;
}

void Reactor::cancel(std::uint64_t timer) {
  const auto found = timerDue_.find(timer);
  if (found == timerDue_.end()) return;
  timers_.erase({found->second, timer});
  timerDue_.erase(found);
}

void Reactor::post(std::function<void()> action) { posted_.push_back(std::move(action)); }

void Reactor::run() {
  for (;;) runOnce(std::chrono::milliseconds::max());
}

void Reactor::runOnce(std::chrono::milliseconds maxWait) {
  runPosted();
  runTimers();
  waitForSocketEvents(maxWait);
}

void Reactor::runPosted() {
  for (auto& action : std::exchange(posted_, {})) action();
}

void Reactor::runTimers() {
  const Time now = this->now();
  while (!timers_.empty() && timers_.begin()->first.due <= now) {
    auto first = timers_.extract(timers_.begin());
    timerDue_.erase(first.key().number);
    first.mapped()();
  }
}

int Reactor::epollTimeoutMs(std::chrono::milliseconds maxWait) const {
  if (!posted_.empty()) return 0;
  const int maxWaitMs = maxWait == std::chrono::milliseconds::max() ? -1 : static_cast<int>(maxWait.count());
  if (timers_.empty()) return maxWaitMs;
  const auto untilTimer = std::chrono::ceil<std::chrono::milliseconds>(timers_.begin()->first.due - now());
  const int untilTimerMs = untilTimer.count() > 0 ? static_cast<int>(untilTimer.count()) : 0;
  return maxWaitMs < 0 ? untilTimerMs : std::min(maxWaitMs, untilTimerMs);
}

void Reactor::waitForSocketEvents(std::chrono::milliseconds maxWait) {
  std::array<epoll_event, kMaxEventsPerIteration> events{};
  const int count =
      ::epoll_wait(epoll_.get(), events.data(), kMaxEventsPerIteration, epollTimeoutMs(maxWait));
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    const bool broken = (event.events & (EPOLLERR | EPOLLHUP)) != 0;
    // The socket is looked up again for the writer, since the reader that resumes first can destroy it.
    if (broken || (event.events & (EPOLLIN | EPOLLRDHUP)) != 0) {
      if (const auto found = sockets_.find(event.data.u64); found != sockets_.end())
        found->second->wake(found->second->read_);
    }
    if (broken || (event.events & EPOLLOUT) != 0) {
      if (const auto found = sockets_.find(event.data.u64); found != sockets_.end())
        found->second->wake(found->second->write_);
    }
  }
}

Fd listenOn(const Address& address, std::string& error) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int enabled = 1;
  const sockaddr_in local = toSockaddr(address);
  if (!fd || ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled) != 0 ||
      ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0 ||
      ::listen(fd.get(), constants::kListenBacklog) != 0) {
    error = std::strerror(errno);
    return Fd{};
  }
  return fd;
}

std::unique_ptr<Socket> listenSocket(Reactor& reactor, const Address& address, std::string& error) {
  Fd fd = listenOn(address, error);
  if (!fd) return nullptr;
  return std::make_unique<Socket>(reactor, std::move(fd));
}

Task<Fd> acceptNext(Reactor& reactor, Socket& listener, std::function<void()> onFailure) {
  for (;;) {
    Fd fd(::accept4(listener.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (fd) co_return fd;
    if (errno == EAGAIN || errno == EWOULDBLOCK) {
      co_await listener.readable(Time::max());
    } else if (errno != EINTR && errno != ECONNABORTED) {
      onFailure();
      co_await reactor.sleepUntil(reactor.now() + kAcceptRetryInterval);
    }
  }
}

namespace {
// Awaits the end of a pending connection attempt. Returns false if it failed or the deadline passed first.
Task<bool> finishConnect(Socket& socket, Time deadline) {
  for (;;) {
    if (!co_await socket.writable(deadline)) co_return false;
    int error = 0;
    socklen_t size = sizeof error;
    if (::getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) co_return false;
    // The registration of the socket can report an edge before the connection is established.
    sockaddr_in peer{};
    socklen_t peerSize = sizeof peer;
    if (::getpeername(socket.fd(), reinterpret_cast<sockaddr*>(&peer), &peerSize) == 0) co_return true;
  }
}
}  // namespace

Task<std::unique_ptr<Socket>> connectTo(Reactor& reactor, Address address, Time deadline) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) co_return nullptr;
  const int enabled = 1;
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  const sockaddr_in peer = toSockaddr(address);
  const int status = ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&peer), sizeof peer);
  const bool pending = status != 0 && errno == EINPROGRESS;
  if (status != 0 && !pending) co_return nullptr;
  auto socket = std::make_unique<Socket>(reactor, std::move(fd));
  if (pending && !co_await finishConnect(*socket, deadline)) co_return nullptr;
  co_return socket;
}

}  // namespace reachhoist::net
