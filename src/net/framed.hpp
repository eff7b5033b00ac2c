// Length-prefixed frames between controllers. Each side dials the other and only sends on the link it
// dialled.
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

  Reactor& reactor_;
  Handler handler_;
  std::unique_ptr<Socket> listener_;
  std::size_t open_ = 0;
};

// Sends length-prefixed frames to one sibling over a connection it dials, and dials again when it breaks.
class FrameSender {
 public:
  FrameSender(Reactor& reactor, Address address);
  // Dropped when the backlog is full: every exchange has its own time-out.
  void send(const std::string& frame);

 private:
  Task<void> run();

  Reactor& reactor_;
  Address address_;
  std::deque<std::string> backlog_;
  std::size_t backlogBytes_ = 0;
  std::coroutine_handle<> waiting_;
};

}  // namespace reachhoist::net
