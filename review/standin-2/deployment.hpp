// A small deployment on loopback addresses and the real clock: the controllers run as processes of their own, and the
// state service, the cloud, the workers and the users are stand-ins in this process, one thread for each connection.
// The stand-ins follow ../given/docs/PROTOCOL-reachhoist.md. Times are in seconds since the start of the test.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
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

namespace deployment {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

// --- time and record ---------------------------------------------------------------------------------------------

inline Clock::time_point startedAt() {
  static const Clock::time_point start = Clock::now();
  return start;
}
inline double now() { return std::chrono::duration<double>(Clock::now() - startedAt()).count(); }
inline void sleepFor(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

// What was sent, answered and run, one line each.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f ", now());
    file_ << stamp << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// --- HTTP --------------------------------------------------------------------------------------------------------

struct Message {
  std::string method, target;  // of a request
  int status = 0;              // of a response
  Json body;
  bool close = false;
};

inline bool waitReadable(int fd, double untilS) {
  const double left = untilS - now();
  pollfd entry{fd, POLLIN, 0};
  return left > 0 && ::poll(&entry, 1, static_cast<int>(left * 1000) + 1) > 0;
}

inline bool sendAll(int fd, const std::string& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Reads one message. False at the end of the connection, on an error, or at the deadline.
inline bool receive(int fd, std::string& buffer, Message& message, double untilS) {
  char chunk[16384];
  std::size_t head = std::string::npos;
  std::size_t length = 0;
  while (true) {
    if (head == std::string::npos) {
      head = buffer.find("\r\n\r\n");
      if (head != std::string::npos) {
        std::istringstream lines(buffer.substr(0, head));
        std::string line;
        std::getline(lines, line);
        std::istringstream first(line);
        std::string a, b;
        first >> a >> b;
        if (a.starts_with("HTTP/")) {
          message.status = std::atoi(b.c_str());
        } else {
          message.method = a;
          message.target = b;
        }
        while (std::getline(lines, line)) {
          const auto colon = line.find(':');
          if (colon == std::string::npos) continue;
          std::string key = line.substr(0, colon);
          for (char& c : key) c = static_cast<char>(std::tolower(c));
          const std::string value = line.substr(colon + 1);
          if (key == "content-length") length = std::strtoul(value.c_str(), nullptr, 10);
          if (key == "connection" && value.find("close") != std::string::npos) message.close = true;
        }
      }
    }
    if (head != std::string::npos && buffer.size() >= head + 4 + length) break;
    if (!waitReadable(fd, untilS)) return false;
    const ssize_t count = ::recv(fd, chunk, sizeof chunk, 0);
    if (count <= 0) return false;
    buffer.append(chunk, static_cast<std::size_t>(count));
  }
  const std::string body = buffer.substr(head + 4, length);
  buffer.erase(0, head + 4 + length);
  message.body = body.empty() ? Json() : Json::from_cbor(body, true, false);
  return true;
}

inline std::string cbor(const Json& body) {
  if (body.is_null()) return {};
  std::string bytes;
  Json::to_cbor(body, bytes);
  return bytes;
}

inline int listenOnLoopback(std::uint16_t& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 256) != 0) {
    ::close(fd);
    return -1;
  }
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

inline std::uint16_t freePort() {
  std::uint16_t port = 0;
  const int fd = listenOnLoopback(port);
  if (fd >= 0) ::close(fd);
  return port;
}

inline std::string endpointOf(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

// Serves a handler, which may block. No answer: the connection is closed unanswered.
class Server {
 public:
  using Handler = std::function<std::optional<std::pair<int, Json>>(const Message&)>;
  explicit Server(Handler handler) : handler_(std::move(handler)) {
    fd_ = listenOnLoopback(port_);
    std::thread([this] { acceptLoop(); }).detach();
  }
  std::string endpoint() const { return endpointOf(port_); }

 private:
  void acceptLoop() {
    while (true) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] {
        std::string buffer;
        while (true) {
          Message request;
          if (!receive(fd, buffer, request, now() + 300)) break;
          const auto answer = handler_(request);
          if (!answer) break;
          const std::string body = cbor(answer->second);
          if (!sendAll(fd, "HTTP/1.1 " + std::to_string(answer->first) + " X\r\nContent-Length: " +
                               std::to_string(body.size()) + "\r\n\r\n" + body))
            break;
        }
        ::close(fd);
      }).detach();
    }
  }
  Handler handler_;
  int fd_ = -1;
  std::uint16_t port_ = 0;
};

