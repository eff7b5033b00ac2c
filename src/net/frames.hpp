// Exchanges length-prefixed frames between controllers. Each side connects to the other and sends only on the
// connection that it opened.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "net/reactor.hpp"

namespace reachhoist::net {

// Accepts connections from siblings and passes each frame to the handler. It closes a connection that sends a
// frame above the size limit, or that sends nothing until the receive time-out.
class FrameListener {
 public:
  // The handler receives each frame without its length prefix.
  using Handler = std::function<void(std::string frame)>;
  FrameListener(Reactor& reactor, Handler handler) : reactor_(reactor), handler_(std::move(handler)) {}
  // Starts to listen on the address. If the socket cannot be opened, sets `error` and returns false. It may
  // be called only once.
  bool listen(const Address& address, std::string& error);

 private:
  Task<void> acceptLoop();
  Task<void> receive(std::unique_ptr<Socket> socket);
  // Passes the complete frames in the buffer to the handler and removes them. Returns false if a frame
  // exceeds the size limit.
  bool dispatchFrames(std::string& buffer);

  Reactor& reactor_;
  Handler handler_;
  std::unique_ptr<Socket> listener_;
  std::size_t connectionCount_ = 0;  // number of open connections
};

// Sends length-prefixed frames to one sibling over a connection that it opens. After a failure it opens a new
// connection.
class FrameSender {
 public:
  FrameSender(Reactor& reactor, Address address);
  // Queues the frame. A frame that is too large or does not fit into the backlog is dropped, which every
  // exchange between controllers handles by its own time-out.
  void send(const std::string& frame);

 private:
  struct BacklogAwaiter;
  Task<void> run();

  Reactor& reactor_;
  Address address_;
  std::deque<std::string> backlog_;
  std::size_t backlogBytes_ = 0;
  std::coroutine_handle<> waiter_;  // the coroutine of run() while it waits for the backlog to fill
};

}  // namespace reachhoist::net
