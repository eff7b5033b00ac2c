// Length-prefixed frames between controllers. Each side connects to the other, and sends only on the
// connection that it has opened.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "net/reactor.hpp"

namespace reachhoist::net {

// Accepts connections from siblings and hands each length-prefixed frame to the handler. A connection that
// sends a frame above the size limit, or nothing for a while, is closed.
class FrameListener {
 public:
  // Called with the payload of each frame received, without its length prefix.
  using Handler = std::function<void(std::string frame)>;
  FrameListener(Reactor& reactor, Handler handler) : reactor_(reactor), handler_(std::move(handler)) {}
  // Listens on the address; false with error set if the socket can't be opened. Call once.
  bool listen(const Address& address, std::string& error);

 private:
  Task<void> acceptLoop();
  Task<void> receive(std::unique_ptr<Socket> socket);
  // Passes the whole frames in the buffer to the handler and removes them; false if one is too large.
  bool takeFrames(std::string& buffer);

  Reactor& reactor_;
  Handler handler_;
  std::unique_ptr<Socket> listener_;
  std::size_t open_ = 0;  // connections
};

// Sends length-prefixed frames to one sibling over a connection that it opens, and opens anew after a
// failure.
class FrameSender {
 public:
  FrameSender(Reactor& reactor, Address address);
  // Queues the frame; drops it if it is too large or the backlog is full, since every exchange between
  // controllers has its own time-out.
  void send(const std::string& frame);

 private:
  struct BacklogAwaiter;
  Task<void> run();

  Reactor& reactor_;
  Address address_;
  std::deque<std::string> backlog_;
  std::size_t backlogBytes_ = 0;
  std::coroutine_handle<> waiter_;  // run(), while the backlog is empty
};

}  // namespace reachhoist::net
