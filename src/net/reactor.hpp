// The event loop: an epoll set and a queue of timers, on which coroutines wait.
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

// A file descriptor that is closed with its object.
class Fd {
 public:
  Fd() = default;
  explicit Fd(int number) : number_(number) {}
  Fd(Fd&& other) noexcept : number_(std::exchange(other.number_, -1)) {}
  Fd& operator=(Fd&& other) noexcept;
  Fd(const Fd&) = delete;
  Fd& operator=(const Fd&) = delete;
  ~Fd() { reset(); }
  // Closes the descriptor, if there is one.
  void reset();
  int get() const { return number_; }
  explicit operator bool() const { return number_ >= 0; }

 private:
  int number_ = -1;
};

// An IPv4 address and a port.
struct Address {
  std::uint32_t ip = 0;    // network order
  std::uint16_t port = 0;  // host order
  // Reads "ip:port"; false if the text is not of that form or the port is 0.
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

  // Wait for the socket to become readable or writable; false when the deadline came first.
  Task<bool> readable(Time deadline);
  Task<bool> writable(Time deadline);
  // Bytes read; 0: closed by the other side, an error, or the deadline.
  Task<std::size_t> read(char* into, std::size_t most, Time deadline);
  // Writes all bytes; false: closed by the other side, an error, or the deadline.
  Task<bool> writeAll(const char* from, std::size_t size, Time deadline);

 private:
  friend class Reactor;
  struct Waiter {
    std::coroutine_handle<> handle;
    std::uint64_t timer = 0;
    bool ready = false;  // an edge was seen since the last wait
    bool timedOut = false;
  };
  struct Wait;
  void wake(Waiter& waiter);

  Reactor& reactor_;
  Fd fd_;
  Waiter read_;
  Waiter write_;
};

// Single-threaded event loop. Sockets register themselves with it and must not outlive it.
class Reactor {
 public:
  Reactor();
  Time now() const { return Clock::now(); }
  // Runs the action once at the given time; returns the number of the timer, for cancel().
  std::uint64_t at(Time when, std::function<void()> action);
  void cancel(std::uint64_t timer);
  // Runs the action in the next turn of the loop.
  void post(std::function<void()> action);
  // Runs the loop for ever.
  [[noreturn]] void run();
  // One turn of the loop: runs what is due, and then waits for socket events up to maxWait. For use within
  // another loop.
  void runOnce(std::chrono::milliseconds maxWait);

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
  struct TimerKey {
    Time due;
    std::uint64_t number;
    auto operator<=>(const TimerKey&) const = default;
  };

  void add(Socket& socket);
  void remove(Socket& socket);
  void runPosted();
  void runTimers();
  // How long to wait for socket events, as epoll_wait() takes it: -1 for no limit.
  int waitMs(std::chrono::milliseconds maxWait) const;
  void wakeSockets(std::chrono::milliseconds maxWait);

  Fd epoll_;
  std::unordered_map<std::uint64_t, Socket*> sockets_;  // by registration number: descriptors are reused
  std::unordered_map<const Socket*, std::uint64_t> numbers_;
  std::uint64_t nextSocket_ = 1;
  std::map<TimerKey, std::function<void()>> timers_;
  std::unordered_map<std::uint64_t, Time> timerDue_;  // by number
  std::uint64_t nextTimer_ = 1;
  std::vector<std::function<void()>> posted_;
};

// A listening, non-blocking descriptor on the address; empty with error set on failure.
Fd listenOn(const Address& address, std::string& error);
// A listening socket on the address, registered with the reactor; null with error set on failure.
std::unique_ptr<Socket> listenSocket(Reactor& reactor, const Address& address, std::string& error);
// Awaits the next connection, as a non-blocking descriptor. When accept fails, as it does when the process is
// out of descriptors, calls onFailure and tries again after a pause.
Task<Fd> acceptNext(Reactor& reactor, Socket& listener, std::function<void()> onFailure);
// A connected socket, or null if the connection was refused, failed or timed out.
Task<std::unique_ptr<Socket>> connectTo(Reactor& reactor, Address address, Time deadline);

}  // namespace reachhoist::net
