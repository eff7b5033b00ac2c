// Stand-ins of the state service, the cloud, the workers and the users, after the protocol page, and the
// controllers as processes of their own. Used by the cases of the review.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <fstream>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "net.hpp"

namespace review {

// --- record ------------------------------------------------------------------------------------------------

// Writes record.txt, one line an event with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path), startedAt_(Clock::now()) {}
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", secondsBetween(startedAt_, Clock::now()));
    file_ << time << text << std::endl;
  }
  double now() const { return secondsBetween(startedAt_, Clock::now()); }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Time startedAt_;
};

// --- state service -----------------------------------------------------------------------------------------

class StateService {
 public:
  struct Limits {
    unsigned ops = 16;
    std::size_t valueBytes = 32 * 1024;
  };
  // What a node gets: served, or 503 to this node alone while its open watches wait.
  struct Node {
    std::unique_ptr<Server> server;
    std::atomic<bool> refused{false};
  };

  StateService(Record& record, int nodes, Limits limits) : record_(record), limits_(limits) {
    for (int i = 0; i < nodes; ++i) {
      nodes_.push_back(std::make_unique<Node>());
      Node* node = nodes_.back().get();
      node->server = std::make_unique<Server>([this, node, i](const auto& method, const auto& target, const Json& body) {
        return request(*node, i, method, target, body);
      });
    }
    std::thread([this] {
      for (;;) {
        sleepSeconds(0.01);
        expireLeases();
      }
    }).detach();
  }
  int port(int node) const { return nodes_[static_cast<std::size_t>(node)]->server->port(); }
  // Cuts the node off: its connections are reset.
  void setCut(int node, bool cut) { nodes_[static_cast<std::size_t>(node)]->server->setRefusing(cut); }
  // The state service refuses the node alone with 503.
  void setRefused(int node, bool refused) {
    nodes_[static_cast<std::size_t>(node)]->refused = refused;
    const std::lock_guard lock(mutex_);
    changed_.notify_all();
  }
  // An outage: every node gets 503; afterwards every lease has its full time again.
  void setOutage(bool outage) {
    const std::lock_guard lock(mutex_);
    outage_ = outage;
    if (!outage)
      for (auto& [id, lease] : leases_) lease.endsAt = Clock::now() + lease.ttl;
    changed_.notify_all();
  }
  // Writes a record that an earlier transaction of the service left.
  void seed(const std::string& key, const Json& value) {
    const std::lock_guard lock(mutex_);
    keys_[key] = Entry{value, ++ledger_, 0};
    addChange(key, Json{{"write", key}, {"value", value}, {"stamp", ledger_}});
  }
  std::string leader() {
    const std::lock_guard lock(mutex_);
    const auto found = keys_.find("leader");
    return found == keys_.end() ? "" : found->second.value.value("label", "");
  }
  Json value(const std::string& key) {
    const std::lock_guard lock(mutex_);
    const auto found = keys_.find(key);
    return found == keys_.end() ? Json() : found->second.value;
  }
  // Called with each transaction that was applied, under the lock.
  std::function<void(int node, const Json& transaction)> onApplied;

 private:
  struct Entry {
    Json value;
    std::uint64_t stamp = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Time endsAt;
    Clock::duration ttl;
  };
  struct Change {
    std::uint64_t stamp;
    std::string key;
    Json event;
  };

  static std::string parameter(const std::string& target, const std::string& name) {
    const auto question = target.find('?');
    if (question == std::string::npos) return {};
    std::string rest = "&" + target.substr(question + 1);
    const auto found = rest.find("&" + name + "=");
    if (found == std::string::npos) return {};
    const auto begin = found + name.size() + 2;
    return rest.substr(begin, rest.find('&', begin) - begin);
  }

  bool isRefused(const Node& node) const { return outage_ || node.refused; }

  Reply request(Node& node, int number, const std::string& method, const std::string& target, const Json& body) {
    std::unique_lock lock(mutex_);
    const std::string path = target.substr(0, target.find('?'));
    if (isRefused(node)) return {503, Json{{"error", "unavailable"}}};
    if (path == "/changes") return watch(node, lock, target);
    if (path == "/keys") return list(target);
    if (path.rfind("/keys/", 0) == 0) return get(path.substr(6));
    if (path == "/multi") return transact(number, body);
    if (path == "/leases" && method == "POST") {
      const auto ttl = milliseconds(body.value("ttlMs", 0));
      leases_[++lastLease_] = Lease{Clock::now() + ttl, ttl};
      return {200, Json{{"permit", lastLease_}}};
    }
    if (path.rfind("/leases/", 0) == 0) {
      const std::uint64_t id = std::strtoull(path.c_str() + 8, nullptr, 10);
      const auto found = leases_.find(id);
      if (found == leases_.end()) return {404, Json::object()};
      if (method == "DELETE") {
        endLease(id);
      } else {
        found->second.endsAt = Clock::now() + found->second.ttl;
      }
      return {200, Json::object()};
    }
    return {400, Json::object()};
  }