// One request over a connection of its own. The status is 0 if no answer came in time.
inline std::pair<int, Json> call(const std::string& endpoint, const std::string& method, const std::string& target,
                                 const Json& body, double timeoutS) {
  const double untilS = now() + timeoutS;
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(endpoint.substr(endpoint.find(':') + 1).c_str())));
  std::pair<int, Json> result{0, Json()};
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
    const std::string bytes = cbor(body);
    std::string buffer;
    Message response;
    if (sendAll(fd, method + " " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " +
                        std::to_string(bytes.size()) + "\r\n\r\n" + bytes) &&
        receive(fd, buffer, response, untilS))
      result = {response.status, response.body};
  }
  ::close(fd);
  return result;
}

// --- state service -----------------------------------------------------------------------------------------------

class Store {
 public:
  struct Limits {
    double rps = 200, writeRps = 40;
    std::size_t txnOps = 16;
  };
  Store(Record& record, Limits limits)
      : record_(record), limits_(limits), requests_(limits.rps), writes_(limits.writeRps), server_([this](const Message& m) {
          return serve(m);
        }) {
    std::thread([this] {
      while (true) {
        sleepFor(0.02);
        const std::lock_guard lock(mutex_);
        expireLeases();
      }
    }).detach();
  }
  std::string endpoint() const { return server_.endpoint(); }
  Json value(const std::string& key) {
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(key);
    return found == entries_.end() ? Json::object() : found->second.value;
  }

 private:
  struct Entry {
    Json value;
    std::uint64_t stamp = 0, permit = 0;
  };
  struct Lease {
    double ttlS = 0, endsAt = 0;
  };
  struct Change {
    std::string key;
    Json message;
    std::uint64_t stamp = 0;
  };
  using Answer = std::optional<std::pair<int, Json>>;

  // Bursts of one second's worth are allowed.
  struct Bucket {
    explicit Bucket(double rate) : rate(rate), left(rate) {}
    double rate, left, at = 0;
    bool take(double count) {
      const double t = now();
      left = std::min(rate, left + (t - at) * rate);
      at = t;
      if (left < count) return false;
      left -= count;
      return true;
    }
  };

  static std::map<std::string, std::string> query(const std::string& target) {
    std::map<std::string, std::string> values;
    const auto mark = target.find('?');
    if (mark == std::string::npos) return values;
    std::istringstream parts(target.substr(mark + 1));
    for (std::string part; std::getline(parts, part, '&');) {
      const auto equals = part.find('=');
      if (equals != std::string::npos) values[part.substr(0, equals)] = part.substr(equals + 1);
    }
    return values;
  }

  Answer serve(const Message& request) {
    sleepFor(0.002);
    std::unique_lock lock(mutex_);
    expireLeases();
    if (!requests_.take(1)) return {{429, Json{{"error", "too many"}}}};
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/multi") return transact(request.body);
    if (path == "/changes") return watch(query(request.target), lock);
    if (path == "/keys") return list(query(request.target));
    if (path.starts_with("/keys/")) return read(path.substr(6));
    if (path == "/leases") {
      const double ttlS = request.body.value("ttlMs", 0.0) / 1000;
      leases_[++lastLease_] = Lease{ttlS, now() + ttlS};
      return {{200, Json{{"permit", lastLease_}}}};
    }
    if (path.starts_with("/leases/")) {
      const std::uint64_t id = std::strtoull(path.c_str() + 8, nullptr, 10);
      const auto found = leases_.find(id);
      if (found == leases_.end()) return {{404, Json::object()}};
      if (request.method == "DELETE") {
        found->second.endsAt = 0;
        expireLeases();
      } else {
        found->second.endsAt = now() + found->second.ttlS;
      }
      return {{200, Json::object()}};
    }
    return {{400, Json::object()}};
  }

  void expireLeases() {
    for (auto lease = leases_.begin(); lease != leases_.end();) {
      if (lease->second.endsAt > now()) {
        ++lease;
        continue;
      }
      std::vector<std::string> keys;
      for (const auto& [key, entry] : entries_)
        if (entry.permit == lease->first) keys.push_back(key);
      if (!keys.empty()) ++ledger_;
      for (const std::string& key : keys) remove(key);
      lease = leases_.erase(lease);
    }
  }

  void remove(const std::string& key) {
    entries_.erase(key);
    changes_.push_back({key, Json{{"delete", key}, {"stamp", ledger_}}, ledger_});
    record_.line("state: deleted " + key);
    changed_.notify_all();
  }

