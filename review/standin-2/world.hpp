// Small stand-ins of everything around the controllers, in one process and on the real clock: state service, cloud,
// workers, users, and the links between controllers. They follow PROTOCOL-reachhoist.md. One thread serves one
// connection; one lock guards the world.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace world {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

// --- time and record ------------------------------------------------------------------------------------------

inline const Clock::time_point kStart = Clock::now();
inline double now() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline void sleepFor(double s) {
  if (s > 0) std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

// The record: what was sent, answered and run, one line each.
class Record {
 public:
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%8.3f ", now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
inline Record record;

inline double uniform(double low, double high) {
  thread_local std::mt19937_64 engine{std::random_device{}()};
  return std::uniform_real_distribution<double>(low, high)(engine);
}

// --- sockets and HTTP -----------------------------------------------------------------------------------------

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// Listens on a port of 127.0.0.1; 0 takes a free one. Returns the descriptor and sets the port.
inline int listenOn(std::uint16_t& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  sockaddr_in address = loopback(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 256) != 0) {
    ::close(fd);
    return -1;
  }
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

// Ports for the controllers, which bind them later. They stay below the range of outgoing connections.
inline std::uint16_t freePort() {
  static std::atomic<unsigned> next{static_cast<unsigned>(uniform(12000, 31000))};
  for (;;) {
    std::uint16_t port = static_cast<std::uint16_t>(next++);
    if (port > 32000) next = 12000;
    const int fd = listenOn(port);
    if (fd < 0) continue;
    ::close(fd);
    return port;
  }
}

inline std::string endpointOf(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }
inline std::uint16_t portOf(const std::string& endpoint) {
  return static_cast<std::uint16_t>(std::stoi(endpoint.substr(endpoint.rfind(':') + 1)));
}

inline bool waitFor(int fd, short events, double deadline) {
  pollfd entry{fd, events, 0};
  const double left = deadline - now();
  return left > 0 && ::poll(&entry, 1, static_cast<int>(left * 1000) + 1) > 0;
}

inline int connectTo(std::uint16_t port, double deadline) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int enabled = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  sockaddr_in address = loopback(port);
  int error = 0;
  socklen_t size = sizeof error;
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 ||
      (errno == EINPROGRESS && waitFor(fd, POLLOUT, deadline) &&
       ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0))
    return fd;
  ::close(fd);
  return -1;
}

inline bool writeAll(int fd, const char* data, std::size_t size, double deadline) {
  while (size > 0) {
    const ssize_t sent = ::send(fd, data, size, MSG_NOSIGNAL);
    if (sent > 0) {
      data += sent;
      size -= static_cast<std::size_t>(sent);
    } else if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      if (!waitFor(fd, POLLOUT, deadline)) return false;
    } else if (errno != EINTR) {
      return false;
    }
  }
  return true;
}

struct Message {
  std::string method, target;
  int status = 0;
  Json body;
};

// Reads one HTTP message. `buffer` keeps what follows it.
inline bool readMessage(int fd, std::string& buffer, double deadline, Message& message) {
  const auto more = [&] {
    char chunk[16384];
    for (;;) {
      if (!waitFor(fd, POLLIN, deadline)) return false;
      const ssize_t got = ::recv(fd, chunk, sizeof chunk, MSG_DONTWAIT);
      if (got > 0) return buffer.append(chunk, static_cast<std::size_t>(got)), true;
      if (got == 0 || (errno != EAGAIN && errno != EINTR)) return false;
    }
  };
  std::size_t end;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
    if (!more()) return false;
  std::istringstream head(buffer.substr(0, end));
  std::string first, second;
  head >> first >> second;
  std::size_t length = 0;
  for (std::string line; std::getline(head, line);) {
    std::transform(line.begin(), line.end(), line.begin(), [](unsigned char c) { return std::tolower(c); });
    if (line.rfind("content-length:", 0) == 0) length = std::stoul(line.substr(15));
  }
  buffer.erase(0, end + 4);
  while (buffer.size() < length)
    if (!more()) return false;
  if (first.rfind("HTTP/", 0) == 0) {
    message.status = std::stoi(second);
  } else {
    message.method = first;
    message.target = second;
  }
  const std::string body = buffer.substr(0, length);
  buffer.erase(0, length);
  message.body = body.empty() ? Json() : Json::from_cbor(body, true, false);
  return true;
}

inline std::string encodeBody(const Json& body) {
  std::string bytes;
  if (!body.is_null()) Json::to_cbor(body, bytes);
  return bytes;
}

struct Answer {
  int status = 0;  // 0: no answer; the connection stays open and silent until the client closes it
  Json body;
};
using Handler = std::function<Answer(const Message&)>;