  Reply get(const std::string& key) {
    const auto found = keys_.find(key);
    if (found == keys_.end()) return {404, Json{{"ledger", ledger_}}};
    Json body{{"key", key}, {"value", found->second.value}, {"stamp", found->second.stamp}};
    if (found->second.lease != 0) body["permit"] = found->second.lease;
    return {200, body};
  }

  Reply list(const std::string& target) {
    const std::string under = parameter(target, "under"), after = parameter(target, "after");
    const std::string limitText = parameter(target, "limit");
    const std::size_t limit = limitText.empty() ? 1000 : std::min<std::size_t>(1000, std::stoul(limitText));
    Json pairs = Json::array();
    bool more = false;
    for (auto it = keys_.upper_bound(std::max(after, under)); ; ++it) {
      // upper_bound skips a key equal to the prefix itself, which counts unless `after` names it.
      if (pairs.empty() && after < under && keys_.contains(under) && !includesPrefixKey(pairs, under))
        pairs.push_back(Json{{"key", under}, {"value", keys_[under].value}, {"stamp", keys_[under].stamp}});
      if (it == keys_.end() || it->first.rfind(under, 0) != 0) break;
      if (pairs.size() == limit) {
        more = true;
        break;
      }
      pairs.push_back(Json{{"key", it->first}, {"value", it->second.value}, {"stamp", it->second.stamp}});
    }
    return {200, Json{{"pairs", pairs}, {"more", more}, {"ledger", ledger_}}};
  }
  static bool includesPrefixKey(const Json& pairs, const std::string& key) {
    return !pairs.empty() && pairs[0]["key"] == key;
  }

  Reply watch(Node& node, std::unique_lock<std::mutex>& lock, const std::string& target) {
    const std::string under = parameter(target, "under");
    const std::uint64_t after = std::stoull(parameter(target, "after"));
    const std::string blockText = parameter(target, "blockMs");
    Time until = Clock::now() + milliseconds(blockText.empty() ? 0 : std::stoul(blockText));
    if (!changes_.empty() && after + 1 < changes_.front().stamp && firstKept_ > after) return {410, Json::object()};
    for (;;) {
      Json news = Json::array();
      if (!isRefused(node))
        for (const Change& change : changes_)
          if (change.stamp > after && change.key.rfind(under, 0) == 0) news.push_back(change.event);
      // During an outage, or while this node is refused, an open watch waits.
      if (!isRefused(node) && (!news.empty() || Clock::now() >= until)) return {200, Json{{"ledger", ledger_}, {"news", news}}};
      changed_.wait_until(lock, isRefused(node) ? Clock::now() + milliseconds(100) : until);
      if (Clock::now() > until + std::chrono::seconds(60)) return {200, Json::object(), false};
    }
  }

  void addChange(const std::string& key, Json event) {
    changes_.push_back(Change{ledger_, key, std::move(event)});
    if (changes_.size() > 10000) {
      firstKept_ = changes_.front().stamp;
      changes_.pop_front();
    }
    changed_.notify_all();
  }

  Reply transact(int node, const Json& body) {
    const Json& apply = body["apply"];
    if (apply.size() > limits_.ops || body["if"].size() > 4 * limits_.ops || body.dump().size() > 64 * 1024)
      return {400, Json{{"error", "too large"}}};
    for (const Json& write : apply) {
      if (!write.contains("write")) continue;
      if (write["value"].dump().size() > limits_.valueBytes) return {400, Json{{"error", "value too large"}}};
      if (write.contains("permit") && !write["permit"].is_null() &&
          !leases_.contains(write["permit"].get<std::uint64_t>()))
        return {400, Json{{"error", "no such lease"}}};
    }
    Json failed = Json::array();
    for (const Json& condition : body["if"]) {
      const auto found = keys_.find(condition["key"].get<std::string>());
      const std::uint64_t stamp = found == keys_.end() ? 0 : found->second.stamp;
      if (stamp != condition["stamp"].get<std::uint64_t>()) failed.push_back(condition["key"]);
    }
    if (!failed.empty()) return {409, Json{{"failed", failed}, {"ledger", ledger_}}};
    if (!apply.empty()) ++ledger_;
    for (const Json& write : apply) {
      if (write.contains("delete")) {
        const std::string key = write["delete"];
        if (keys_.erase(key) > 0) addChange(key, Json{{"delete", key}, {"stamp", ledger_}});
        continue;
      }
      const std::string key = write["write"];
      const std::uint64_t lease =
          write.contains("permit") && !write["permit"].is_null() ? write["permit"].get<std::uint64_t>() : 0;
      keys_[key] = Entry{write["value"], ledger_, lease};
      addChange(key, Json{{"write", key}, {"value", write["value"]}, {"stamp", ledger_}});
      if (key == "leader") record_.line("state: leader " + write["value"].dump() + " written by node " + std::to_string(node));
    }
    if (onApplied) onApplied(node, body);
    return {200, Json{{"ledger", ledger_}}};
  }

  void endLease(std::uint64_t id) {
    leases_.erase(id);
    for (auto it = keys_.begin(); it != keys_.end();) {
      if (it->second.lease != id) {
        ++it;
        continue;
      }
      ++ledger_;
      addChange(it->first, Json{{"delete", it->first}, {"stamp", ledger_}});
      record_.line("state: key " + it->first + " ended with its lease");
      it = keys_.erase(it);
    }
  }

