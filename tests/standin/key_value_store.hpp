// Stand-in for the consensus-backed key-value store: keys, compare-and-swap transactions, leases, watches,
// limits and outages.
#pragma once

#include <list>
#include <map>
#include <set>
#include <string>

#include "standin/simulation.hpp"
#include "state/token_bucket.hpp"

namespace standin {

using reachhoist::wire::Json;

class KeyValueStore {
 public:
  using Answer = std::function<void(int status, Json body)>;
  struct Limits {
    double requestsPerS = 1000;
    double writesPerS = 1000;
    double maxValueKib = 32;
    std::size_t opsPerTransaction = 16;
  };

  KeyValueStore(Simulation& sim, Limits limits);
  // Serves one HTTP request of the client. Watches may call `answer` much later.
  void request(const std::string& client, const std::string& method, const std::string& path,
               const Json& body, Answer answer);
  // The store answers 503 to all clients for the duration, and answers no watches. No lease expires during
  // the outage, and each lease then has its full TTL again.
  void startOutage(double durationS);
  // The store answers 503 to only this client for the duration.
  void startOutageFor(const std::string& client, double durationS) {
    clientDownUntilS_[client] = sim_.now() + durationS;
  }
  using AppliedListener = std::function<void(const std::string& client, const std::string& key)>;
  // Adds a listener that is called for each key that a transaction has just written.
  void addAppliedListener(AppliedListener listener) { appliedListeners_.push_back(std::move(listener)); }
  // Lowers the limits from now on, without notice.
  void lowerLimits(double maxValueKib, std::size_t opsPerTransaction, double writesPerS);
  // Writes a key without a client, a condition or a limit.
  void put(const std::string& key, const Json& value);
  // Returns the stored value, or an empty object.
  Json value(const std::string& key) const;

  std::size_t refusedBySize() const { return refusedBySize_; }
  std::size_t requestCount() const { return requestCount_; }
  std::size_t writeCount() const { return writeCount_; }

 private:
  struct Entry {
    Json value;
    std::uint64_t revision = 0;
    std::uint64_t leaseId = 0;
  };
  struct Lease {
    double ttlS = 0;
    double expiresAtS = 0;
  };
  struct Watch {
    std::string client;
    std::string prefix;
    std::uint64_t afterRevision = 0;
    double endsAtS = 0;
    Answer answer;
  };
  struct Change {
    std::uint64_t revision = 0;
    Json message;
  };
  bool isDownFor(const std::string& client) const;
  void expireLeases();
  void recordWrite(const std::string& key, const Json& value);
  void recordDelete(const std::string& key);
  Json changesSince(const std::string& prefix, std::uint64_t afterRevision) const;
  void serveWatches();

  void commit(const std::string& client, const Json& transaction, const Answer& answer);
  bool withinOperationLimits(const Json& transaction) const;
  Json failedConditions(const Json& conditions) const;
  bool refuseInvalidChange(const Json& changes, const Answer& answer);
  std::vector<std::string> apply(const Json& changes);
  void grantLease(const Json& body, const Answer& answer);
  void renewLease(const std::string& path, const Answer& answer);
  void watch(const std::string& client, const std::string& path, Answer answer);
  void list(const std::string& path, const Answer& answer) const;
  void read(const std::string& path, const Answer& answer) const;

  Simulation& sim_;
  Limits limits_;
  std::uint64_t revision_ = 0;
  std::uint64_t nextLeaseId_ = 1;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Lease> leases_;
  std::list<Watch> watches_;
  std::vector<Change> changeLog_;
  std::vector<AppliedListener> appliedListeners_;
  std::map<std::string, double> clientDownUntilS_;
  double downUntilS_ = 0;
  reachhoist::state::TokenBucket requestBudget_;
  reachhoist::state::TokenBucket writeBudget_;
  std::size_t refusedBySize_ = 0;
  std::size_t requestCount_ = 0;
  std::size_t writeCount_ = 0;
};

}  // namespace standin
