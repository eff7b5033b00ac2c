// The event loop: one epoll set and a queue of timers. Coroutines wait here for sockets and for time.
#pragma once

#include <chrono>
#include <coroutine>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "net/task.hpp"

namespace reachhoist::net {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;

// An owned file descriptor.
class Fd {
 public:
  Fd() = default;
  explicit Fd(int number) : number_(number) {}
  Fd(Fd&& other) noexcept : number_(std::exchange(other.number_, -1)) {}
  Fd& operator=(Fd&& other) noexcept;
  Fd(const Fd&) = delete;
  Fd& operator=(const Fd&) = delete;
  ~Fd() { reset(); }
  void reset();
  int get() const { return number_; }
  explicit operator bool() const { return number_ >= 0; }

 private:
  int number_ = -1;
};

struct Address {
  std::uint32_t ip = 0;    // network order
  std::uint16_t port = 0;  // host order
  static bool parse(const std::string& text, Address& out);
};

class Reactor;

// A connected or listening socket registered with the reactor (edge triggered). One reader and one writer may
// wait at a time.
class Socket {
 public:
  Socket(Reactor& reactor, Fd fd);
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  int fd() const { return fd_.get(); }

  // False when the deadline came first.
  Task<bool> readable(Time deadline);
  Task<bool> writable(Time deadline);
  // Bytes read; 0: closed by the other side, an error, or the deadline.
  Task<std::size_t> read(char* into, std::size_t most, Time deadline);
  Task<bool> writeAll(const char* from, std::size_t size, Time deadline);

 private:
  friend class Reactor;
  struct Waiter {
    std::coroutine_handle<> handle;
    std::uint64_t timer = 0;
    bool ready = false;  // an edge was seen that nobody has used yet
    bool timedOut = false;
  };
  struct Wait;
  void wake(Waiter& waiter);

  Reactor& reactor_;
  Fd fd_;
  Waiter read_;
  Waiter write_;
};

class Reactor {
 public:
  Reactor();
  Time now() const { return Clock::now(); }
  // Timers fire once; the number serves to cancel.
  std::uint64_t at(Time when, std::function<void()> action);
  void cancel(std::uint64_t timer);
  // Actions to run in the next turn of the loop.
  void post(std::function<void()> action);
  [[noreturn]] void run();
  // One turn of the loop: what is due, then what comes within so long. For loops that others own.
  void turn(std::chrono::milliseconds most);

  // Awaitable pause.
  auto sleepUntil(Time when) {
    struct Pause {
      Reactor& reactor;
      Time when;
      bool await_ready() const { return false; }
      void await_suspend(std::coroutine_handle<> handle) {
        reactor.at(when, [handle] { handle.resume(); });
      }
      void await_resume() const {}
    };
    return Pause{*this, when};
  }

 private:
  friend class Socket;
  void add(Socket& socket);
  void remove(Socket& socket);

  Fd epoll_;
  std::unordered_map<std::uint64_t, Socket*> sockets_;  // by registration number: fds are used again
  std::unordered_map<const Socket*, std::uint64_t> numbers_;
  std::uint64_t nextSocket_ = 1;
  std::map<std::pair<Time, std::uint64_t>, std::function<void()>> timers_;
  std::unordered_map<std::uint64_t, Time> timerTimes_;
  std::uint64_t nextTimer_ = 1;
  std::vector<std::function<void()>> posted_;
};

Fd listenOn(const Address& address, std::string& error);
// A listening socket on the address, registered with the reactor; null with error set on failure.
std::unique_ptr<Socket> listenSocket(Reactor& reactor, const Address& address, std::string& error);
// Accepts one pending connection as a non-blocking, close-on-exec descriptor; an empty Fd with errno set
// when there is none (EAGAIN) or accept failed.
Fd acceptConnection(const Socket& listener);
// Connected socket, or null: refused, failed or too late. None of the request was sent in these cases.
Task<std::unique_ptr<Socket>> connectTo(Reactor& reactor, Address address, Time deadline);

}  // namespace reachhoist::net