  void expireLeases() {
    const std::lock_guard lock(mutex_);
    if (outage_) return;
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : leases_)
      if (lease.endsAt + milliseconds(20) <= Clock::now()) ended.push_back(id);
    for (const std::uint64_t id : ended) endLease(id);
  }

  Record& record_;
  Limits limits_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t lastLease_ = 0;
  std::uint64_t ledger_ = 0;
  std::uint64_t firstKept_ = 0;
  std::deque<Change> changes_;
  bool outage_ = false;
  std::vector<std::unique_ptr<Node>> nodes_;
};

// --- jobs as the users uploaded them -------------------------------------------------------------------------

struct JobPlan {
  Json body;                // the submission
  double runS = 10;         // run time of a task
  double speedGbPerS = 0.5;
};

class Jobs {
 public:
  void add(const std::string& ref, JobPlan plan) {
    const std::lock_guard lock(mutex_);
    jobs_[ref] = std::move(plan);
  }
  std::optional<JobPlan> find(const std::string& ref) const {
    const std::lock_guard lock(mutex_);
    const auto found = jobs_.find(ref);
    if (found == jobs_.end()) return std::nullopt;
    return found->second;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, JobPlan> jobs_;
};

// --- what runs where -----------------------------------------------------------------------------------------

// Notes which machines each task is on: from the moment it has its image until it exits, is killed or the
// machine is gone.
class Ground {
 public:
  explicit Ground(Record& record) : record_(record) {}
  void started(const std::string& load, const std::string& host, std::uint64_t attempt) {
    const std::lock_guard lock(mutex_);
    record_.line("run: " + load + " try " + std::to_string(attempt) + " starts on " + host);
    for (const std::string& other : on_[load])
      if (other != host) {
        ranTwice_.push_back(load + " starts on " + host + " while it is on " + other);
        record_.line("BROKEN ran_twice: " + ranTwice_.back());
      }
    on_[load].insert(host);
    ++starts_[load];
  }
  void ended(const std::string& load, const std::string& host, const std::string& why) {
    const std::lock_guard lock(mutex_);
    if (on_[load].erase(host) > 0) record_.line("run: " + load + " leaves " + host + " (" + why + ")");
  }
  int starts(const std::string& load) {
    const std::lock_guard lock(mutex_);
    return starts_[load];
  }
  std::set<std::string> hostsOf(const std::string& load) {
    const std::lock_guard lock(mutex_);
    return on_[load];
  }
  std::vector<std::string> ranTwice() {
    const std::lock_guard lock(mutex_);
    return ranTwice_;
  }

 private:
  Record& record_;
  std::mutex mutex_;
  std::map<std::string, std::set<std::string>> on_;
  std::map<std::string, int> starts_;
  std::vector<std::string> ranTwice_;
};

// --- workers -------------------------------------------------------------------------------------------------

struct WorkerSettings {
  double reportS = 1.5;
  double leaseS = 12;
};

// The controllers' addresses, as every worker knows them.
struct Nodes {
  std::vector<std::string> labels;
  std::vector<int> ports;
};

struct MachineInfo {
  std::string host, type, zone;
  bool spot = false;
  double cpus = 8, memoryGb = 32;
};

class Worker {
 public:
  Worker(Record& record, Ground& ground, const Jobs& jobs, const Nodes& nodes, WorkerSettings settings, MachineInfo info)
      : record_(record), ground_(ground), jobs_(jobs), nodes_(nodes), settings_(settings), info_(std::move(info)),
        random_(std::hash<std::string>{}(info_.host)) {
    server_ = std::make_unique<Server>([this](const auto& method, const auto& target, const Json& body) {
      return onRequest(method, target, body);
    });
    leaseFrom_ = Clock::now();
  }
  std::string endpoint() const { return endpointOf(server_->port()); }
  const std::string& host() const { return info_.host; }
  // The machine is up: its worker starts to report.
  void start() {
    leaseFrom_ = Clock::now();
    record_.line("machine " + info_.host + " is up");
    std::thread([this] { reportLoop(); }).detach();
    std::thread([this] { taskLoop(); }).detach();
  }
  // The machine is gone with all that is on it.
  void remove() {
    const std::lock_guard lock(mutex_);
    if (gone_) return;
    gone_ = true;
    for (Task& task : tasks_)
      if (task.onMachine) ground_.ended(task.load, info_.host, "machine gone");
    tasks_.clear();
    server_->setRefusing(true);
    record_.line("machine " + info_.host + " is gone");
  }
  // Direct commands that carry a launch of a task of this job are held up on their way this long: they get no
  // answer and are carried out once, late, if token and session still match.
  void holdLaunchesOf(const std::string& ref, double delayS) {
    const std::lock_guard lock(mutex_);
    heldJob_ = ref;
    holdS_ = delayS;
  }
  // While a machine is faulty, every task that it starts fails after a moment.
  void setFaulty(bool faulty) {
    record_.line("machine " + info_.host + (faulty ? " is faulty: every task that it starts fails" : " is well again"));
    const std::lock_guard lock(mutex_);
    faulty_ = faulty;
  }
  // The CPUs that no task on the machine takes.
  double freeCpus() {
    const std::lock_guard lock(mutex_);
    double free = info_.cpus;
    for (const Task& task : tasks_)
      if (task.stage != "ended") free -= task.cpus;
    return free;
  }
  bool hasHeld() {
    const std::lock_guard lock(mutex_);
    return held_ > 0;
  }
  std::uint64_t token() {
    const std::lock_guard lock(mutex_);
    return token_;
  }
  // The highest token at the time, or tasks by state.
  int count(const std::string& stage) {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(std::count_if(tasks_.begin(), tasks_.end(), [&](const Task& t) { return t.stage == stage; }));
  }

