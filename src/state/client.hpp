// Requests to the state service, sent by urgency as far as this controller's share of the budgets allows.
#pragma once

#include <array>
#include <deque>

#include "config/settings.hpp"
#include "state/token_bucket.hpp"
#include "wire/exchange.hpp"

namespace reachhoist::state {

using wire::Json;
using wire::Time;

struct Condition {
  std::string key;
  std::uint64_t stamp = 0;  // 0: must not exist
};
struct Write {
  std::string key;
  std::optional<Json> value;  // none: delete
  std::optional<std::uint64_t> leaseId;
};
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};
Json encode(const Transaction& transaction);

// Most urgent first. Leases and acceptances may overdraw the budget, the others wait.
enum class Urgency { lease, accept, place, complete, rest };

class Client {
 public:
  using Done = wire::Calls::Done;

  Client(wire::Calls& calls, const config::Settings& settings);
  // With a fixed share of the budgets, for programs that are no controllers.
  Client(wire::Calls& calls, const config::Settings& settings, double share);

  void multi(Time now, Urgency urgency, const Transaction& transaction, Done done);
  void get(Time now, Urgency urgency, const std::string& key, Done done);
  void list(Time now, Urgency urgency, const std::string& prefix, const std::string& after, Done done);
  void changes(Time now, Urgency urgency, const std::string& prefix, std::uint64_t after,
               std::chrono::milliseconds block, Done done);
  void newLease(Time now, std::chrono::milliseconds ttl, Done done);
  void endLease(Time now, std::uint64_t leaseId);
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