inline void serveConnection(int fd, const Handler& handler) {
  std::string buffer;
  for (;;) {
    Message request;
    if (!readMessage(fd, buffer, now() + 120, request)) break;
    const Answer answer = handler(request);
    if (answer.status == 0) {
      char byte;
      while (waitFor(fd, POLLIN, now() + 120) && ::recv(fd, &byte, 1, 0) > 0) {
      }
      break;
    }
    const std::string body = encodeBody(answer.body);
    const std::string head = "HTTP/1.1 " + std::to_string(answer.status) +
                             " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    const std::string bytes = head + body;
    if (!writeAll(fd, bytes.data(), bytes.size(), now() + 5)) break;
  }
  ::close(fd);
}

// Serves HTTP on a free port for the rest of the program. Returns the port.
inline std::uint16_t serve(Handler handler) {
  std::uint16_t port = 0;
  const int listener = listenOn(port);
  std::thread([listener, handler = std::move(handler)] {
    for (;;) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int enabled = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
      std::thread(serveConnection, fd, handler).detach();
    }
  }).detach();
  return port;
}

// One client connection that is kept open between requests.
class Connection {
 public:
  ~Connection() { reset(); }
  void reset() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
    buffer_.clear();
  }
  // Status 0: no answer, or the connection failed.
  Message call(std::uint16_t port, const std::string& method, const std::string& target, const Json& body,
               double timeoutS) {
    const double deadline = now() + timeoutS;
    Message answer;
    if (port_ != port) reset();
    port_ = port;
    if (fd_ >= 0) {
      char byte;
      const ssize_t got = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      if (got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) reset();
    }
    if (fd_ < 0) fd_ = connectTo(port, deadline);
    if (fd_ < 0) return answer;
    const std::string bytes = encodeBody(body);
    const std::string request = method + " " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                                std::to_string(bytes.size()) + "\r\n\r\n" + bytes;
    if (!writeAll(fd_, request.data(), request.size(), deadline) || !readMessage(fd_, buffer_, deadline, answer)) {
      reset();
      return Message{};
    }
    return answer;
  }

 private:
  int fd_ = -1;
  std::uint16_t port_ = 0;
  std::string buffer_;
};

inline Message callOnce(std::uint16_t port, const std::string& method, const std::string& target, const Json& body,
                        double timeoutS) {
  Connection connection;
  return connection.call(port, method, target, body, timeoutS);
}

inline std::map<std::string, std::string> queryOf(const std::string& target) {
  std::map<std::string, std::string> values;
  const auto mark = target.find('?');
  if (mark == std::string::npos) return values;
  std::istringstream list(target.substr(mark + 1));
  for (std::string item; std::getline(list, item, '&');) {
    const auto equals = item.find('=');
    values[item.substr(0, equals)] = equals == std::string::npos ? "" : item.substr(equals + 1);
  }
  return values;
}

template <class T>
T valueOr(const Json& map, const char* key, T fallback) {
  if (!map.is_object()) return fallback;
  const auto found = map.find(key);
  return found == map.end() || found->is_null() ? fallback : found->get<T>();
}

// --- state service --------------------------------------------------------------------------------------------

class StateService {
 public:
  StateService(double requestsPerS, double writesPerS)
      : requestsPerS_(requestsPerS), writesPerS_(writesPerS), requests_(requestsPerS), writes_(writesPerS) {}

  // Requests that this returns a value for are answered so instead (a 503 for one controller, no answer ...).
  // It is asked with the controller that the request came from.
  std::function<std::optional<Answer>(const std::string& from, const Message&)> trouble;

  std::uint16_t serveFor(const std::string& controller) {
    return serve([this, controller](const Message& request) { return handle(controller, request); });
  }

  std::string leader() {
    const std::lock_guard lock(mutex_);
    expireLeases();
    const auto found = keys_.find("leader");
    return found == keys_.end() ? "" : valueOr<std::string>(found->second.value, "label", "");
  }

 private:
  struct Entry {
    Json value;
    std::uint64_t stamp = 0;
    std::uint64_t permit = 0;
  };
  struct Change {
    std::string key;
    std::optional<Json> value;
    std::uint64_t stamp;
  };
  struct Lease {
    double ttlS;
    double endsAt;
  };

  Answer handle(const std::string& controller, const Message& request) {
    if (trouble)
      if (auto answer = trouble(controller, request)) return *answer;
    std::unique_lock lock(mutex_);
    expireLeases();
    const bool renewed = take(requests_, requestsPerS_, 1, requestsAt_);
    if (!renewed) return {429, Json{{"error", "too many requests"}}};
    const std::string path = request.target.substr(0, request.target.find('?'));
    auto query = queryOf(request.target);
    if (request.method == "POST" && path == "/multi") return multi(request.body);
    if (request.method == "GET" && path == "/keys") return list(query);
    if (request.method == "GET" && path.rfind("/keys/", 0) == 0) return get(path.substr(6));
    if (request.method == "GET" && path == "/changes") return changes(lock, query);
    if (path.rfind("/leases", 0) == 0) return lease(request, path);
    return {400, Json{{"error", "bad request"}}};
  }

  static bool take(double& tokens, double rate, double cost, double& at) {
    const double time = now();
    tokens = std::min(rate, tokens + rate * (time - at));
    at = time;
    if (tokens < cost) return false;
    tokens -= cost;
    return true;
  }