 private:
  struct Task {
    std::string load;
    std::uint64_t attempt = 0;
    std::string stage, cause;
    double cpus = 0, memoryGb = 0, runS = 0;
    Time pulledAt, endsAt;
    std::string image;
    bool isService = false, onMachine = false, fails = false;
  };

  Json reportBody() {
    Json loads = Json::array();
    for (const Task& task : tasks_) {
      Json entry{{"load", task.load}, {"try", task.attempt}, {"stage", task.stage}};
      if (task.stage == "ended") entry["cause"] = task.cause;
      loads.push_back(entry);
    }
    return Json{{"host", info_.host}, {"endpoint", endpoint()}, {"rig", info_.type},   {"yard", info_.zone},
                {"loaners", info_.spot}, {"shift", shift_}, {"tally", ++tally_}, {"baton", token_},
                {"recallS", nullptr}, {"loads", loads}};
  }

  Reply onRequest(const std::string& method, const std::string& target, const Json& body) {
    std::unique_lock lock(mutex_);
    if (gone_) return {0, Json(), false};
    if (method == "GET") return {200, reportBody()};
    if (target != "/commands") return {400, Json::object()};
    if (!body.contains("baton") || !body.contains("shift")) return {400, Json::object()};
    record_.line("command to " + info_.host + ": " + body.dump());
    if (!heldJob_.empty() && launches(body, heldJob_)) {
      heldJob_.clear();
      ++held_;
      record_.line("command to " + info_.host + " is held up for " + std::to_string(holdS_) + " s");
      std::thread([this, body, delay = holdS_] {
        sleepSeconds(delay);
        const std::lock_guard late(mutex_);
        if (gone_) return;
        const Reply reply = execute(body);
        record_.line("command to " + info_.host + " arrives late: status " + std::to_string(reply.status) +
                     ", baton " + std::to_string(body["baton"].get<std::uint64_t>()) + ", worker's token " + std::to_string(token_));
      }).detach();
      lock.unlock();
      sleepSeconds(holdS_);  // the caller gets no answer
      return {0, Json(), false};
    }
    const Reply reply = execute(body);
    record_.line("answer of " + info_.host + ": " + std::to_string(reply.status));
    return reply;
  }

  static bool launches(const Json& body, const std::string& ref) {
    for (const Json& order : body["orders"])
      if (order["verb"] == "launch" && order["load"].get<std::string>().rfind(ref + "/", 0) == 0) return true;
    return false;
  }

  Reply execute(const Json& body) {
    const auto token = body["baton"].get<std::uint64_t>();
    if (token < token_ || body["shift"].get<std::uint64_t>() != shift_) return {409, reportBody()};
    if (token > token_) noteChange();
    token_ = token;
    executeOrders(body["orders"]);
    return {200, reportBody()};
  }

  void executeOrders(const Json& orders) {
    for (const Json& order : orders) {
      const std::string verb = order["verb"], load = order["load"];
      const auto attempt = order["try"].get<std::uint64_t>();
      const auto found = std::find_if(tasks_.begin(), tasks_.end(),
                                      [&](const Task& t) { return t.load == load && t.attempt == attempt; });
      if (verb == "launch") {
        if (found == tasks_.end()) launch(load, attempt);
      } else if (found == tasks_.end()) {
        continue;
      } else if (verb == "halt" && found->stage != "ended") {
        end(*found, "halted");
      } else if (verb == "reap" && found->stage == "ended") {
        tasks_.erase(found);
        noteChange();
      }
    }
  }

  void launch(const std::string& load, std::uint64_t attempt) {
    noteChange();
    Task task;
    task.load = load;
    task.attempt = attempt;
    const auto refuse = [&](const char* why) {
      task.stage = "ended";
      task.cause = why;
      tasks_.push_back(task);
    };
    const auto job = jobs_.find(load.substr(0, load.find('/')));
    if (!job) return refuse("unknown");
    double cpus = 0, memoryGb = 0;
    for (const Task& other : tasks_) {
      if (other.stage == "ended") continue;
      if (other.load == load) return refuse("in_use");
      cpus += other.cpus;
      memoryGb += other.memoryGb;
    }
    task.cpus = job->body["vcpus"];
    task.memoryGb = job->body["memoryGb"];
    if (cpus + task.cpus > info_.cpus + 1e-6 || memoryGb + task.memoryGb > info_.memoryGb + 1e-6) return refuse("no_room");
    task.image = job->body["crate"];
    task.runS = job->runS;
    task.isService = job->body["shape"] == "daemon";
    task.stage = "pulling";
    const double pullS = images_.contains(task.image) ? 0.0 : job->body["sizeGb"].get<double>() / job->speedGbPerS;
    task.pulledAt = Clock::now() + seconds(pullS);
    tasks_.push_back(task);
    // The image is there already: the task starts at once.
    if (pullS == 0) run(tasks_.back(), Clock::now());
  }

