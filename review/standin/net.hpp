// Blocking HTTP/1.1 server and client with CBOR bodies, and a TCP proxy, for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using std::chrono::milliseconds;

inline double secondsBetween(Time from, Time to) { return std::chrono::duration<double>(to - from).count(); }
inline Clock::duration seconds(double count) {
  return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(count));
}
inline void sleepSeconds(double count) { std::this_thread::sleep_for(std::chrono::duration<double>(count)); }

struct Reply {
  int status = 200;
  Json body;
  bool answer = true;  // false: the connection is closed without an answer
};

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

inline std::string endpointOf(int port) { return "127.0.0.1:" + std::to_string(port); }
inline int portOf(const std::string& endpoint) { return std::atoi(endpoint.c_str() + endpoint.rfind(':') + 1); }

// Closes the socket with a reset.
inline void resetSocket(int fd) {
  const linger hard{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  ::close(fd);
}

// Opens a listening socket; port 0 takes a free one.
inline int listenOn(int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = loopback(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

// Returns a port that is free now, for a process that is started later.
inline int freePort() {
  int port = 0;
  ::close(listenOn(port));
  return port;
}

// Connects within the timeout; -1 if that fails.
inline int connectTo(int port, int timeoutMs) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    pollfd waiting{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || ::poll(&waiting, 1, timeoutMs) != 1 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      ::close(fd);
      return -1;
    }
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool sendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno == EAGAIN) {
      pollfd waiting{fd, POLLOUT, 0};
      if (::poll(&waiting, 1, 5000) != 1) return false;
      continue;
    }
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Reads one message. Returns false if the connection ended or the deadline passed.
inline bool readMessage(int fd, std::string& buffer, Time deadline, std::string& head, std::string& body) {
  for (;;) {
    const auto end = buffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      std::size_t length = 0;
      std::string lower = buffer.substr(0, end);
      for (char& c : lower) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      const auto found = lower.find("content-length:");
      if (found != std::string::npos) length = std::strtoul(lower.c_str() + found + 15, nullptr, 10);
      if (buffer.size() >= end + 4 + length) {
        head = buffer.substr(0, end);
        body = buffer.substr(end + 4, length);
        buffer.erase(0, end + 4 + length);
        return true;
      }
    }
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
    pollfd waiting{fd, POLLIN, 0};
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) != 1) return false;
    char chunk[16384];
    const ssize_t count = ::recv(fd, chunk, sizeof chunk, 0);
    if (count <= 0) return false;
    buffer.append(chunk, static_cast<std::size_t>(count));
  }
}

inline Json decode(const std::string& body) {
  if (body.empty()) return Json();
  return Json::from_cbor(body, true, false);
}
inline std::string encode(const Json& body) {
  if (body.is_null()) return {};
  const auto bytes = Json::to_cbor(body);
  return {bytes.begin(), bytes.end()};
}

// Sends one request on a connection of its own. Status 0: no answer.
inline Reply call(int port, const std::string& method, const std::string& target, const Json& body,
                  double timeoutS) {
  const Time deadline = Clock::now() + seconds(timeoutS);
  const int fd = connectTo(port, static_cast<int>(timeoutS * 1000));
  if (fd < 0) return {0, Json()};
  const std::string content = encode(body);
  std::string request = method + " " + target + " HTTP/1.1\r\nHost: " + endpointOf(port) +
                        "\r\nConnection: close\r\nContent-Length: " + std::to_string(content.size()) +
                        "\r\n\r\n" + content;
  std::string buffer, head, answer;
  Reply reply{0, Json()};
  if (sendAll(fd, request) && readMessage(fd, buffer, deadline, head, answer)) {
    reply.status = std::atoi(head.c_str() + 9);
    reply.body = decode(answer);
  }
  ::close(fd);
  return reply;
}

// Serves requests with a thread per connection. While `refusing` is set, connections are reset.
class Server {
 public:
  using Handler = std::function<Reply(const std::string& method, const std::string& target, const Json& body)>;

  explicit Server(Handler handler) : handler_(std::move(handler)) {
    const int fd = listenOn(port_);
    std::thread([this, fd] { acceptLoop(fd); }).detach();
  }
  int port() const { return port_; }
  void setRefusing(bool refusing) {
    const std::lock_guard lock(mutex_);
    refusing_ = refusing;
    if (!refusing) return;
    for (const int fd : open_) {
      const linger hard{1, 0};
      ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      ::shutdown(fd, SHUT_RDWR);
    }
  }

 private:
  void acceptLoop(int listener) {
    for (;;) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const std::lock_guard lock(mutex_);
      if (refusing_) {
        resetSocket(fd);
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      open_.insert(fd);
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  void serve(int fd) {
    std::string buffer, head, body;
    while (readMessage(fd, buffer, Clock::now() + std::chrono::seconds(90), head, body)) {
      const auto first = head.find(' ');
      const auto second = head.find(' ', first + 1);
      const Reply reply = handler_(head.substr(0, first), head.substr(first + 1, second - first - 1), decode(body));
      if (!reply.answer) break;
      const std::string content = encode(reply.body);
      std::string answer = "HTTP/1.1 " + std::to_string(reply.status) + " X\r\nContent-Length: " +
                           std::to_string(content.size()) + "\r\n\r\n" + content;
      {
        const std::lock_guard lock(mutex_);
        if (refusing_) break;
      }
      if (!sendAll(fd, answer) || head.find("Connection: close") != std::string::npos) break;
    }
    const std::lock_guard lock(mutex_);
    open_.erase(fd);
    ::close(fd);
  }

  Handler handler_;
  int port_ = 0;
  std::mutex mutex_;
  bool refusing_ = false;
  std::set<int> open_;
};

// Forwards TCP connections to a port. While it refuses, open connections are reset and new ones too.
class Proxy {
 public:
  explicit Proxy(int target) : target_(target) {
    const int fd = listenOn(port_);
    std::thread([this, fd] {
      for (;;) {
        const int client = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (client >= 0) std::thread([this, client] { forward(client); }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  void setRefusing(bool refusing) { refusing_ = refusing; }

 private:
  void forward(int client) {
    const int server = refusing_ ? -1 : connectTo(target_, 1000);
    if (server < 0) return resetSocket(client);
    char chunk[16384];
    bool open = true;
    while (open && !refusing_) {
      pollfd waiting[2] = {{client, POLLIN, 0}, {server, POLLIN, 0}};
      if (::poll(waiting, 2, 20) < 0) break;
      for (int i = 0; i < 2; ++i) {
        if (waiting[i].revents == 0) continue;
        const ssize_t count = ::recv(waiting[i].fd, chunk, sizeof chunk, 0);
        if (count <= 0 || !sendAll(i == 0 ? server : client, std::string(chunk, static_cast<std::size_t>(count))))
          open = false;
      }
    }
    resetSocket(client);
    resetSocket(server);
  }
  int target_;
  int port_ = 0;
  std::atomic<bool> refusing_{false};
};

}  // namespace review
