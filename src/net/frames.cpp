#include "net/frames.hpp"

#include <array>
#include <string_view>

#include "config/constants.hpp"

namespace reachhoist::net {

namespace {
constexpr std::size_t kReadChunkBytes = 16 * 1024;
constexpr std::size_t kPrefixBytes = 4;  // The prefix holds the length of the frame, little endian.
// Limits the open connections from siblings. Each sibling needs one, and a restarted sibling can leave an old
// one open.
constexpr std::size_t kMaxConnections = 32;
constexpr std::chrono::seconds kReceiveTimeout{30};  // Siblings send a heartbeat every second.
constexpr std::chrono::seconds kWriteTimeout{5};     // After this time the sender opens a new connection.

std::string encodePrefix(std::size_t frameBytes) {
  std::string prefix;
  for (std::size_t i = 0; i < kPrefixBytes; ++i)
    prefix.push_back(static_cast<char>(frameBytes >> (8 * i) & 255U));
  return prefix;
}

// The buffer must hold at least the prefix.
std::size_t decodePrefix(std::string_view buffer) {
  std::size_t frameBytes = 0;
  for (std::size_t i = 0; i < kPrefixBytes; ++i)
    frameBytes |= std::size_t{static_cast<unsigned char>(buffer[i])} << (8 * i);
  return frameBytes;
}
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
    Fd fd = co_await acceptNext(reactor_, *listener_, [] {});
    if (connectionCount_ >= kMaxConnections) continue;
    spawn(receive(std::make_unique<Socket>(reactor_, std::move(fd))));
  }
}

Task<void> FrameListener::receive(std::unique_ptr<Socket> socket) {
  ++connectionCount_;
  std::string buffer;
  std::array<char, kReadChunkBytes> chunk;
  for (;;) {
    const std::size_t receivedBytes =
        co_await socket->read(chunk.data(), chunk.size(), reactor_.now() + kReceiveTimeout);
    if (receivedBytes == 0) break;
    buffer.append(chunk.data(), receivedBytes);
    if (!dispatchFrames(buffer)) break;
  }
  --connectionCount_;
}

bool FrameListener::dispatchFrames(std::string& buffer) {
  while (buffer.size() >= kPrefixBytes) {
    const std::size_t frameBytes = decodePrefix(buffer);
    if (frameBytes > constants::kMaxPeerFrameBytes) return false;
    if (buffer.size() < kPrefixBytes + frameBytes) break;
    handler_(buffer.substr(kPrefixBytes, frameBytes));
    buffer.erase(0, kPrefixBytes + frameBytes);
  }
  return true;
}

FrameSender::FrameSender(Reactor& reactor, Address address) : reactor_(reactor), address_(address) {
  spawn(run());
}

void FrameSender::send(const std::string& frame) {
  if (frame.size() > constants::kMaxPeerFrameBytes) return;
  if (backlogBytes_ + frame.size() > constants::kMaxPeerBacklogBytes) return;
  std::string prefixed = encodePrefix(frame.size()) + frame;
  backlogBytes_ += prefixed.size();
  backlog_.push_back(std::move(prefixed));
  if (waiter_) reactor_.post([waiter = std::exchange(waiter_, {})] { waiter.resume(); });
}

struct FrameSender::BacklogAwaiter {
  FrameSender& sender;
  bool await_ready() const { return !sender.backlog_.empty(); }
  void await_suspend(std::coroutine_handle<> waiter) { sender.waiter_ = waiter; }
  void await_resume() const {}
};

Task<void> FrameSender::run() {
  std::unique_ptr<Socket> socket;
  for (;;) {
    co_await BacklogAwaiter{*this};
    if (!socket) {
      socket = co_await connectTo(reactor_, address_, reactor_.now() + constants::kConnectTimeout);
      if (!socket) {
        // The queued frames are discarded, since they would be outdated when a later connection succeeds.
        backlog_.clear();
        backlogBytes_ = 0;
        co_await reactor_.sleepUntil(reactor_.now() + constants::kPeerRetryInterval);
        continue;
      }
    }
    const std::string frame = std::move(backlog_.front());
    backlog_.pop_front();
    backlogBytes_ -= frame.size();
    if (!co_await socket->writeAll(frame.data(), frame.size(), reactor_.now() + kWriteTimeout))
      socket.reset();
  }
}

}  // namespace reachhoist::net
