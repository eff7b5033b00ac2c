#include "net/framed.hpp"

#include <sys/socket.h>

#include <array>
#include <cerrno>

#include "config/constants.hpp"

namespace reachhoist::net {

namespace {
constexpr std::size_t kReadChunk = 16 * 1024;   // bytes
constexpr std::size_t kPrefix = 4;              // bytes of a frame's length, little endian
constexpr std::size_t kMaxLinks = 32;           // open links; each sibling needs one, restarts leave old ones
constexpr std::chrono::seconds kLinkIdle{30};   // siblings send a beat every second
constexpr std::chrono::seconds kWriteLimit{5};  // a link that takes nothing for this long is dialled again
}  // namespace

bool FrameListener::listen(const Address& address, std::string& error) {
  auto listener = listenSocket(reactor_, address, error);
  if (!listener) return false;
  listener_ = std::move(listener);
  spawn(acceptLoop());
  return true;
}

Task<void> FrameListener::acceptLoop() {
  for (;;) {
    Fd fd = acceptConnection(*listener_);
    if (!fd) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) {
        co_await listener_->readable(Time::max());
      } else {
        co_await reactor_.sleepUntil(reactor_.now() + constants::kTickInterval);
      }
      continue;
    }
    if (open_ >= kMaxLinks) continue;
    spawn(receive(std::make_unique<Socket>(reactor_, std::move(fd))));
  }
}

Task<void> FrameListener::receive(std::unique_ptr<Socket> socket) {
  ++open_;
  std::string buffer;
  std::array<char, kReadChunk> chunk;
  for (bool good = true; good;) {
    const std::size_t got = co_await socket->read(chunk.data(), chunk.size(), reactor_.now() + kLinkIdle);
    if (got == 0) break;
    buffer.append(chunk.data(), got);
    while (buffer.size() >= kPrefix) {
      std::size_t size = 0;
      for (std::size_t i = 0; i < kPrefix; ++i)
        size |= std::size_t{static_cast<unsigned char>(buffer[i])} << (8 * i);
      if (size > constants::kMaxPeerFrameBytes) {
        good = false;
        break;
      }
      if (buffer.size() < kPrefix + size) break;
      handler_(buffer.substr(kPrefix, size));
      buffer.erase(0, kPrefix + size);
    }
  }
  --open_;
}

FrameSender::FrameSender(Reactor& reactor, Address address) : reactor_(reactor), address_(address) {
  spawn(run());
}

void FrameSender::send(const std::string& frame) {
  if (frame.size() > constants::kMaxPeerFrameBytes) return;
  if (backlogBytes_ + frame.size() > constants::kMaxPeerBacklogBytes) return;
  std::string prefixed;
  prefixed.reserve(kPrefix + frame.size());
  for (std::size_t i = 0; i < kPrefix; ++i)
    prefixed.push_back(static_cast<char>(frame.size() >> (8 * i) & 255U));
  prefixed += frame;
  backlogBytes_ += prefixed.size();
  backlog_.push_back(std::move(prefixed));
  if (waiting_) reactor_.post([handle = std::exchange(waiting_, {})] { handle.resume(); });
}

Task<void> FrameSender::run() {
  struct Await {
    FrameSender& sender;
    bool await_ready() const { return !sender.backlog_.empty(); }
    void await_suspend(std::coroutine_handle<> handle) { sender.waiting_ = handle; }
    void await_resume() const {}
  };
  std::unique_ptr<Socket> socket;
  for (;;) {
    co_await Await{*this};
    if (!socket) {
      socket = co_await connectTo(reactor_, address_, reactor_.now() + constants::kConnectTimeout);
      if (!socket) {
        // What waited for a link that can't be made is too old to be of use.
        backlog_.clear();
        backlogBytes_ = 0;
        co_await reactor_.sleepUntil(reactor_.now() + constants::kPeerRetryInterval);
        continue;
      }
    }
    const std::string frame = std::move(backlog_.front());
    backlog_.pop_front();
    backlogBytes_ -= frame.size();
    if (!co_await socket->writeAll(frame.data(), frame.size(), reactor_.now() + kWriteLimit)) socket.reset();
  }
}

}  // namespace reachhoist::net
