// Client of the consensus-backed key-value store: queues requests by urgency and sends them as far as this
// controller's share of the store's request and write rate limits allows.
#pragma once

#include <array>
#include <deque>

#include "config/settings.hpp"
#include "state/token_bucket.hpp"
#include "wire/exchange.hpp"

namespace reachhoist::state {

using wire::Json;
using wire::Time;

// Precondition of a compare-and-swap: the key's mod revision must equal stamp.
struct Condition {
  std::string key;
  std::uint64_t revision = 0;  // 0: must not exist
};
// One write of a transaction: a put, or a delete when there is no value.
struct Write {
  std::string key;
  std::optional<Json> value;             // none: delete
  std::optional<std::uint64_t> leaseId;  // the key is deleted when this lease expires
};
// Compare-and-swap: the writes are applied together if and only if every precondition holds.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};
// The transaction's body as the store's /multi endpoint takes it.
Json encode(const Transaction& transaction);

// Most urgent first. Leases and acceptances may overdraw the budget, the others wait.
enum class Urgency { lease, accept, place, complete, rest };

// Rate-limited request queue to the key-value store. Each call ends with done(), also when it waited too
// long in the queue (with an empty result, status 0). Not thread-safe.
class Client {
 public:
  using Done = wire::Calls::Done;

  // With the share of a controller that does not lead; see setLeading().
  Client(wire::Calls& calls, const config::Settings& settings);
  // With a fixed share (0..1) of the rate limits, for programs that are not controllers.
  Client(wire::Calls& calls, const config::Settings& settings, double share);

  // Compare-and-swap transaction (POST /multi).
  void multi(Time now, Urgency urgency, const Transaction& transaction, Done done);
  // Reads one key with its mod revision.
  void get(Time now, Urgency urgency, const std::string& key, Done done);
  // Reads one page of the keys below prefix that sort after the key `after` (empty: from the start).
  void list(Time now, Urgency urgency, const std::string& prefix, const std::string& after, Done done);
  // Watches changes below prefix since revision `after`, waiting up to `block` for one (0: at once).
  void changes(Time now, Urgency urgency, const std::string& prefix, std::uint64_t after,
               std::chrono::milliseconds block, Done done);
  // Grants a lease of the given time to live; the answer holds its lease id.
  void newLease(Time now, std::chrono::milliseconds ttl, Done done);
  // Revokes a lease; the answer is not awaited, since a lost one lets the lease expire by itself.
  void endLease(Time now, std::uint64_t leaseId);
  // Renews a lease (keep-alive); status 404 means it has expired.
  void touchLease(Time now, std::uint64_t leaseId, Done done);

  // Sends what the budgets now allow, and fails what has waited too long.
  void pump(Time now);
  // The leader writes most and gets the larger share.
  void setLeading(bool leading);

 private:
  struct Queued {
    Time deadline;
    std::string method;
    std::string path;
    Json body;
    double writes = 0;
    std::chrono::milliseconds timeout{0};
    Done done;
  };
  void submit(Time now, Urgency urgency, Queued request);
  void setShare(double share);
  bool send(Time now, Urgency urgency, Queued& request);

  wire::Calls& calls_;
  const config::Settings& settings_;
  TokenBucket requests_;
  TokenBucket writes_;
  std::array<std::deque<Queued>, 5> queues_;
};

}  // namespace reachhoist::state
