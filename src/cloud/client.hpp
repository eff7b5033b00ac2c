// Client of the cloud's instance API: instance requests (scale-out), releases (scale-in), the instance list
// and the catalogue, within the cloud's rate limit. An instance request is an idempotent request: it is
// retried under its own name until its outcome is known.
#pragma once

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
  // For logs: "type/zone/spot" or "type/zone/ordinary".
  std::string str() const { return machineType + "/" + zone + (spot ? "/spot" : "/ordinary"); }
};

// Used by one leader. Its callbacks run on the caller's thread, and none after the client is destroyed.
class Client {
 public:
  // What the client reports back.
  struct Handlers {
    // The outcome of an instance request: the hosts provisioned, and how many instances were refused (also
    // for requests dropped unsent after the pool refused another).
    std::function<void(const PoolKey& pool, const std::vector<std::string>& hosts, std::size_t refused)>
        provisioned;
    // Hosts whose release the cloud confirmed: they are gone.
    std::function<void(const std::vector<std::string>& hosts)> released;
    // A complete walk through the cloud's instance list, page by page.
    std::function<void(const std::vector<wire::InstanceEntry>& hosts)> listed;
    // A fresh catalogue of machine types, fetched at start and then every constants::kCatalogInterval.
    std::function<void(std::vector<wire::MachineType> catalog)> catalog;
  };

  // incarnationName: prefix of the names of all instance requests. No incarnation of any controller may ever
  // use it again.
  Client(wire::Calls& calls, const config::Settings& settings, std::string incarnationName,
         Handlers handlers);

  // Scales out by `count` instances of the pool, in requests of at most constants::kMaxInstancesPerRequest.
  void requestInstances(Time now, const PoolKey& pool, std::size_t count);
  // Releases the host (scale-in) at the next tick; retried until the cloud confirms.
  void release(Time now, const std::string& host);
  // Sends what is due: releases, instance requests, and the periodic list and catalogue.
  void tick(Time now);
  // Instances requested in the pool whose request has no answer yet.
  std::size_t pendingInstances(const PoolKey& pool) const;

 private:
  struct InstanceRequest {
    std::string name;
    PoolKey pool;
    std::size_t count = 0;
    int refusals = 0;   // for lack of capacity
    bool sent = false;  // at least once: the cloud may know of it
    Time notBefore{};   // of the next try
    bool inFlight = false;
  };
  // Sends the call if the rate limit allows it now; false if not.
  bool call(Time now, const char* method, std::string path, Json body, wire::Calls::Done done);
  void sendInstanceRequest(Time now, const std::shared_ptr<InstanceRequest>& request);
  // Reports the request's outcome and removes it.
  void finish(const std::shared_ptr<InstanceRequest>& request, const std::vector<std::string>& hosts);
  // Drops the pool's requests not sent yet: it has no capacity left, so that they would be refused as well.
  void dropUnsent(const PoolKey& pool);
  void onInstanceResponse(const std::shared_ptr<InstanceRequest>& request, const wire::CallResult& result);
  void sendReleases(Time now);
  void onReleased(const std::vector<std::string>& batch, const wire::CallResult& result);
  void sendList(Time now);
  // One page of the instance list; the last one completes the walk.
  void onListPage(const wire::CallResult& result);
  void sendCatalog(Time now);

  wire::Calls& calls_;
  const config::Settings& settings_;
  std::string incarnationName_;
  Handlers handlers_;
  state::TokenBucket budget_;
  Time now_{};
  std::uint64_t requestCount_ = 0;
  std::vector<std::shared_ptr<InstanceRequest>> requests_;
  std::set<std::string> releases_;
  bool releaseInFlight_ = false;
  Time nextRelease_{};
  bool listInFlight_ = false;
  Time nextList_{};
  std::string listAfter_;
  std::vector<wire::InstanceEntry> listedSoFar_;
  bool catalogInFlight_ = false;
  Time nextCatalog_{};
  state::CallbackGuard guard_;
};

}  // namespace reachhoist::cloud