  Answer transact(const Json& body) {
    const Json changes = body.value("apply", Json::array());
    if (changes.size() > limits_.txnOps) return {{400, Json{{"error", "too large"}}}};
    if (!writes_.take(static_cast<double>(changes.size()))) return {{429, Json{{"error", "too many"}}}};
    for (const Json& change : changes)
      if (change.contains("permit") && !leases_.contains(change["permit"].get<std::uint64_t>()))
        return {{400, Json{{"error", "no such lease"}}}};
    Json failed = Json::array();
    for (const Json& condition : body.value("if", Json::array())) {
      const auto found = entries_.find(condition["key"].get<std::string>());
      const std::uint64_t stamp = found == entries_.end() ? 0 : found->second.stamp;
      if (stamp != condition["stamp"].get<std::uint64_t>()) failed.push_back(condition["key"]);
    }
    if (!failed.empty()) return {{409, Json{{"failed", failed}, {"ledger", ledger_}}}};
    if (!changes.empty()) ++ledger_;
    for (const Json& change : changes) {
      if (change.contains("delete")) {
        remove(change["delete"].get<std::string>());
        continue;
      }
      const std::string key = change["write"].get<std::string>();
      entries_[key] = Entry{change["value"], ledger_, change.value("permit", std::uint64_t{0})};
      changes_.push_back({key, Json{{"write", key}, {"value", change["value"]}, {"stamp", ledger_}}, ledger_});
      record_.line("state: " + key + " = " + change["value"].dump().substr(0, key.starts_with("placed/") ? 60 : 240));
    }
    changed_.notify_all();
    return {{200, Json{{"ledger", ledger_}}}};
  }

  Answer watch(const std::map<std::string, std::string>& parameters, std::unique_lock<std::mutex>& lock) {
    const auto text = [&](const char* key) {
      const auto found = parameters.find(key);
      return found == parameters.end() ? std::string() : found->second;
    };
    const std::string under = text("under");
    const std::uint64_t after = std::strtoull(text("after").c_str(), nullptr, 10);
    const double untilS = now() + std::atof(text("blockMs").c_str()) / 1000;
    while (true) {
      Json news = Json::array();
      for (auto change = changes_.rbegin(); change != changes_.rend() && change->stamp > after; ++change)
        if (change->key.starts_with(under)) news.insert(news.begin(), change->message);
      if (!news.empty() || now() >= untilS) return {{200, Json{{"ledger", ledger_}, {"news", news}}}};
      changed_.wait_for(lock, std::chrono::duration<double>(std::max(0.001, untilS - now())));
    }
  }

  Answer list(const std::map<std::string, std::string>& parameters) {
    const std::string under = parameters.contains("under") ? parameters.at("under") : "";
    const std::string after = parameters.contains("after") ? parameters.at("after") : "";
    const std::size_t limit = parameters.contains("limit") ? std::strtoul(parameters.at("limit").c_str(), nullptr, 10) : 1000;
    Json pairs = Json::array();
    bool more = false;
    for (const auto& [key, entry] : entries_) {
      if (!key.starts_with(under) || key <= after) continue;
      if (pairs.size() == limit) {
        more = true;
        break;
      }
      pairs.push_back(Json{{"key", key}, {"value", entry.value}, {"stamp", entry.stamp}});
    }
    return {{200, Json{{"pairs", pairs}, {"more", more}, {"ledger", ledger_}}}};
  }

  Answer read(const std::string& key) {
    const auto found = entries_.find(key);
    if (found == entries_.end()) return {{404, Json{{"ledger", ledger_}}}};
    Json body{{"key", key}, {"value", found->second.value}, {"stamp", found->second.stamp}};
    if (found->second.permit != 0) body["permit"] = found->second.permit;
    return {{200, body}};
  }

  Record& record_;
  Limits limits_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Bucket requests_, writes_;
  std::uint64_t ledger_ = 0, lastLease_ = 0;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Change> changes_;
  Server server_;
};

// --- jobs as the users submit them ---------------------------------------------------------------------------------