  Answer get(const std::string& key) {
    const auto found = keys_.find(key);
    if (found == keys_.end()) return {404, Json{{"ledger", ledger_}}};
    Json body{{"key", key}, {"value", found->second.value}, {"stamp", found->second.stamp}};
    if (found->second.permit != 0) body["permit"] = found->second.permit;
    return {200, body};
  }

  Answer list(std::map<std::string, std::string>& query) {
    const std::string& under = query["under"];
    const std::size_t limit = query.contains("limit") ? std::stoul(query["limit"]) : 1000;
    Json pairs = Json::array();
    bool more = false;
    auto it = query.contains("after") ? keys_.upper_bound(query["after"]) : keys_.lower_bound(under);
    if (it != keys_.end() && it->first < under) it = keys_.lower_bound(under);
    for (; it != keys_.end() && it->first.rfind(under, 0) == 0; ++it) {
      if (pairs.size() >= limit) {
        more = true;
        break;
      }
      pairs.push_back(Json{{"key", it->first}, {"value", it->second.value}, {"stamp", it->second.stamp}});
    }
    return {200, Json{{"pairs", pairs}, {"more", more}, {"ledger", ledger_}}};
  }

  Answer multi(const Json& body) {
    if (!body.is_object()) return {400, Json{{"error", "malformed"}}};
    const Json apply = body.value("apply", Json::array());
    if (!apply.empty() && !take(writes_, writesPerS_, static_cast<double>(apply.size()), writesAt_))
      return {429, Json{{"error", "too many changes"}}};
    for (const Json& change : apply)
      if (change.contains("permit") && !change["permit"].is_null() &&
          !leases_.contains(change["permit"].get<std::uint64_t>()))
        return {400, Json{{"error", "no such lease"}}};
    Json failed = Json::array();
    for (const Json& condition : body.value("if", Json::array())) {
      const auto found = keys_.find(condition["key"].get<std::string>());
      const std::uint64_t stamp = found == keys_.end() ? 0 : found->second.stamp;
      if (stamp != condition["stamp"].get<std::uint64_t>()) failed.push_back(condition["key"]);
    }
    if (!failed.empty()) return {409, Json{{"failed", failed}, {"ledger", ledger_}}};
    if (!apply.empty()) ++ledger_;
    for (const Json& change : apply) {
      if (change.contains("write")) {
        put(change["write"].get<std::string>(), change["value"], valueOr<std::uint64_t>(change, "permit", 0));
      } else {
        erase(change["delete"].get<std::string>());
      }
    }
    changed_.notify_all();
    return {200, Json{{"ledger", ledger_}}};
  }

  void put(const std::string& key, const Json& value, std::uint64_t permit) {
    keys_[key] = Entry{value, ledger_, permit};
    log_.push_back({key, value, ledger_});
    trim();
  }
  void erase(const std::string& key) {
    if (keys_.erase(key) == 0) return;
    log_.push_back({key, std::nullopt, ledger_});
    trim();
  }
  void trim() {
    while (log_.size() > 10000) {
      lost_ = log_.front().stamp;
      log_.pop_front();
    }
  }

  Answer changes(std::unique_lock<std::mutex>& lock, std::map<std::string, std::string>& query) {
    const std::string under = query["under"];
    const std::uint64_t after = std::stoull(query["after"]);
    const double deadline = now() + (query.contains("blockMs") ? std::stod(query["blockMs"]) / 1000 : 0);
    for (;;) {
      expireLeases();
      if (after < lost_) return {410, Json{{"error", "too old"}}};
      Json news = Json::array();
      for (auto it = log_.rbegin(); it != log_.rend() && it->stamp > after; ++it) {
        if (it->key.rfind(under, 0) != 0) continue;
        Json entry{{"stamp", it->stamp}};
        if (it->value) {
          entry["write"] = it->key;
          entry["value"] = *it->value;
        } else {
          entry["delete"] = it->key;
        }
        news.push_back(std::move(entry));
      }
      std::reverse(news.begin(), news.end());
      if (!news.empty() || now() >= deadline) return {200, Json{{"ledger", ledger_}, {"news", news}}};
      changed_.wait_for(lock, std::chrono::milliseconds(20));
    }
  }

  Answer lease(const Message& request, const std::string& path) {
    if (request.method == "POST" && path == "/leases") {
      const double ttlS = request.body["ttlMs"].get<double>() / 1000;
      leases_[++lastLease_] = Lease{ttlS, now() + ttlS};
      return {200, Json{{"permit", lastLease_}}};
    }
    const std::uint64_t id = std::stoull(path.substr(8));
    const auto found = leases_.find(id);
    if (found == leases_.end()) return {404, Json{{"error", "no such lease"}}};
    if (request.method == "DELETE") {
      endLease(id);
    } else {
      found->second.endsAt = now() + found->second.ttlS;
    }
    return {200, Json{{"permit", id}}};
  }

