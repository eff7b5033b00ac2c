// Client of the cloud's instance API. It sends instance requests (scale-out) and releases (scale-in) and
// reads the instance list and the catalogue, all within the cloud's rate limit. Each instance request has a
// name that makes it idempotent, and the client retries it under that name until its outcome is known.
#pragma once

#include <deque>
#include <memory>
#include <set>

#include "config/settings.hpp"
#include "state/callback_guard.hpp"
#include "state/token_bucket.hpp"
#include "wire/exchange.hpp"

namespace reachhoist::cloud {

using wire::Json;
using wire::Time;

// A pool of instances: one machine type in one zone, spot or on-demand.
struct PoolKey {
  std::string machineType;
  std::string zone;
  bool spot = false;
  auto operator<=>(const PoolKey&) const = default;
  // Returns the pool's name in logs: "type/zone/spot" or "type/zone/ordinary".
  std::string str() const { return machineType + "/" + zone + (spot ? "/spot" : "/ordinary"); }
};

// Each leader has its own client. The handlers run on the caller's thread, and none runs after the client is
// destroyed.
class Client {
 public:
  // Callbacks for what the client reports.
  struct Handlers {
    // Receives the outcome of an instance request: the provisioned hosts and the number of refused instances.
    // The instances of a request that was dropped unsent, after the cloud refused another one in the same
    // pool, count as refused.
    std::function<void(const PoolKey& pool, const std::vector<std::string>& hosts, std::size_t refused)>
        provisioned;
    // Receives the hosts whose release the cloud has confirmed. These hosts no longer exist.
    std::function<void(const std::vector<std::string>& hosts)> released;
    // Receives the complete instance list, after all its pages have been read.
    std::function<void(const std::vector<wire::InstanceEntry>& hosts)> listed;
    // Receives the catalogue of machine types, which the client reads at start and then every
    // constants::kCatalogInterval.
    std::function<void(std::vector<wire::MachineType> catalog)> catalog;
  };

  // `incarnationName` is the prefix of the names of all instance requests. It must be unique: no other
  // incarnation of any controller ever uses the same prefix. `calls` and `settings` must outlive the client.
  Client(wire::Calls& calls, const config::Settings& settings, std::string incarnationName,
         Handlers handlers);

  // Requests `count` instances in the pool. They are split into requests of at most
  // constants::kMaxInstancesPerRequest when these are sent.
  void requestInstances(Time now, const PoolKey& pool, std::size_t count);
  // Releases the host (scale-in). The client sends the release at the next tick and retries it until the
  // cloud confirms it.
  void release(Time now, const std::string& host);
  // Sends the calls that are due: releases, instance requests, and the periodic reads of the instance list
  // and the catalogue.
  void tick(Time now);
  // Returns the number of instances in the pool that were requested and whose outcome is not known yet.
  std::size_t pendingInstances(const PoolKey& pool) const;

 private:
  struct InstanceRequest {
    std::string name;
    PoolKey pool;
    std::size_t count = 0;
    int refusals = 0;  // number of refusals for lack of capacity
    Time retryAt{};    // earliest time of the next attempt
    bool inFlight = false;
  };
  // Instances that no request has been sent for yet.
  struct UnsentInstances {
    PoolKey pool;
    std::size_t count = 0;
  };
  // Sends the call if the rate limit allows it now. Returns whether the call was sent.
  bool tryCall(Time now, const char* method, std::string path, Json body, wire::Calls::Done done);
  // Sends the request if the rate limit allows it now.
  void sendInstanceRequest(Time now, const std::shared_ptr<InstanceRequest>& request);
  // Sends requests for the unsent instances, oldest first, as far as the rate limit allows.
  void sendUnsent(Time now);
  // Reports the outcome of the request and removes the request.
  void finish(const std::shared_ptr<InstanceRequest>& request, const std::vector<std::string>& hosts);
  // Drops the unsent instances of the pool. The pool has no capacity left, so the cloud would refuse them
  // too.
  void dropUnsent(const PoolKey& pool);
  void onInstanceResponse(const std::shared_ptr<InstanceRequest>& request, const wire::CallResult& result);
  void sendReleases(Time now);
  void onReleased(const std::vector<std::string>& batch, const wire::CallResult& result);
  void requestListPage(Time now);
  // Collects one page of the instance list, and reports the list after its last page.
  void onListPage(const wire::CallResult& result);
  void requestCatalog(Time now);

  wire::Calls& calls_;
  const config::Settings& settings_;
  std::string incarnationName_;
  Handlers handlers_;
  state::TokenBucket requestBudget_;
  Time now_{};
  std::uint64_t requestCount_ = 0;
  std::vector<std::shared_ptr<InstanceRequest>> requests_;  // sent at least once, outcome not known yet
  std::deque<UnsentInstances> unsent_;                      // oldest first
  std::set<std::string> hostsToRelease_;
  bool releaseInFlight_ = false;
  Time nextReleaseAt_{};
  bool listInFlight_ = false;
  Time nextListAt_{};
  std::string lastListedHost_;                        // the next page begins after this host
  std::vector<wire::InstanceEntry> listedInstances_;  // of the pages read so far
  bool catalogInFlight_ = false;
  Time nextCatalogAt_{};
  state::CallbackGuard guard_;
};

}  // namespace reachhoist::cloud