// The jobs that were submitted, with the true run time of their tasks, for the workers.
class Jobs {
 public:
  void add(const Json& job, double runS) {
    const std::lock_guard lock(mutex_);
    jobs_[job["ref"].get<std::string>()] = {job, runS};
  }
  std::optional<std::pair<Json, double>> find(const std::string& load) {
    const std::lock_guard lock(mutex_);
    const auto found = jobs_.find(load.substr(0, load.find('/')));
    if (found == jobs_.end()) return std::nullopt;
    return found->second;
  }
  void setDone(const std::string& load) {
    const std::lock_guard lock(mutex_);
    done_.insert(load);
  }
  bool isDone(const std::string& load) {
    const std::lock_guard lock(mutex_);
    return done_.contains(load);
  }

  // One attempt of a gang: its tasks find each other by the attempt number.
  struct Gang {
    std::set<std::string> ready;  // tasks that wait for the others
    double startedAt = -1;        // when the last of them was ready
    double lostAt = -1;           // when a task of the running gang ended by itself
  };
  // Adds a task that has its image, and starts the gang if it is the last one.
  void setReady(const std::string& load, std::uint64_t number, std::size_t size) {
    const std::lock_guard lock(mutex_);
    Gang& gang = gangs_[{load.substr(0, load.find('/')), number}];
    gang.ready.insert(load);
    if (gang.ready.size() == size && gang.startedAt < 0) gang.startedAt = now();
  }
  void setLost(const std::string& load, std::uint64_t number) {
    const std::lock_guard lock(mutex_);
    Gang& gang = gangs_[{load.substr(0, load.find('/')), number}];
    gang.ready.erase(load);
    if (gang.startedAt >= 0 && gang.lostAt < 0) gang.lostAt = now();
  }
  Gang gang(const std::string& load, std::uint64_t number) {
    const std::lock_guard lock(mutex_);
    return gangs_[{load.substr(0, load.find('/')), number}];
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::pair<Json, double>> jobs_;
  std::set<std::string> done_;
  std::map<std::pair<std::string, std::uint64_t>, Gang> gangs_;
};

struct WorkerTimes {
  double reportS = 1.5, leaseS = 12, cancelS = 42, gangWaitS = 40, gangPeerS = 4;
};

// --- workers -----------------------------------------------------------------------------------------------------

// A machine and its worker.
class Worker {
 public:
  struct Attempt {
    std::string load;
    std::uint64_t number = 0;
    std::string stage = "pulling", cause;
    bool stored = false;
    double imageAt = 0, runS = 0, startedAt = 0, savedAt = 0;
    Json job;
  };

  Worker(Record& record, Jobs& jobs, WorkerTimes times, Json type, std::string host, std::string yard, bool loaners,
         std::vector<std::pair<std::string, std::string>> controllers)
      : record_(record),
        jobs_(jobs),
        times_(times),
        type_(std::move(type)),
        host_(std::move(host)),
        yard_(std::move(yard)),
        loaners_(loaners),
        controllers_(std::move(controllers)),
        server_([this](const Message& m) { return serve(m); }),
        random_(std::hash<std::string>{}(host_)) {}

  // Every task that starts while this is set fails.
  std::atomic<bool> sick{false};

  const std::string& host() const { return host_; }
  const std::string& yard() const { return yard_; }
  const Json& type() const { return type_; }
  std::string endpoint() const { return server_.endpoint(); }
  bool isUp() const { return up_; }
  bool loaners() const { return loaners_; }

  void boot() {
    up_ = true;
    answeredAt_ = now();
    record_.line("cloud: " + host_ + " (" + type_["label"].get<std::string>() + ") is up");
    std::thread([this] { reportLoop(); }).detach();
    std::thread([this] { runLoop(); }).detach();
  }
  void end() {
    const std::lock_guard lock(mutex_);
    if (!alive_) return;
    alive_ = up_ = false;
    for (const Attempt& attempt : attempts_)
      if (attempt.stage != "ended") record_.line("run: " + host_ + " " + attempt.load + " is gone with its machine");
    attempts_.clear();
  }

  // Free vCPUs: tasks that wait for their image count as well.
  double freeCpus() {
    const std::lock_guard lock(mutex_);
    return freeCpusLocked();
  }
  double freeMemoryGb() {
    const std::lock_guard lock(mutex_);
    return freeMemoryLocked();
  }
  // The tasks on the machine that have not ended, with their stage.
  std::map<std::string, std::string> tasks() {
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::string> found;
    for (const Attempt& attempt : attempts_)
      if (attempt.stage != "ended") found[attempt.load] = attempt.stage;
    return found;
  }

 private:
  using Answer = std::optional<std::pair<int, Json>>;