  void endLease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> ended;
    for (const auto& [key, entry] : keys_)
      if (entry.permit == id) ended.push_back(key);
    if (ended.empty()) return;
    ++ledger_;
    for (const std::string& key : ended) erase(key);
    changed_.notify_all();
  }
  void expireLeases() {
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : leases_)
      if (lease.endsAt <= now()) ended.push_back(id);
    for (const std::uint64_t id : ended) endLease(id);
  }

  const double requestsPerS_, writesPerS_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> keys_;
  std::deque<Change> log_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t ledger_ = 0, lost_ = 0, lastLease_ = 0;
  double requests_, writes_;
  double requestsAt_ = 0, writesAt_ = 0;
};

// --- jobs, as their users submitted them ----------------------------------------------------------------------

struct JobInfo {
  Json spec;
  double runS = 0;  // run time of each task; daemons run on
};

// --- workers --------------------------------------------------------------------------------------------------

struct Timing {
  double reportS, leaseS, cancelS;
};

// What happens to tasks, for the checks of a case. Called with the world locked.
struct TaskEvent {
  enum Kind { started, ended } kind;
  std::string task, host, cause;
  std::uint64_t attempt;
};

struct Shared {
  std::recursive_mutex mutex;
  std::map<std::string, JobInfo> jobs;
  std::vector<std::pair<std::string, std::uint16_t>> controllers;  // label, port that workers use
  Timing timing;
  std::function<void(const TaskEvent&)> onTask = [](const TaskEvent&) {};
  // What stands between controllers and a worker: takes the worker's port, returns the one to connect to.
  std::function<std::uint16_t(const std::string& host, std::uint16_t port)> workerVia;
};

class Worker {
 public:
  Worker(Shared& shared, std::string name, Json type, std::string zone, bool spot)
      : shared_(shared), name_(std::move(name)), type_(std::move(type)), zone_(std::move(zone)), spot_(spot) {}

  // Troubles of this machine. Set them with the world locked.
  bool sick = false;                     // fails every task that it starts
  std::set<std::string> unreachable;     // controllers that it and its answers don't reach, as behind a cut
  bool commandsHeld = false;             // direct commands to it are held up
  std::optional<double> nextReportAt;    // within the bounds of report_s, for a fixed phase
  bool gone = false;

  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  bool spot() const { return spot_; }
  std::string type() const { return type_["label"]; }
  std::string controller() const { return shared_.controllers[node_].first; }
  double lastReportAt() const { return lastReportAt_; }
  std::string endpoint() const { return endpoint_; }
  bool isUp() const { return up_; }

  // The endpoint is known from the rental on; the worker serves it once it is up.
  void rent() {
    const std::uint16_t port = serve([this](const Message& request) { return direct(request); });
    endpoint_ = endpointOf(shared_.workerVia ? shared_.workerVia(name_, port) : port);
  }
  void start() {
    const std::lock_guard lock(shared_.mutex);
    up_ = true;
    sessionSince_ = lastAnsweredSent_ = now();
    node_ = static_cast<std::size_t>(uniform(0, static_cast<double>(shared_.controllers.size()) - 0.001));
    std::thread([this] { reportLoop(); }).detach();
    std::thread([this] { taskLoop(); }).detach();
  }
  bool runs(const std::string& task) const {
    for (const Task& entry : tasks_)
      if (entry.task == task && (entry.stage == "running" || entry.stage == "saving")) return true;
    return false;
  }
  bool lists(const std::string& task) const {
    return std::any_of(tasks_.begin(), tasks_.end(), [&](const Task& entry) { return entry.task == task; });
  }
  double usedCpus() const {
    double used = 0;
    for (const Task& entry : tasks_)
      if (entry.stage != "ended") used += entry.vcpus;
    return used;
  }

 private:
  struct Task {
    std::string task;
    std::uint64_t attempt;
    std::string stage, cause;
    double vcpus = 0, memoryGb = 0;
    double readyAt = 0;  // has its image
    double endsAt = 0;
    bool stored = false;
  };

  Json report() {
    Json loads = Json::array();
    for (const Task& task : tasks_) {
      Json entry{{"load", task.task}, {"try", task.attempt}, {"stage", task.stage}};
      if (task.stage == "ended") entry["cause"] = task.cause;
      if (task.stored) entry["stored"] = true;
      loads.push_back(entry);
    }
    return Json{{"host", name_},   {"endpoint", endpoint_}, {"rig", type_["label"]}, {"yard", zone_},
                {"loaners", spot_}, {"shift", shift_},       {"tally", ++tally_},     {"baton", baton_},
                {"recallS", nullptr}, {"loads", loads}};
  }