  void run(Task& task, Time now) {
    task.stage = "running";
    task.onMachine = true;
    images_.insert(task.image);
    task.fails = faulty_;
    task.endsAt = now + seconds(faulty_ ? 0.3 : task.runS);
    ground_.started(task.load, info_.host, task.attempt);
    noteChange();
  }

  void end(Task& task, const std::string& why) {
    task.stage = "ended";
    task.cause = why;
    if (task.onMachine) ground_.ended(task.load, info_.host, why);
    task.onMachine = false;
    noteChange();
  }

  void noteChange() { changed_ = true; }

  void taskLoop() {
    for (;;) {
      sleepSeconds(0.02);
      const std::lock_guard lock(mutex_);
      if (gone_) return;
      const Time now = Clock::now();
      if (secondsBetween(leaseFrom_, now) > settings_.leaseS) {
        record_.line("lease of " + info_.host + " ran out");
        for (Task& task : tasks_)
          if (task.onMachine) ground_.ended(task.load, info_.host, "lease");
        tasks_.clear();
        ++shift_;
        leaseFrom_ = now;
        noteChange();
      }
      for (Task& task : tasks_) {
        if (task.stage == "pulling" && now >= task.pulledAt) {
          run(task, now);
        } else if (task.stage == "running" && (task.fails || !task.isService) && now >= task.endsAt) {
          end(task, task.fails ? "error" : "done");
        }
      }
    }
  }

  void reportLoop() {
    std::size_t node = random_() % nodes_.ports.size();
    for (;;) {
      Json report;
      Time sentAt;
      std::uint64_t shift;
      {
        const std::lock_guard lock(mutex_);
        if (gone_) return;
        report = reportBody();
        shift = shift_;
        changed_ = false;
        sentAt = Clock::now();
      }
      const Reply reply = call(nodes_.ports[node], "POST", "/v1/report", report, 4);
      double waitS = settings_.reportS * (0.75 + 0.5 * std::uniform_real_distribution<>()(random_));
      bool stay = true;
      {
        const std::lock_guard lock(mutex_);
        if (gone_) return;
        if (reply.status == 200) {
          const std::uint64_t token = reply.body.value("baton", std::uint64_t{0});
          const bool accepted = token >= token_ && shift == shift_;
          if (!reply.body["orders"].empty() || !accepted)
            record_.line("answer of " + nodes_.labels[node] + " to " + info_.host + (accepted ? ": " : " is dropped: ") +
                         reply.body.dump());
          if (accepted) {
            if (token > token_) noteChange();
            token_ = token;
            leaseFrom_ = std::max(leaseFrom_, sentAt);
            executeOrders(reply.body["orders"]);
          }
        } else {
          stay = false;
        }
      }
      if (!stay) {
        std::size_t next = (node + 1) % nodes_.ports.size();
        waitS = 1;
        if (reply.status == 421 && reply.body.is_object()) {
          const auto named = std::find(nodes_.labels.begin(), nodes_.labels.end(), reply.body.value("foreman", ""));
          const auto index = static_cast<std::size_t>(named - nodes_.labels.begin());
          if (named != nodes_.labels.end() && index != node) {
            next = index;
            waitS = 0.2;
          }
        }
        node = next;
        sleepSeconds(waitS);
        continue;
      }
      const Time due = sentAt + seconds(waitS);
      const Time earliest = sentAt + milliseconds(500);
      while (Clock::now() < due) {
        sleepSeconds(0.02);
        const std::lock_guard lock(mutex_);
        if (gone_) return;
        if (changed_ && Clock::now() >= earliest) break;
      }
    }
  }

  Record& record_;
  Ground& ground_;
  const Jobs& jobs_;
  const Nodes& nodes_;
  WorkerSettings settings_;
  MachineInfo info_;
  std::mt19937_64 random_;
  std::unique_ptr<Server> server_;
  std::mutex mutex_;
  std::vector<Task> tasks_;
  std::set<std::string> images_;
  std::uint64_t shift_ = 1, tally_ = 0, token_ = 0;
  Time leaseFrom_;
  bool changed_ = false, gone_ = false, faulty_ = false;
  std::string heldJob_;
  double holdS_ = 0;
  int held_ = 0;
};

// --- cloud ---------------------------------------------------------------------------------------------------

struct MachineType {
  std::string name;
  double cpus = 8, memoryGb = 32;
  double bootS = 2;
  std::vector<std::string> zones;
  int capacity = 2;  // ordinary machines in all
};

class Cloud {
 public:
  using Boot = std::function<std::shared_ptr<Worker>(const MachineInfo&)>;
  Cloud(Record& record, std::vector<MachineType> types, Boot boot)
      : record_(record), types_(std::move(types)), boot_(std::move(boot)) {
    server_ = std::make_unique<Server>([this](const auto& method, const auto& target, const Json& body) {
      return request(method, target, body);
    });
  }
  int port() const { return server_->port(); }
  std::vector<std::shared_ptr<Worker>> workers() {
    const std::lock_guard lock(mutex_);
    std::vector<std::shared_ptr<Worker>> all;
    for (auto& [host, machine] : machines_) all.push_back(machine.worker);
    return all;
  }
  std::shared_ptr<Worker> worker(const std::string& host) {
    const std::lock_guard lock(mutex_);
    const auto found = machines_.find(host);
    return found == machines_.end() ? nullptr : found->second.worker;
  }