  double freeCpusLocked() const {
    double free = type_["vcpus"].get<double>();
    for (const Attempt& attempt : attempts_)
      if (attempt.stage != "ended") free -= attempt.job["vcpus"].get<double>();
    return free;
  }
  double freeMemoryLocked() const {
    double free = type_["memoryGb"].get<double>();
    for (const Attempt& attempt : attempts_)
      if (attempt.stage != "ended") free -= attempt.job["memoryGb"].get<double>();
    return free;
  }

  Json reportLocked() {
    Json loads = Json::array();
    for (const Attempt& attempt : attempts_) {
      Json entry{{"load", attempt.load}, {"try", attempt.number}, {"stage", attempt.stage}};
      if (attempt.stage == "ended") entry["cause"] = attempt.cause;
      if (attempt.stored) entry["stored"] = true;
      loads.push_back(entry);
    }
    return Json{{"host", host_},       {"endpoint", endpoint()}, {"rig", type_["label"]}, {"yard", yard_},
                {"loaners", loaners_}, {"shift", shift_},        {"tally", ++tally_},     {"baton", baton_},
                {"recallS", nullptr},  {"loads", loads}};
  }

  Answer serve(const Message& request) {
    const std::lock_guard lock(mutex_);
    if (!up_) return std::nullopt;
    checkLeaseLocked();
    if (request.target == "/inspect") return {{200, reportLocked()}};
    if (!request.body.contains("baton") || !request.body.contains("shift")) return {{400, Json::object()}};
    const std::uint64_t baton = request.body["baton"].get<std::uint64_t>();
    if (baton < baton_ || request.body["shift"].get<std::uint64_t>() != shift_) return {{409, reportLocked()}};
    if (baton > baton_) changedAt_ = now();
    baton_ = baton;
    executeLocked(request.body["orders"], "a direct call");
    return {{200, reportLocked()}};
  }

  void executeLocked(const Json& orders, const char* way) {
    for (const Json& order : orders) {
      const std::string verb = order["verb"].get<std::string>();
      const std::string load = order["load"].get<std::string>();
      const std::uint64_t number = order["try"].get<std::uint64_t>();
      record_.line("order: " + host_ + " " + verb + " " + load + " try " + std::to_string(number) + " by " + way);
      const auto found = std::find_if(attempts_.begin(), attempts_.end(), [&](const Attempt& attempt) {
        return attempt.load == load && attempt.number == number;
      });
      if (verb == "launch" && found == attempts_.end()) launchLocked(load, number);
      if (verb == "halt" && found != attempts_.end() && found->stage != "ended")
        haltLocked(*found, order.value("windDownS", 0.0));
      if (verb == "reap" && found != attempts_.end() && found->stage == "ended") attempts_.erase(found);
    }
    if (!orders.empty()) changedAt_ = now();
  }

  void launchLocked(const std::string& load, std::uint64_t number) {
    Attempt attempt;
    attempt.load = load;
    attempt.number = number;
    const auto job = jobs_.find(load);
    bool inUse = false;
    for (const Attempt& other : attempts_) inUse = inUse || (other.load == load && other.stage != "ended");
    if (!job) {
      attempt.stage = "ended";
      attempt.cause = "unknown";
    } else {
      attempt.job = job->first;
      attempt.runS = job->second;
      if (inUse) attempt.cause = "in_use";
      if (!inUse && (job->first["vcpus"].get<double>() > freeCpusLocked() + 1e-6 ||
                     job->first["memoryGb"].get<double>() > freeMemoryLocked() + 1e-6))
        attempt.cause = "no_room";
      if (!attempt.cause.empty()) attempt.stage = "ended";
      const std::string image = job->first["crate"].get<std::string>();
      const double fetchS = job->first["sizeGb"].get<double>() / type_["pullGbPerS"].get<double>();
      if (!images_.contains(image)) images_[image] = now() + fetchS;
      attempt.imageAt = images_[image];
    }
    if (attempt.stage == "ended") record_.line("run: " + host_ + " " + load + " refused: " + attempt.cause);
    attempts_.push_back(attempt);
  }

  void haltLocked(Attempt& attempt, double windDownS) {
    const bool saves = attempt.stage == "running" && attempt.job["stowEveryS"].get<double>() > 0 &&
                       windDownS >= attempt.job["stowS"].get<double>();
    if (saves) {
      attempt.stage = "saving";
      attempt.savedAt = now() + attempt.job["stowS"].get<double>();
    } else if (attempt.stage != "saving" || windDownS == 0) {
      endLocked(attempt, "halted");
    }
  }