  Answer direct(const Message& request) {
    std::unique_lock lock(shared_.mutex);
    if (!up_ || gone) return {};
    if (commandsHeld) {
      record.line("%s %s held up on its way to %s", request.method.c_str(), request.target.c_str(), name_.c_str());
      return {};
    }
    expire();
    if (request.method == "GET") return {200, report()};
    if (!request.body.is_object() || !request.body.contains("baton") || !request.body.contains("shift"))
      return {400, Json{{"error", "baton or shift is missing"}}};
    if (request.body["baton"].get<std::uint64_t>() < baton_ || request.body["shift"].get<std::uint64_t>() != shift_)
      return {409, report()};
    baton_ = request.body["baton"].get<std::uint64_t>();
    record.line("commands to %s: %s", name_.c_str(), request.body["orders"].dump().c_str());
    execute(request.body["orders"]);
    return {200, report()};
  }

  void execute(const Json& orders) {
    for (const Json& order : orders) {
      const std::string verb = order["verb"], task = order["load"];
      const std::uint64_t attempt = order["try"];
      const auto same = [&](const Task& entry) { return entry.task == task && entry.attempt == attempt; };
      const auto found = std::find_if(tasks_.begin(), tasks_.end(), same);
      if (verb == "launch" && found == tasks_.end()) launch(task, attempt);
      if (verb == "halt" && found != tasks_.end() && found->stage != "ended") end(*found, "halted");
      if (verb == "reap" && found != tasks_.end() && found->stage == "ended") tasks_.erase(found);
    }
  }

  void launch(const std::string& task, std::uint64_t attempt) {
    Task entry{task, attempt, "pulling", ""};
    const auto slash = task.find('/');
    const auto job = shared_.jobs.find(task.substr(0, slash));
    double cpus = 0, memory = 0;
    bool inUse = false;
    for (const Task& other : tasks_) {
      if (other.stage == "ended") continue;
      cpus += other.vcpus;
      memory += other.memoryGb;
      inUse = inUse || other.task == task;
    }
    if (job == shared_.jobs.end() || std::stoul(task.substr(slash + 1)) >= job->second.spec["loads"].get<unsigned>()) {
      entry.stage = "ended";
      entry.cause = "unknown";
    } else if (inUse) {
      entry.stage = "ended";
      entry.cause = "in_use";
    } else {
      entry.vcpus = job->second.spec["vcpus"];
      entry.memoryGb = job->second.spec["memoryGb"];
      const std::string crate = job->second.spec["crate"];
      const bool fits = cpus + entry.vcpus <= type_["vcpus"].get<double>() + 1e-9 &&
                        memory + entry.memoryGb <= type_["memoryGb"].get<double>() + 1e-9;
      if (!fits) {
        entry.stage = "ended";
        entry.cause = "no_room";
      } else if (images_.contains(crate)) {
        entry.readyAt = std::max(now(), images_[crate]);
      } else {
        entry.readyAt = images_[crate] =
            now() + job->second.spec["sizeGb"].get<double>() / type_["pullGbPerS"].get<double>();
      }
    }
    changed_ = true;
    tasks_.push_back(entry);
  }

  void end(Task& task, const std::string& cause) {
    const bool started = task.stage == "running" || task.stage == "saving";
    task.stage = "ended";
    task.cause = cause;
    changed_ = true;
    record.line("task %s try %llu ended on %s: %s", task.task.c_str(), (unsigned long long)task.attempt,
                name_.c_str(), cause.c_str());
    if (started) shared_.onTask({TaskEvent::ended, task.task, name_, cause, task.attempt});
  }

  void expire() {
    if (now() - lastAnsweredSent_ <= shared_.timing.leaseS) return;
    record.line("lease of %s ran out", name_.c_str());
    for (Task& task : tasks_)
      if (task.stage != "ended") end(task, "killed");
    tasks_.clear();
    ++shift_;
    sessionSince_ = lastAnsweredSent_ = now();
    changed_ = true;
  }

  void taskLoop() {
    for (;;) {
      sleepFor(0.01);
      const std::lock_guard lock(shared_.mutex);
      if (gone) return;
      expire();
      for (Task& task : tasks_) {
        if (task.stage == "pulling" && now() >= task.readyAt) {
          const JobInfo& job = shared_.jobs.at(task.task.substr(0, task.task.find('/')));
          task.stage = "running";
          task.endsAt = job.spec["shape"] == "daemon" ? 1e18 : now() + job.runS;
          changed_ = true;
          record.line("task %s try %llu runs on %s (%s, %s, %s)", task.task.c_str(), (unsigned long long)task.attempt,
                      name_.c_str(), type().c_str(), zone_.c_str(), spot_ ? "spot" : "ordinary");
          shared_.onTask({TaskEvent::started, task.task, name_, "", task.attempt});
          if (sick) end(task, "error");
        } else if (task.stage == "running" && now() >= task.endsAt) {
          end(task, "done");
        }
      }
    }
  }

