// Stand-in of the state service: keys, transactions, leases, watches, limits, outages.
#pragma once

#include <list>
#include <map>
#include <set>
#include <string>

#include "standin/sim.hpp"
#include "state/token_bucket.hpp"

namespace standin {

using reachhoist::wire::Json;

class StateService {
 public:
  using Answer = std::function<void(int status, Json body)>;
  struct Limits {
    double rps = 1000;
    double writeRps = 1000;
    double valueKb = 32;
    std::size_t txnOps = 16;
  };

  StateService(Sim& sim, Limits limits);
  // `answer` may be called much later (watches).
  void request(const std::string& from, const std::string& method, const std::string& path, const Json& body,
               Answer answer);
  void outage(double seconds);
  void deny(const std::string& node, double seconds) { deniedUntil_[node] = sim_.now() + seconds; }
  // Called for each key that a transaction has just written.
  std::function<void(const std::string& from, const std::string& key)> onApplied;
  // Lower limits from now on, without notice.
  void lower(double valueKb, std::size_t txnOps, double writeRps) {
    limits_.valueKb = valueKb;
    limits_.txnOps = txnOps;
    writes_.set(writeRps, writeRps);
  }
  void put(const std::string& key, const Json& value) {
    entries_[key] = Entry{value, ++ledger_, 0};
    record(key, &value);
  }
  Json value(const std::string& key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() ? Json::object() : found->second.value;
  }
  std::size_t refusedBySize() const { return tooLarge_; }
  std::size_t refusedByLimit() const { return refused_; }
  std::size_t requests() const { return served_; }
  std::size_t changes() const { return changed_; }

 private:
  struct Entry {
    Json value;
    std::uint64_t revision = 0;
    std::uint64_t leaseId = 0;
  };
  struct Lease {
    double ttl = 0;
    double ends = 0;
  };
  struct Watch {
    std::string from;
    std::string prefix;
    std::uint64_t after = 0;
    double ends = 0;
    Answer answer;
  };
  bool down(const std::string& node) const;
  void expire();
  void record(const std::string& key, const Json* value);
  Json changesSince(const std::string& prefix, std::uint64_t after) const;
  void serveWatches();
  void multi(const std::string& from, const Json& body, const Answer& answer);

  Sim& sim_;
  Limits limits_;
  std::uint64_t ledger_ = 0;
  std::uint64_t nextLeaseId_ = 1;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Lease> leases_;
  std::list<Watch> watches_;
  std::vector<std::pair<std::uint64_t, Json>> log_;
  std::map<std::string, double> deniedUntil_;
  double downUntil_ = 0;
  reachhoist::state::TokenBucket requests_;
  reachhoist::state::TokenBucket writes_;
  std::size_t refused_ = 0;
  std::size_t tooLarge_ = 0;
  std::size_t served_ = 0;
  std::size_t changed_ = 0;
};

}  // namespace standin