  void endLocked(Attempt& attempt, const std::string& cause) {
    if (isGang(attempt) && cause != "done") jobs_.setLost(attempt.load, attempt.number);
    attempt.stage = "ended";
    attempt.cause = cause;
    changedAt_ = now();
    record_.line("run: " + host_ + " " + attempt.load + " ended: " + cause);
  }

  void checkLeaseLocked() {
    if (now() - answeredAt_ <= times_.leaseS) return;
    for (const Attempt& attempt : attempts_)
      if (attempt.stage != "ended") record_.line("run: " + host_ + " " + attempt.load + " killed: the lease ran out");
    attempts_.clear();
    ++shift_;
    answeredAt_ = changedAt_ = now();
  }

  void runLoop() {
    while (true) {
      sleepFor(0.02);
      const std::lock_guard lock(mutex_);
      if (!alive_) return;
      checkLeaseLocked();
      for (Attempt& attempt : attempts_) {
        if (isGang(attempt)) runGangTaskLocked(attempt);
        if (attempt.stage == "pulling" && now() >= attempt.imageAt) {
          if (isGang(attempt)) {
            attempt.stage = "waiting";
            attempt.imageAt = changedAt_ = now();
            jobs_.setReady(attempt.load, attempt.number, attempt.job["loads"].get<std::size_t>());
            record_.line("run: " + host_ + " " + attempt.load + " waits for its gang");
          } else {
            startLocked(attempt);
          }
        }
        if (attempt.stage == "saving" && now() >= attempt.savedAt) {
          attempt.stored = true;
          endLocked(attempt, "halted");
        }
        if (attempt.stage == "running" && attempt.job["shape"] != "daemon" && now() >= attempt.startedAt + attempt.runS) {
          jobs_.setDone(attempt.load);
          endLocked(attempt, "done");
        }
      }
    }
  }

  static bool isGang(const Attempt& attempt) { return attempt.job.value("shape", "") == "ensemble"; }

  void runGangTaskLocked(Attempt& attempt) {
    const Jobs::Gang gang = jobs_.gang(attempt.load, attempt.number);
    if (attempt.stage == "waiting" && gang.startedAt >= 0) {
      startLocked(attempt);
    } else if (attempt.stage == "waiting" && now() > attempt.imageAt + times_.gangWaitS) {
      endLocked(attempt, "alone");
    } else if (attempt.stage == "running" && gang.lostAt >= 0 && now() > gang.lostAt + times_.gangPeerS) {
      endLocked(attempt, "peers");
    }
  }

  void startLocked(Attempt& attempt) {
    record_.line("run: " + host_ + " " + attempt.load + " started (try " + std::to_string(attempt.number) + ")");
    attempt.stage = "running";
    attempt.startedAt = changedAt_ = now();
    if (jobs_.isDone(attempt.load)) return endLocked(attempt, "done");
    if (sick) endLocked(attempt, "error");
  }

  void reportLoop() {
    std::size_t node = random_() % controllers_.size();
    double sentAt = -10;
    double dueAt = now();
    while (true) {
      sleepFor(0.02);
      Json report;
      std::uint64_t shift = 0;
      double previousSentAt = sentAt;
      {
        const std::lock_guard lock(mutex_);
        if (!alive_) return;
        const bool changed = changedAt_ > previousSentAt && now() - previousSentAt >= 0.5;
        if (now() < dueAt && !changed) continue;
        if (now() < retryAt_) continue;
        checkLeaseLocked();
        report = reportLocked();
        shift = shift_;
        sentAt = now();
      }
      dueAt = sentAt + times_.reportS * (0.75 + 0.5 * static_cast<double>(random_() % 1000) / 1000);
      const auto [status, body] = call(controllers_[node].second, "POST", "/v1/report", report, 4);
      const std::lock_guard lock(mutex_);
      if (status == 200) {
        const std::uint64_t baton = body.value("baton", std::uint64_t{0});
        if (baton < baton_ || baton == 0 || shift != shift_ || now() - sentAt > 4) continue;
        if (baton > baton_) changedAt_ = now();
        baton_ = baton;
        answeredAt_ = std::max(answeredAt_, sentAt);
        executeLocked(body.value("orders", Json::array()), "an answer");
        continue;
      }
      std::size_t next = (node + 1) % controllers_.size();
      if (status == 421 && body.contains("foreman")) {
        for (std::size_t i = 0; i < controllers_.size(); ++i)
          if (i != node && controllers_[i].first == body["foreman"]) {
            next = i;
            dueAt = now();
          }
        if (dueAt <= now()) {
          node = next;
          continue;
        }
      }
      node = next;
      retryAt_ = dueAt = now() + 1;
    }
  }