  // One report at a time, to one controller at a time.
  void reportLoop() {
    Connection connection;
    double nextAt = now();
    double pauseUntil = 0;
    for (;;) {
      sleepFor(0.01);
      std::unique_lock lock(shared_.mutex);
      if (gone) return;
      expire();
      if (nextReportAt) nextAt = *std::exchange(nextReportAt, std::nullopt);
      const bool due = now() >= nextAt || (changed_ && now() - lastReportAt_ >= 0.5);
      if (!due || now() < pauseUntil) continue;
      changed_ = false;
      const Json body = report();
      const std::uint64_t shift = shift_;
      const auto [label, port] = shared_.controllers[node_];
      const double sentAt = lastReportAt_ = now();
      nextAt = sentAt + shared_.timing.reportS * uniform(0.8, 1.2);
      const bool cut = unreachable.contains(label);
      lock.unlock();
      Message answer;
      if (cut) {
        connection.reset();
        sleepFor(4);
      } else {
        answer = connection.call(port, "POST", "/v1/report", body, 4);
      }
      lock.lock();
      if (gone) return;
      if (answer.status != 200) {
        if (verbose || answer.status == 0)
          record.line("report %s -> %s: %d%s", name_.c_str(), label.c_str(), answer.status,
                      cut ? " (cut off)" : "");
        connection.reset();
        const std::string foreman = answer.status == 421 ? valueOr<std::string>(answer.body, "foreman", "") : "";
        std::size_t next = (node_ + 1) % shared_.controllers.size();
        bool named = false;
        for (std::size_t i = 0; i < shared_.controllers.size(); ++i)
          if (shared_.controllers[i].first == foreman && i != node_) {
            next = i;
            named = true;
          }
        node_ = next;
        pauseUntil = now() + (named ? 0.05 : 1.0);
        nextAt = pauseUntil;
        continue;
      }
      if (unreachable.contains(label)) continue;  // the answer was lost in the cut
      if (shift != shift_) continue;
      const std::uint64_t token = valueOr<std::uint64_t>(answer.body, "baton", 0);
      if (token < baton_ || token == 0) {
        record.line("answer of %s to %s dropped: token %llu below %llu", label.c_str(), name_.c_str(),
                    (unsigned long long)token, (unsigned long long)baton_);
        continue;
      }
      if (token > baton_ && now() - tokenReportedAt_ > shared_.timing.leaseS / 2) {
        tokenReportedAt_ = now();
        changed_ = true;
      }
      baton_ = token;
      lastAnsweredSent_ = std::max(lastAnsweredSent_, sentAt);
      const Json& orders = answer.body["orders"];
      if (!orders.empty())
        record.line("answer of %s to the report of %s: %s", label.c_str(), name_.c_str(), orders.dump().c_str());
      execute(orders);
    }
  }

 public:
  bool verbose = true;

 private:
  Shared& shared_;
  const std::string name_;
  const Json type_;
  const std::string zone_;
  const bool spot_;
  std::string endpoint_;
  bool up_ = false;
  std::vector<Task> tasks_;
  std::map<std::string, double> images_;  // image -> time at which it is there
  std::uint64_t shift_ = 1, tally_ = 0, baton_ = 0;
  std::size_t node_ = 0;
  bool changed_ = false;
  double lastReportAt_ = 0, lastAnsweredSent_ = 0, sessionSince_ = 0, tokenReportedAt_ = -1e9;
};

// --- cloud ----------------------------------------------------------------------------------------------------

class Cloud {
 public:
  struct Pool {
    std::string type, zone;
    bool spot;
    int capacity;
  };
  Cloud(Shared& shared, std::vector<Json> types, std::vector<Pool> pools, double listLagS)
      : shared_(shared), types_(std::move(types)), pools_(std::move(pools)), listLagS_(listLagS) {}

  double bootS = 1.5;
  std::map<std::string, double> bootOfZoneS;  // where it differs
  std::map<std::string, std::unique_ptr<Worker>> workers;  // by name; guarded by the world's lock

  std::uint16_t start() {
    return serve([this](const Message& request) { return handle(request); });
  }

 private:
  struct Host {
    std::string name, type, zone;
    bool spot;
    double rentedAt, upAt;
    double goneAt = 1e18;
  };