 private:
  struct Machine {
    MachineInfo info;
    std::shared_ptr<Worker> worker;
    Time rentedAt;
    std::shared_ptr<std::atomic<bool>> running = std::make_shared<std::atomic<bool>>(false);
  };

  Reply request(const std::string& method, const std::string& target, const Json& body) {
    const std::lock_guard lock(mutex_);
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/catalog") return {200, catalog()};
    if (path == "/hosts" && method == "GET") return {200, list()};
    if (path == "/hosts/return") {
      record_.line("cloud: return " + body["hosts"].dump());
      for (const Json& host : body["hosts"]) {
        const auto found = machines_.find(host.get<std::string>());
        if (found == machines_.end()) continue;
        found->second.worker->remove();
        removed_.push_back(found->second.worker);
        machines_.erase(found);
      }
      return {200, Json::object()};
    }
    if (path == "/hosts") return rent(body);
    return {400, Json::object()};
  }
  Json catalog() const {
    Json rigs = Json::array();
    for (const MachineType& type : types_)
      rigs.push_back(Json{{"label", type.name}, {"vcpus", type.cpus}, {"accelerators", 0.0}, {"memoryGb", type.memoryGb},
                          {"cacheGb", 50.0}, {"pullGbPerS", 0.5}, {"rate", 0.28}, {"marketPrice", 0.08},
                          {"bootS", type.bootS}, {"yards", type.zones}});
    return Json{{"rigs", rigs}};
  }
  Json list() {
    Json hosts = Json::array();
    for (const auto& [host, machine] : machines_)
      hosts.push_back(Json{{"ref", host}, {"endpoint", machine.worker->endpoint()}, {"rig", machine.info.type},
                           {"yard", machine.info.zone}, {"loaners", machine.info.spot},
                           {"stage", *machine.running ? "running" : "starting"},
                           {"ageS", secondsBetween(machine.rentedAt, Clock::now())}});
    return Json{{"hosts", hosts}, {"more", false}};
  }
  Reply rent(const Json& body) {
    const std::string name = body["hire"];
    if (const auto known = hires_.find(name); known != hires_.end()) return {200, known->second};
    const auto type = std::find_if(types_.begin(), types_.end(), [&](const auto& t) { return t.name == body["rig"]; });
    if (type == types_.end()) return {400, Json::object()};
    Json hosts = Json::array();
    const int inUse = static_cast<int>(std::count_if(machines_.begin(), machines_.end(),
                                                     [&](const auto& m) { return m.second.info.type == type->name; }));
    const int free = body["loaners"].get<bool>() ? 0 : type->capacity - inUse;
    for (int i = 0; i < std::min(free, body["number"].get<int>()); ++i) {
      char host[32];
      std::snprintf(host, sizeof host, "vm-%06d", ++lastMachine_);
      Machine machine;
      machine.info = MachineInfo{host, type->name, body["yard"], false, type->cpus, type->memoryGb};
      machine.worker = boot_(machine.info);
      machine.rentedAt = Clock::now();
      std::thread([worker = machine.worker, running = machine.running, bootS = type->bootS] {
        sleepSeconds(bootS);
        *running = true;
        worker->start();
      }).detach();
      machines_[host] = machine;
      hosts.push_back(host);
    }
    record_.line("cloud: hire " + body.dump() + " -> " + hosts.dump());
    if (hosts.empty()) return {503, Json{{"error", "no capacity"}}};
    hires_[name] = Json{{"hosts", hosts}};
    return {200, hires_[name]};
  }

  Record& record_;
  std::vector<MachineType> types_;
  Boot boot_;
  std::mutex mutex_;
  std::map<std::string, Machine> machines_;
  std::vector<std::shared_ptr<Worker>> removed_;
  std::map<std::string, Json> hires_;
  int lastMachine_ = 0;
  std::unique_ptr<Server> server_;
};

// --- controllers ---------------------------------------------------------------------------------------------

// The deployment: three controllers as processes, each with a state address of its own and a proxy for every
// link between two of them.
class World {
 public:
  struct Options {
    std::vector<std::string> areas{"rack", "rack", "rack"};
    Json workers{{"report_s", 1.5}, {"lease_s", 12.0}, {"gang_wait_s", 40.0}, {"gang_peer_s", 4.0}, {"cancel_s", 42.0}};
    Json teams = Json::array({Json{{"name", "desk"}, {"cpus", 0.0}, {"cpus_max", 0.0}, {"gpus", 0.0}, {"gpus_max", 0.0}}});
    std::vector<std::string> zones{"rack"};
    std::vector<MachineType> types;
  };