  Record& record_;
  Jobs& jobs_;
  WorkerTimes times_;
  Json type_;
  std::string host_, yard_;
  bool loaners_;
  std::vector<std::pair<std::string, std::string>> controllers_;  // label and address
  std::mutex mutex_;
  std::atomic<bool> up_{false};
  bool alive_ = true;
  std::uint64_t shift_ = 1, tally_ = 0, baton_ = 0;
  double answeredAt_ = 0, changedAt_ = 0, retryAt_ = 0;
  std::vector<Attempt> attempts_;
  std::map<std::string, double> images_;  // when each is there
  Server server_;
  std::mt19937 random_;
};

// --- cloud -------------------------------------------------------------------------------------------------------

class Cloud {
 public:
  // Numbers of ordinary and of spot machines that the cloud has of each type.
  using Capacity = std::map<std::string, std::pair<int, int>>;
  Cloud(Record& record, Jobs& jobs, WorkerTimes times, Json types, Capacity capacity, double bootS, double listLagS,
        std::vector<std::pair<std::string, std::string>> controllers)
      : record_(record),
        jobs_(jobs),
        times_(times),
        types_(std::move(types)),
        capacity_(std::move(capacity)),
        bootS_(bootS),
        listLagS_(listLagS),
        controllers_(std::move(controllers)),
        server_([this](const Message& m) { return serve(m); }) {}
  std::string endpoint() const { return server_.endpoint(); }
  // While this is set, every call is answered with 503.
  std::atomic<bool> down{false};
  // The machines that exist.
  std::vector<std::shared_ptr<Worker>> machines() {
    const std::lock_guard lock(mutex_);
    std::vector<std::shared_ptr<Worker>> found;
    for (const auto& [host, machine] : machines_)
      if (!machine.returned) found.push_back(machine.worker);
    return found;
  }

 private:
  struct Machine {
    std::shared_ptr<Worker> worker;
    std::string rig, yard;
    bool loaners = false, returned = false;
    double rentedAt = 0, upAt = 0, returnedAt = 0;
  };
  using Answer = std::optional<std::pair<int, Json>>;

  Answer serve(const Message& request) {
    sleepFor(0.05);
    if (down) return {{503, Json{{"error", "trouble"}}}};
    const std::lock_guard lock(mutex_);
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/catalog") return {{200, Json{{"rigs", types_}}}};
    if (path == "/hosts/return") {
      for (const Json& host : request.body["hosts"]) giveBack(host.get<std::string>());
      return {{200, Json::object()}};
    }
    if (request.method == "GET") return list(request.target);
    return rent(request.body);
  }

  void giveBack(const std::string& host) {
    const auto found = machines_.find(host);
    if (found == machines_.end() || found->second.returned) return;
    found->second.returned = true;
    found->second.returnedAt = now();
    found->second.worker->end();
    record_.line("cloud: " + host + " was returned");
    auto& [ordinary, spot] = capacity_[found->second.rig];
    ++(found->second.loaners ? spot : ordinary);
  }

  Answer rent(const Json& body) {
    const std::string name = body["hire"].get<std::string>();
    if (const auto known = answers_.find(name); known != answers_.end()) return {{200, known->second}};
    const std::string rig = body["rig"].get<std::string>();
    const bool loaners = body["loaners"].get<bool>();
    auto& [ordinary, spot] = capacity_[rig];
    int& left = loaners ? spot : ordinary;
    const int count = std::min(left, body["number"].get<int>());
    if (count <= 0) return {{503, Json{{"error", "no capacity"}}}};
    left -= count;
    Json hosts = Json::array();
    for (int i = 0; i < count; ++i) {
      char host[16];
      std::snprintf(host, sizeof host, "vm-%06d", ++rented_);
      Json type;
      for (const Json& entry : types_)
        if (entry["label"] == rig) type = entry;
      Machine machine;
      machine.rig = rig;
      machine.yard = body["yard"].get<std::string>();
      machine.loaners = loaners;
      machine.rentedAt = now();
      machine.upAt = now() + bootS_;
      machine.worker = std::make_shared<Worker>(record_, jobs_, times_, type, host, machine.yard, loaners, controllers_);
      std::thread([worker = machine.worker, bootS = bootS_] {
        sleepFor(bootS);
        worker->boot();
      }).detach();
      machines_[host] = machine;
      hosts.push_back(host);
      record_.line(std::string("cloud: ") + host + " (" + rig + (loaners ? ", spot" : "") + ") rented by " + name);
    }
    answers_[name] = Json{{"hosts", hosts}};
    return {{200, answers_[name]}};
  }