  Answer handle(const Message& request) {
    const std::lock_guard lock(shared_.mutex);
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/catalog") {
      Json rigs = Json::array();
      for (const Json& type : types_) rigs.push_back(type);
      return {200, Json{{"rigs", rigs}}};
    }
    if (request.method == "POST" && path == "/hosts") return rent(request.body);
    if (request.method == "POST" && path == "/hosts/return") return giveBack(request.body);
    if (request.method == "GET" && path == "/hosts") return list(request.target);
    return {400, Json{{"error", "bad request"}}};
  }

  Answer rent(const Json& body) {
    const std::string hire = body["hire"];
    if (const auto found = answers_.find(hire); found != answers_.end()) return {200, found->second};
    const std::string type = body["rig"], zone = body["yard"];
    const bool spot = body["loaners"];
    Json names = Json::array();
    for (Pool& pool : pools_) {
      if (pool.type != type || pool.zone != zone || pool.spot != spot) continue;
      int used = 0;
      for (const Host& host : hosts_)
        if (host.type == type && host.zone == zone && host.spot == spot && host.goneAt > now()) ++used;
      for (int i = body["number"].get<int>(); i > 0 && used < pool.capacity; --i, ++used) names.push_back(add(pool));
    }
    if (names.empty()) {
      record.line("cloud: no capacity for %s %s %s", type.c_str(), zone.c_str(), spot ? "spot" : "ordinary");
      return {503, Json{{"error", "no capacity"}}};
    }
    record.line("cloud: %s rents %s %s %s: %s", hire.c_str(), type.c_str(), zone.c_str(), spot ? "spot" : "ordinary",
                names.dump().c_str());
    answers_[hire] = Json{{"hosts", names}};
    return {200, answers_[hire]};
  }

  std::string add(const Pool& pool) {
    char name[32];
    std::snprintf(name, sizeof name, "vm-%06d", ++count_);
    Json spec;
    for (const Json& type : types_)
      if (type["label"] == pool.type) spec = type;
    const auto zoneBoot = bootOfZoneS.find(pool.zone);
    const double boot = zoneBoot == bootOfZoneS.end() ? bootS : zoneBoot->second;
    hosts_.push_back(Host{name, pool.type, pool.zone, pool.spot, now(), now() + boot});
    auto worker = std::make_unique<Worker>(shared_, name, spec, pool.zone, pool.spot);
    worker->rent();
    Worker* raw = worker.get();
    workers[name] = std::move(worker);
    std::thread([raw, boot] {
      sleepFor(boot);
      if (!raw->gone) raw->start();
    }).detach();
    return name;
  }

  Answer giveBack(const Json& body) {
    for (const Json& name : body["hosts"])
      for (Host& host : hosts_) {
        if (host.name != name.get<std::string>() || host.goneAt < 1e17) continue;
        host.goneAt = now();
        workers.at(host.name)->gone = true;
        record.line("cloud: %s returned", host.name.c_str());
      }
    return {200, Json::object()};
  }

  Answer list(const std::string& target) {
    auto query = queryOf(target);
    const double seen = now() - listLagS_;  // the list shows the past
    Json entries = Json::array();
    for (const Host& host : hosts_) {
      if (host.name <= query["after"] || host.rentedAt > seen || host.goneAt <= seen) continue;
      entries.push_back(Json{{"ref", host.name},
                             {"endpoint", workers.at(host.name)->endpoint()},
                             {"rig", host.type},
                             {"yard", host.zone},
                             {"loaners", host.spot},
                             {"stage", host.upAt <= seen ? "running" : "starting"},
                             {"ageS", seen - host.rentedAt}});
    }
    return {200, Json{{"hosts", entries}, {"more", false}}};
  }

  Shared& shared_;
  std::vector<Json> types_;
  std::vector<Pool> pools_;
  const double listLagS_;
  std::vector<Host> hosts_;
  std::map<std::string, Json> answers_;
  int count_ = 0;
};

// --- controllers ----------------------------------------------------------------------------------------------

// The controllers' processes, started with the run command of the deploy file.
class Controllers {
 public:
  struct Process {
    std::string label, area;
    std::uint16_t port = 0, peerPort = 0;
    std::uint16_t statePort = 0;  // where it finds the state service
    std::map<std::string, std::uint16_t> peerVia;  // sibling -> port of a link in between
    pid_t pid = -1;
  };
  std::vector<Process> all;
  std::string directory;
  std::string run;  // the run command, whose last argument is the settings file
  Json facts;
  std::uint16_t cloudPort = 0;

  void add(const std::string& label, const std::string& area) {
    Process process;
    process.label = label;
    process.area = area;
    process.port = freePort();
    process.peerPort = freePort();
    all.push_back(process);
  }
  Process& at(const std::string& label) {
    for (Process& process : all)
      if (process.label == label) return process;
    std::abort();
  }
  void start(const std::string& label) {
    Process& process = at(label);
    Json siblings = Json::array();
    for (Process& other : all) {
      if (other.label == label) continue;
      const auto via = process.peerVia.find(other.label);
      siblings.push_back(Json{{"label", other.label},
                              {"area", other.area},
                              {"endpoint", endpointOf(via == process.peerVia.end() ? other.peerPort : via->second)}});
    }
    const Json settings{{"label", label},
                        {"area", process.area},
                        {"bind", endpointOf(process.port)},
                        {"peer_listen", endpointOf(process.peerPort)},
                        {"siblings", siblings},
                        {"endpoints", {{"cloud", endpointOf(cloudPort)}, {"state", endpointOf(process.statePort)}}},
                        {"facts", facts}};
    const std::string path = directory + "/" + label + ".json";
    std::ofstream(path) << settings.dump(1);
    std::vector<std::string> words;
    std::istringstream list(run);
    for (std::string word; list >> word;) words.push_back(word);
    words.push_back(path);
    std::vector<char*> arguments;
    for (std::string& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const std::string log = directory + "/" + label + ".log";
    const pid_t parent = ::getpid();
    process.pid = ::fork();
    if (process.pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(1);
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 2);
      ::dup2(fd, 1);
      ::execv(arguments[0], arguments.data());
      ::_exit(127);
    }
    record.line("controller %s started", label.c_str());
  }
  void kill(const std::string& label) {
    Process& process = at(label);
    if (process.pid <= 0) return;
    ::kill(process.pid, SIGKILL);
    ::waitpid(process.pid, nullptr, 0);
    process.pid = -1;
    record.line("controller %s killed", label.c_str());
  }
  void signal(const std::string& label, int number) {
    record.line("controller %s: signal %s", label.c_str(), strsignal(number));
    ::kill(at(label).pid, number);
  }
  bool isRunning(const std::string& label) {
    Process& process = at(label);
    return process.pid > 0 && ::waitpid(process.pid, nullptr, WNOHANG) == 0;
  }
  void killAll() {
    for (Process& process : all) kill(process.label);
  }
};

