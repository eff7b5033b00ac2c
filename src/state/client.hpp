// Client of the consensus-backed key-value store. It queues requests by urgency, and sends as many as this
// controller's share of the store's request and write rate limits allows. The answers are decoded by the
// functions of answers.hpp.
#pragma once

#include <array>
#include <deque>

#include "config/settings.hpp"
#include "state/token_bucket.hpp"
#include "wire/exchange.hpp"

namespace reachhoist::state {

using wire::Json;
using wire::Time;

// Precondition of a compare-and-swap: the key's mod revision must equal revision.
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
// Compare-and-swap transaction: the writes are applied together if and only if every precondition holds.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};
// The transaction's body as the store's /multi endpoint takes it.
Json encode(const Transaction& transaction);

// Classes of requests, most urgent first. Leases and acceptances of jobs may exceed the rate limits, the
// others wait.
enum class Urgency { lease, acceptance, placement, completion, background };
inline constexpr std::size_t kUrgencyCount = 5;

// Rate-limited request queue to the key-value store. Each call ends with done(), also when it waited too
// long in the queue (with an empty result, status 0). Not thread-safe.
class Client {
 public:
  using Done = wire::Calls::Done;

  // With the share of a controller that does not lead; see setLeading().
  Client(wire::Calls& calls, const config::Settings& settings);
  // With a fixed share (0..1) of the rate limits, for programs that are not controllers.
  Client(wire::Calls& calls, const config::Settings& settings, double share);

  // Applies a compare-and-swap transaction. Status 409: a precondition does not hold.
  void transact(Time now, Urgency urgency, const Transaction& transaction, Done done);
  // Reads one key with its mod revision. Status 404: there is no such key.
  void get(Time now, Urgency urgency, const std::string& key, Done done);
  // Reads one page of the keys below prefix that sort after the key `after` (empty: from the start).
  void list(Time now, Urgency urgency, const std::string& prefix, const std::string& after, Done done);
  // Watches changes below prefix since revision `after`, waiting up to `block` for one (0: at once).
  void watch(Time now, Urgency urgency, const std::string& prefix, std::uint64_t after,
             std::chrono::milliseconds block, Done done);
  // Grants a lease of the given time to live; the answer holds its lease id.
  void grantLease(Time now, std::chrono::milliseconds ttl, Done done);
  // Revokes a lease; the answer is not awaited, since a lost one lets the lease expire by itself.
  void revokeLease(Time now, std::uint64_t leaseId);
  // Renews a lease (keep-alive); status 404 means it has expired.
  void renewLease(Time now, std::uint64_t leaseId, Done done);

  // Sends the queued requests that the rate limits now allow, and fails those that have waited too long.
  void pump(Time now);
  // Sets the share of the rate limits: the leader writes most and gets the larger one.
  void setLeading(bool leading);

 private:
  struct QueuedRequest {
    Time deadline{};  // for being sent
    std::string method{};
    std::string path{};
    Json body{};
    double writes = 0;  // keys that the request writes
    std::chrono::milliseconds timeout = constants::kStateCallTimeout;
    Done done{};
  };
  void submit(Time now, Urgency urgency, QueuedRequest request);
  void setShare(double share);
  bool withinLimits(Time now, const QueuedRequest& request);
  // Sends the request unless the rate limits forbid it for now.
  bool send(Time now, Urgency urgency, QueuedRequest& request);

  wire::Calls& calls_;
  const config::Settings& settings_;
  TokenBucket requests_;
  TokenBucket writes_;
  std::array<std::deque<QueuedRequest>, kUrgencyCount> queues_;  // by urgency
};

}  // namespace reachhoist::state