  // As it was `listLagS_` ago.
  Answer list(const std::string& target) {
    const auto mark = target.find("after=");
    std::string after = mark == std::string::npos ? "" : target.substr(mark + 6);
    after = after.substr(0, after.find('&'));
    const double asOf = now() - listLagS_;
    Json hosts = Json::array();
    for (const auto& [host, machine] : machines_) {
      if (host <= after || machine.rentedAt > asOf || (machine.returned && machine.returnedAt <= asOf)) continue;
      hosts.push_back(Json{{"ref", host},
                           {"endpoint", machine.worker->endpoint()},
                           {"rig", machine.rig},
                           {"yard", machine.yard},
                           {"loaners", machine.loaners},
                           {"stage", machine.upAt <= asOf ? "running" : "starting"},
                           {"ageS", asOf - machine.rentedAt}});
    }
    return {{200, Json{{"hosts", hosts}, {"more", false}}}};
  }

  Record& record_;
  Jobs& jobs_;
  WorkerTimes times_;
  Json types_;
  Capacity capacity_;
  double bootS_, listLagS_;
  std::vector<std::pair<std::string, std::string>> controllers_;
  std::mutex mutex_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, Json> answers_;
  int rented_ = 0;
  Server server_;
};

// --- controllers -------------------------------------------------------------------------------------------------

struct Controller {
  std::string label, area, bind, peer, settingsPath, logPath;
  pid_t pid = -1;

  // Starts the program of the deploy file, with the path of its settings as its last argument.
  void start(const std::vector<std::string>& command) {
    pid = ::fork();
    if (pid != 0) return;
    const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, 2);
    ::dup2(log, 1);
    std::vector<char*> arguments;
    for (const std::string& word : command) arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(const_cast<char*>(settingsPath.c_str()));
    arguments.push_back(nullptr);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
  }
  void kill() {
    if (pid <= 0) return;
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
    pid = -1;
  }
  // Whether the process has ended by itself.
  bool hasEnded() {
    if (pid <= 0 || ::waitpid(pid, nullptr, WNOHANG) == 0) return false;
    pid = -1;
    return true;
  }
};

// --- users -------------------------------------------------------------------------------------------------------

class Users {
 public:
  Users(Record& record, Jobs& jobs, std::vector<std::string> endpoints)
      : record_(record), jobs_(jobs), endpoints_(std::move(endpoints)) {}

  // Submits the job until it is accepted or refused, for up to 60 s. Returns the status.
  int submit(const Json& job, double runS) {
    jobs_.add(job, runS);
    const double untilS = now() + 60;
    while (true) {
      const auto [status, body] = call(next(), "POST", "/api/jobs", job, 5);
      record_.line("user: submit " + job["ref"].get<std::string>() + " -> " + std::to_string(status) + " " + body.dump());
      if (status == 200 || status == 201 || status == 400 || status == 422 || now() > untilS) return status;
      sleepFor(1);
    }
  }
  // Polls once; the stage is empty if there is no answer with 200.
  std::string poll(const std::string& ref) {
    const auto [status, body] = call(next(), "GET", "/api/jobs/" + ref, Json(), 2);
    const std::string stage = status == 200 ? body.value("stage", "") : "";
    record_.line("user: poll " + ref + " -> " + std::to_string(status) + " " + body.dump());
    return stage;
  }
  bool isHealthy(std::size_t index) { return call(endpoints_[index], "GET", "/healthz", Json(), 1).first == 200; }

 private:
  const std::string& next() { return endpoints_[index_++ % endpoints_.size()]; }
  Record& record_;
  Jobs& jobs_;
  std::vector<std::string> endpoints_;
  std::atomic<std::size_t> index_{0};
};

// The word list of the environment variable RUN_COMMAND, which the script takes from the deploy file.
inline std::vector<std::string> runCommand() {
  const char* text = std::getenv("RUN_COMMAND");
  std::istringstream words(text == nullptr ? "target/reachhoist --config" : text);
  std::vector<std::string> command;
  for (std::string word; words >> word;) command.push_back(word);
  return command;
}

inline bool hasTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

}  // namespace deployment