// --- the deployment -------------------------------------------------------------------------------------------

struct World {
  World(const std::string& directory, Timing timing, double stateRps, double stateWriteRps, std::vector<Json> types,
        std::vector<Cloud::Pool> pools, double listLagS)
      : state(stateRps, stateWriteRps), cloud(shared, std::move(types), std::move(pools), listLagS) {
    shared.timing = timing;
    controllers.directory = directory;
    controllers.run = std::getenv("RUN_COMMAND") != nullptr ? std::getenv("RUN_COMMAND") : "";
    controllers.cloudPort = cloud.start();
  }
  void addController(const std::string& label, const std::string& area) {
    controllers.add(label, area);
    controllers.all.back().statePort = state.serveFor(label);
    shared.controllers.emplace_back(label, controllers.all.back().port);
  }

  // Submits a job as its user does, until it is accepted or refused. Returns the status.
  int submit(const Json& spec, double runS, double patienceS = 60) {
    const std::string ref = spec["ref"];
    {
      const std::lock_guard lock(shared.mutex);
      shared.jobs[ref] = JobInfo{spec, runS};
    }
    const double deadline = now() + patienceS;
    for (int attempt = 0; now() < deadline; ++attempt) {
      const auto [label, port] = user(attempt);
      const Message answer = callOnce(port, "POST", "/api/jobs", spec, 5);
      record.line("user: submit %s -> %s: %d %s", ref.c_str(), label.c_str(), answer.status,
                  answer.body.dump().c_str());
      if (answer.status == 200 || answer.status == 201 || answer.status == 400 || answer.status == 422)
        return answer.status;
      sleepFor(1);
    }
    return 0;
  }
  // Asks once. Status 0: no answer within the user's 2 s.
  Message poll(const std::string& ref, const std::string& label) {
    return callOnce(controllers.at(label).port, "GET", "/api/jobs/" + ref, Json(), 2);
  }
  std::string stage(const std::string& ref) {
    for (std::size_t i = 0; i < controllers.all.size(); ++i) {
      const Message answer = poll(ref, controllers.all[i].label);
      if (answer.status == 200) return valueOr<std::string>(answer.body, "stage", "");
      if (answer.status == 404) return "404";
    }
    return "";
  }
  int abort(const std::string& ref, double patienceS = 60) {
    const double deadline = now() + patienceS;
    for (int attempt = 0; now() < deadline; ++attempt) {
      const auto [label, port] = user(attempt);
      const Message answer = callOnce(port, "POST", "/api/jobs/" + ref + "/abort", Json(), 5);
      record.line("user: abort %s -> %s: %d %s", ref.c_str(), label.c_str(), answer.status,
                  answer.body.dump().c_str());
      if (answer.status == 200) return 200;
      sleepFor(1);
    }
    return 0;
  }
  bool waitUntil(const std::function<bool()>& condition, double timeoutS) {
    const double deadline = now() + timeoutS;
    while (now() < deadline) {
      if (condition()) return true;
      sleepFor(0.02);
    }
    return condition();
  }
  bool healthy(const std::string& label) {
    if (!controllers.isRunning(label)) return false;
    return callOnce(controllers.at(label).port, "GET", "/healthz", Json(), 1).status == 200;
  }

  Shared shared;
  StateService state;
  Cloud cloud;
  Controllers controllers;

 private:
  std::pair<std::string, std::uint16_t> user(int attempt) {
    const std::size_t index = (userStart_ + static_cast<std::size_t>(attempt)) % shared.controllers.size();
    return shared.controllers[index];
  }
  std::size_t userStart_ = 0;
};

// Ends the program with a status, after all processes that it started.
[[noreturn]] inline void finish(World& world, int status) {
  world.controllers.killAll();
  if (const char* keep = std::getenv("KEEP_LOGS")) {
    std::error_code error;
    std::filesystem::copy(world.controllers.directory, keep,
                          std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing,
                          error);
  }
  std::error_code error;
  std::filesystem::remove_all(world.controllers.directory, error);
  std::fflush(nullptr);
  ::_exit(status);
}

inline bool withTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline std::string temporaryFolder() {
  std::string path = (std::filesystem::temp_directory_path() / "reachhoist-review-XXXXXX").string();
  return ::mkdtemp(path.data()) != nullptr ? path : "";
}

}  // namespace world
