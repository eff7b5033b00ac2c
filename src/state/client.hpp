// Client of the consensus-backed key-value store. It queues requests by urgency and sends as many as this
// controller's share of the store's request and write rate limits allows. The functions of answers.hpp decode
// the answers.
#pragma once

#include <array>
#include <deque>

#include "config/settings.hpp"
#include "state/token_bucket.hpp"
#include "wire/exchange.hpp"

namespace reachhoist::state {

using wire::Json;
using wire::Time;

// A precondition of a compare-and-swap: the key's mod revision must equal `revision`.
struct Condition {
  std::string key;
  std::uint64_t revision = 0;  // 0 if the key must not exist
};
// One write of a transaction: a put, or a delete if there is no value.
struct Write {
  std::string key;
  std::optional<Json> value;             // unset for a delete
  std::optional<std::uint64_t> leaseId;  // the key is deleted when this lease expires
};
// A compare-and-swap transaction. The writes are applied together if and only if every precondition holds.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};
// Returns the body of a request to the store's /multi endpoint.
Json encode(const Transaction& transaction);

// The classes of requests, the most urgent first. Requests for leases and job acceptances can exceed the rate
// limits; the others wait.
enum class Urgency { lease, acceptance, placement, completion, background };
inline constexpr std::size_t kUrgencyCount = 5;

// A rate-limited request queue to the key-value store. Each request calls done() once. If it waited too long
// in the queue, the result is empty and has status 0. Client is not thread-safe.
class Client {
 public:
  using Done = wire::Calls::Done;

  // Creates a client with the rate-limit share of a controller that does not lead; see setLeading().
  Client(wire::Calls& calls, const config::Settings& settings);
  // Creates a client with a fixed share (0..1) of the rate limits, for programs that are not controllers.
  Client(wire::Calls& calls, const config::Settings& settings, double rateLimitShare);

  // Applies a compare-and-swap transaction. Status 409 means that a precondition does not hold.
  void transact(Time now, Urgency urgency, const Transaction& transaction, Done done);
  // Reads one key with its mod revision. Status 404 means that the key does not exist.
  void get(Time now, Urgency urgency, const std::string& key, Done done);
  // Reads one page of the keys below `prefix` that sort after the key `after`; an empty `after` reads from
  // the start.
  void list(Time now, Urgency urgency, const std::string& prefix, const std::string& after, Done done);
  // Reads the changes below `prefix` after the revision `after`. The store waits up to `maxWait` for a
  // change; with 0 it answers immediately.
  void watch(Time now, Urgency urgency, const std::string& prefix, std::uint64_t after,
             std::chrono::milliseconds maxWait, Done done);
  // Requests a lease with the given time to live. The answer holds its lease id.
  void grantLease(Time now, std::chrono::milliseconds ttl, Done done);
  // Revokes a lease. The result is ignored, because the lease expires by itself if the call is lost.
  void revokeLease(Time now, std::uint64_t leaseId);
  // Renews a lease (keep-alive). Status 404 means that the lease has expired.
  void renewLease(Time now, std::uint64_t leaseId, Done done);

  // Sends the queued requests that the rate limits currently allow, and fails those that have waited too
  // long.
  void pump(Time now);
  // Sets the rate-limit share of a leader or of a follower. The leader writes most and gets the larger share.
  void setLeading(bool isLeading);

 private:
  struct QueuedRequest {
    Time sendDeadline{};
    std::string method{};
    std::string path{};
    Json body{};
    double writeCount = 0;  // number of keys that the request writes
    std::chrono::milliseconds timeout = constants::kStateCallTimeout;
    Done done{};
  };
  void submit(Time now, Urgency urgency, QueuedRequest request);
  void setRateLimitShare(double rateLimitShare);
  bool fitsRateLimits(Time now, const QueuedRequest& request);
  // Sends the request unless the rate limits currently forbid it. Returns whether it was sent.
  bool send(Time now, Urgency urgency, QueuedRequest& request);

  wire::Calls& calls_;
  const config::Settings& settings_;
  TokenBucket requestBudget_;
  TokenBucket writeBudget_;
  std::array<std::deque<QueuedRequest>, kUrgencyCount> queues_;  // by urgency
};

}  // namespace reachhoist::state