  World(std::string program, std::string folder, Options options)
      : record(folder + "/record.txt"), ground(record), program_(std::move(program)), options_(std::move(options)),
        state(record, static_cast<int>(options_.areas.size()), {}),
        cloud(record, options_.types, [this](const MachineInfo& info) {
          return std::make_shared<Worker>(record, ground, jobs, nodes,
                                          WorkerSettings{options_.workers["report_s"], options_.workers["lease_s"]}, info);
        }) {
    char temporary[] = "/tmp/reachhoist-review-XXXXXX";
    directory_ = ::mkdtemp(temporary);
    const int count = static_cast<int>(options_.areas.size());
    processes_.assign(static_cast<std::size_t>(count), -1);
    for (int i = 0; i < count; ++i) {
      nodes.labels.push_back("hoist-" + std::to_string(i));
      nodes.ports.push_back(freePort());
      peerPorts_.push_back(freePort());
    }
    for (int i = 0; i < count; ++i) {
      links_.emplace_back();
      for (int j = 0; j < count; ++j) links_.back().push_back(std::make_unique<Proxy>(peerPorts_[static_cast<std::size_t>(j)]));
    }
    for (int i = 0; i < count; ++i) writeSettings(i);
  }
  // Ends all processes that the case started, removes its folder and exits.
  [[noreturn]] void finish(int status, const std::string& text) {
    record.line(text);
    std::printf("%s\n", text.c_str());
    for (int i = 0; i < count(); ++i) kill(i);
    if (std::getenv("KEEP_LOGS") == nullptr) {
      for (const std::string& label : nodes.labels) {
        ::unlink((directory_ + "/" + label + ".json").c_str());
        ::unlink((directory_ + "/" + label + ".log").c_str());
      }
      ::rmdir(directory_.c_str());
    } else {
      std::fprintf(stderr, "logs: %s\n", directory_.c_str());
    }
    std::fflush(nullptr);
    std::_Exit(status);
  }

  void start(int i) {
    const std::string settings = directory_ + "/" + nodes.labels[static_cast<std::size_t>(i)] + ".json";
    const std::string log = directory_ + "/" + nodes.labels[static_cast<std::size_t>(i)] + ".log";
    const pid_t pid = ::fork();
    if (pid == 0) {
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
      ::dup2(fd, 2);
      ::setenv("LOG_LEVEL", "debug", 1);
      ::execl(program_.c_str(), program_.c_str(), "--config", settings.c_str(), nullptr);
      ::_exit(127);
    }
    processes_[static_cast<std::size_t>(i)] = pid;
    record.line("start " + nodes.labels[static_cast<std::size_t>(i)]);
  }
  void kill(int i) {
    pid_t& pid = processes_[static_cast<std::size_t>(i)];
    if (pid <= 0) return;
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
    pid = -1;
    record.line("kill " + nodes.labels[static_cast<std::size_t>(i)]);
  }
  void signal(int i, int number) {
    record.line("signal " + std::to_string(number) + " to " + nodes.labels[static_cast<std::size_t>(i)]);
    ::kill(processes_[static_cast<std::size_t>(i)], number);
  }
  // Whether the process has ended by itself.
  bool hasEnded(int i) {
    pid_t& pid = processes_[static_cast<std::size_t>(i)];
    int status = 0;
    if (pid <= 0 || ::waitpid(pid, &status, WNOHANG) != pid) return false;
    record.line(nodes.labels[static_cast<std::size_t>(i)] + " ended by itself, wait status " + std::to_string(status));
    pid = -1;
    return true;
  }
  // Cuts the controller off from the state service and the other controllers, or ends the cut. Its connections
  // are reset and new ones are refused.
  void cutFromStateAndPeers(int i, bool cut) {
    record.line(std::string(cut ? "cut " : "end of the cut of ") + nodes.labels[static_cast<std::size_t>(i)] +
                " from the state service and the other controllers");
    state.setCut(i, cut);
    cutPeers(i, cut);
  }
  void cutPeers(int i, bool cut) {
    for (std::size_t j = 0; j < processes_.size(); ++j) {
      links_[static_cast<std::size_t>(i)][j]->setRefusing(cut);
      links_[j][static_cast<std::size_t>(i)]->setRefusing(cut);
    }
  }
  int count() const { return static_cast<int>(processes_.size()); }
  // The memory that the process holds, in MiB; 0 if it does not run.
  double memoryMib(int i) const {
    const pid_t pid = processes_[static_cast<std::size_t>(i)];
    if (pid <= 0) return 0;
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    while (status >> word)
      if (word == "VmRSS:") {
        double kib = 0;
        status >> kib;
        return kib / 1024;
      }
    return 0;
  }
  int indexOf(const std::string& label) const {
    for (std::size_t i = 0; i < nodes.labels.size(); ++i)
      if (nodes.labels[i] == label) return static_cast<int>(i);
    return -1;
  }
  // Waits until the condition holds. Returns whether it does.
  bool waitFor(double timeoutS, const std::function<bool()>& condition) {
    const Time until = Clock::now() + seconds(timeoutS);
    while (!condition()) {
      if (Clock::now() >= until) return false;
      sleepSeconds(0.005);
    }
    return true;
  }
  bool isHealthy(int i) { return call(nodes.ports[static_cast<std::size_t>(i)], "GET", "/healthz", Json(), 1).status == 200; }

