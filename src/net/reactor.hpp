// An event loop of epoll events and timers, on which coroutines wait.
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

// Owns a file descriptor and closes it on destruction.
class Fd {
 public:
  Fd() = default;
  explicit Fd(int number) : number_(number) {}
  Fd(Fd&& other) noexcept : number_(std::exchange(other.number_, -1)) {}
  Fd& operator=(Fd&& other) noexcept;
  Fd(const Fd&) = delete;
  Fd& operator=(const Fd&) = delete;
  ~Fd() { reset(); }
  // Closes the descriptor if the object owns one.
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
  // Parses "ip:port". Returns false if the text does not have that form or the port is 0.
  static bool parse(const std::string& text, Address& address);
};

class Reactor;

// A connected or listening socket that is registered with the reactor for edge-triggered events. At most one
// reader and one writer may wait at the same time.
class Socket {
 public:
  Socket(Reactor& reactor, Fd fd);
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  int fd() const { return fd_.get(); }

  // These functions wait until the socket is readable or writable. They return false if the deadline passes
  // first.
  Task<bool> readable(Time deadline);
  Task<bool> writable(Time deadline);
  // Returns the number of bytes that were read. It is 0 if the peer closed the connection, an error occurred
  // or the deadline passed.
  Task<std::size_t> read(char* buffer, std::size_t maxBytes, Time deadline);
  // Writes all bytes. Returns false if the peer closed the connection, an error occurred or the deadline
  // passed.
  Task<bool> writeAll(const char* data, std::size_t size, Time deadline);

 private:
  friend class Reactor;
  struct Waiter {
    std::coroutine_handle<> handle;
    std::uint64_t timer = 0;
    bool ready = false;  // An edge has occurred since the last wait.
    bool timedOut = false;
  };
  struct EdgeAwaiter;
  void wake(Waiter& waiter);

  Reactor& reactor_;
  Fd fd_;
  Waiter read_;
  Waiter write_;
};

// A single-threaded event loop. Sockets register themselves with it and must not outlive it.
class Reactor {
 public:
  Reactor();
  Time now() const { return Clock::now(); }
  // Runs the action once at the given time. Returns the number of the timer for cancel().
  std::uint64_t runAt(Time when, std::function<void()> action);
  void cancel(std::uint64_t timer);
  // Runs the action in the next iteration of the loop.
  void post(std::function<void()> action);
  // Runs the loop forever.
  [[noreturn]] void run();
  // Runs one iteration of the loop within another loop. It runs the posted actions and the due timers, then
  // waits for socket events for at most `maxWait` and resumes their coroutines.
  void runOnce(std::chrono::milliseconds maxWait);

  // Returns an awaitable that resumes the coroutine at the given time.
  auto sleepUntil(Time when) {
    struct SleepAwaiter {
      Reactor& reactor;
      Time when;
      bool await_ready() const { return false; }
      void await_suspend(std::coroutine_handle<> handle) {
        reactor.runAt(when, [handle] { handle.resume(); });
      }
      void await_resume() const {}
    };
    return SleepAwaiter{*this, when};
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
  // Returns the timeout for epoll_wait(), where -1 means no limit.
  int epollTimeoutMs(std::chrono::milliseconds maxWait) const;
  // Waits for socket events and resumes the coroutines that wait for them.
  void waitForSocketEvents(std::chrono::milliseconds maxWait);

  Fd epoll_;
  // The key is a registration number instead of the descriptor, since the system reuses descriptors.
  std::unordered_map<std::uint64_t, Socket*> sockets_;
  std::unordered_map<const Socket*, std::uint64_t> registrations_;
  std::uint64_t nextRegistration_ = 1;
  std::map<TimerKey, std::function<void()>> timers_;
  std::unordered_map<std::uint64_t, Time> timerDue_;  // by timer number
  std::uint64_t nextTimer_ = 1;
  std::vector<std::function<void()>> posted_;
};

// Opens a non-blocking descriptor that listens on the address. On failure it sets `error` and returns an
// empty Fd.
Fd listenOn(const Address& address, std::string& error);
// Opens a listening socket that is registered with the reactor. On failure it sets `error` and returns null.
std::unique_ptr<Socket> listenSocket(Reactor& reactor, const Address& address, std::string& error);
// Awaits the next connection and returns its non-blocking descriptor. If accept fails, for example because
// the process has no free descriptors, it calls `onFailure` and retries after a delay.
Task<Fd> acceptNext(Reactor& reactor, Socket& listener, std::function<void()> onFailure);
// Connects to the address. Returns null if the connection was refused, failed or timed out.
Task<std::unique_ptr<Socket>> connectTo(Reactor& reactor, Address address, Time deadline);

}  // namespace reachhoist::net