  // A user's submission, with the retries of the protocol, over healthy nodes in turn. Returns the status.
  int submit(const std::string& ref, const JobPlan& plan, int firstNode = 0) {
    jobs.add(ref, plan);
    return retried("POST", "/api/jobs", plan.body, firstNode, 5, {200, 201, 400, 422}).status;
  }
  Reply abort(const std::string& ref, int firstNode = 0) {
    return retried("POST", "/api/jobs/" + ref + "/abort", Json::object(), firstNode, 5, {200, 404});
  }
  Reply query(const std::string& ref, int node) {
    const Reply reply = call(nodes.ports[static_cast<std::size_t>(node)], "GET", "/api/jobs/" + ref, Json(), 2);
    record.line("user: GET " + ref + " at " + nodes.labels[static_cast<std::size_t>(node)] + " -> " +
                std::to_string(reply.status) + " " + reply.body.dump());
    return reply;
  }
  std::string stage(const std::string& ref, int node) {
    const Reply reply = query(ref, node);
    return reply.status == 200 ? reply.body.value("stage", "") : "";
  }
  Reply retried(const std::string& method, const std::string& target, const Json& body, int firstNode, double timeoutS,
                const std::set<int>& final) {
    Reply reply{0, Json()};
    int node = firstNode;
    const Time until = Clock::now() + std::chrono::seconds(60);
    while (Clock::now() < until) {
      const int at = node++ % count();
      if (processes_[static_cast<std::size_t>(at)] <= 0) continue;
      reply = call(nodes.ports[static_cast<std::size_t>(at)], method, target, body, timeoutS);
      record.line("user: " + method + " " + target + " " + body.dump() + " at " + nodes.labels[static_cast<std::size_t>(at)] +
                  " -> " + std::to_string(reply.status) + " " + reply.body.dump());
      if (final.contains(reply.status)) return reply;
      sleepSeconds(1);
    }
    return reply;
  }

  Record record;
  Ground ground;
  Jobs jobs;
  Nodes nodes;

 private:
  void writeSettings(int i) {
    const auto own = static_cast<std::size_t>(i);
    Json siblings = Json::array();
    for (std::size_t j = 0; j < processes_.size(); ++j)
      if (j != own)
        siblings.push_back(Json{{"label", nodes.labels[j]}, {"area", options_.areas[j]}, {"endpoint", endpointOf(links_[own][j]->port())}});
    const Json settings{
        {"label", nodes.labels[own]}, {"area", options_.areas[own]}, {"bind", endpointOf(nodes.ports[own])},
        {"peer_listen", endpointOf(peerPorts_[own])}, {"siblings", siblings},
        {"endpoints", {{"cloud", endpointOf(cloud.port())}, {"state", endpointOf(state.port(i))}}},
        {"facts",
         {{"initial_size", processes_.size()}, {"zones", options_.zones}, {"teams", options_.teams},
          {"objectives", Json::array()}, {"workers", options_.workers},
          {"state", {{"rps", 200.0}, {"write_rps", 40.0}, {"value_kb", 32.0}, {"txn_ops", 16}}},
          {"cloud", {{"rps", 3.0}, {"list_lag_s", 10.0}}},
          {"limits", {{"core_share", 0.12}, {"ram_mb", 72.0}, {"max_connections", 1000}}},
          {"clock_off_ms", 5.0}}}};
    std::ofstream(directory_ + "/" + nodes.labels[own] + ".json") << settings.dump(1);
  }

  std::string program_;
  Options options_;

 public:
  StateService state;
  Cloud cloud;

 private:
  std::string directory_;
  std::vector<pid_t> processes_;
  std::vector<int> peerPorts_;
  std::vector<std::vector<std::unique_ptr<Proxy>>> links_;
};

// The body of a submission.
inline Json jobBody(const std::string& ref, const std::string& shape, const std::string& rank, int loads, double vcpus,
                    const std::string& crate, double sizeGb, double expectS) {
  return Json{{"ref", ref},       {"lane", "fill-recon"}, {"crew", "desk"},      {"shape", shape},    {"rank", rank},
              {"loads", loads},   {"vcpus", vcpus},       {"accelerators", 0.0}, {"memoryGb", 2.0},   {"crate", crate},
              {"sizeGb", sizeGb}, {"rigs", nullptr},      {"yard", nullptr},     {"oneZone", false},  {"apart", false},
              {"loaners", false}, {"expectS", expectS},   {"stowEveryS", 0.0},   {"stowS", 0.0},      {"dueS", nullptr}};
}

// Exit statuses of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

inline bool withTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review
