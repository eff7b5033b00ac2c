#include "cloud/client.hpp"

#include <algorithm>

#include "wire/http_status.hpp"

namespace reachhoist::cloud {

namespace {
// The client uses this share of the cloud's rate limit. The rest is left for the other controllers, which
// read the catalogue when they start.
constexpr double kRateLimitShare = 0.8;
// A call is retried this long after the cloud failed to answer or the rate limit refused the call.
constexpr std::chrono::milliseconds kRetryDelay{1000};
// An instance request ends at this many refusals for lack of capacity. It is sent once more after the first.
constexpr int kMaxRefusals = 2;

std::vector<std::string> decodeHosts(const wire::CallResult& result) {
  std::vector<std::string> hosts;
  const Json* list = wire::field(result.body, "hosts");
  if (list == nullptr || !list->is_array()) return hosts;
  for (const Json& host : *list)
    if (host.is_string()) hosts.push_back(host.get<std::string>());
  return hosts;
}
}  // namespace

Client::Client(wire::Calls& calls, const config::Settings& settings, std::string incarnationName,
               Handlers handlers)
    : calls_(calls),
      settings_(settings),
      incarnationName_(std::move(incarnationName)),
      handlers_(std::move(handlers)),
      requestBudget_(settings.cloudLimits.requestsPerS * kRateLimitShare, settings.cloudLimits.requestsPerS) {
}

bool Client::tryCall(Time now, const char* method, std::string path, Json body, wire::Calls::Done done) {
  if (!requestBudget_.affords(now, 1)) return false;
  requestBudget_.take(now, 1);
  wire::Call call;
  call.service = wire::Service::cloud;
  call.endpoint = settings_.endpoints.cloud;
  call.method = method;
  call.path = std::move(path);
  call.body = std::move(body);
  call.timeout = constants::kCloudCallTimeout;
  calls_.start(std::move(call), guard_.wrap(std::move(done)));
  return true;
}

void Client::requestInstances(Time now, const PoolKey& pool, std::size_t count) {
  if (count > 0) unsent_.push_back(UnsentInstances{pool, count});
  tick(now);
}

void Client::release(Time now, const std::string& host) {
  hostsToRelease_.insert(host);
  now_ = std::max(now_, now);
}

std::size_t Client::pendingInstances(const PoolKey& pool) const {
  std::size_t count = 0;
  for (const auto& request : requests_)
    if (request->pool == pool) count += request->count;
  for (const UnsentInstances& unsent : unsent_)
    if (unsent.pool == pool) count += unsent.count;
  return count;
}

void Client::tick(Time now) {
  now_ = now;
  if (!hostsToRelease_.empty() && !releaseInFlight_ && now >= nextReleaseAt_) sendReleases(now);
  const auto requests = requests_;  // a copy, because an answer removes its request from requests_
  for (const auto& request : requests)
    if (!request->inFlight && now >= request->retryAt) sendInstanceRequest(now, request);
  sendUnsent(now);
  if (!catalogInFlight_ && now >= nextCatalogAt_) requestCatalog(now);
  if (!listInFlight_ && now >= nextListAt_) requestListPage(now);
}

void Client::sendInstanceRequest(Time now, const std::shared_ptr<InstanceRequest>& request) {
  request->inFlight =
      tryCall(now, "POST", "/hosts",
              Json{{"hire", request->name},
                   {"rig", request->pool.machineType},
                   {"yard", request->pool.zone},
                   {"loaners", request->pool.spot},
                   {"number", request->count}},
              [this, request](const wire::CallResult& result) { onInstanceResponse(request, result); });
}

void Client::sendUnsent(Time now) {
  while (!unsent_.empty() && requestBudget_.affords(now, 1)) {
    UnsentInstances& unsent = unsent_.front();
    auto request = std::make_shared<InstanceRequest>();
    request->name = incarnationName_ + "-" + std::to_string(++requestCount_);
    request->pool = unsent.pool;
    request->count = std::min(unsent.count, constants::kMaxInstancesPerRequest);
    requests_.push_back(request);
    sendInstanceRequest(now, request);
    unsent.count -= request->count;
    if (unsent.count == 0) unsent_.pop_front();
  }
}

void Client::dropUnsent(const PoolKey& pool) {
  std::size_t droppedInstances = 0;
  std::erase_if(unsent_, [&](const UnsentInstances& unsent) {
    if (unsent.pool != pool) return false;
    droppedInstances += unsent.count;
    return true;
  });
  if (droppedInstances > 0) handlers_.provisioned(pool, {}, droppedInstances);
}

void Client::finish(const std::shared_ptr<InstanceRequest>& request, const std::vector<std::string>& hosts) {
  std::erase(requests_, request);
  const std::size_t refused = request->count - std::min(request->count, hosts.size());
  handlers_.provisioned(request->pool, hosts, refused);
  if (refused > 0) dropUnsent(request->pool);
}

void Client::onInstanceResponse(const std::shared_ptr<InstanceRequest>& request,
                                const wire::CallResult& result) {
  request->inFlight = false;
  if (result.ok()) return finish(request, decodeHosts(result));
  const bool noCapacity =
      result.status == http::kServiceUnavailable && wire::textField(result.body, "error") == "no capacity";
  if (noCapacity && ++request->refusals >= kMaxRefusals) return finish(request, {});
  if (result.status == http::kBadRequest) return finish(request, {});
  // The cloud may have provisioned the instances although no answer came. Only the answer to a repeated
  // request shows whether it did.
  request->retryAt = now_ + kRetryDelay;
}

void Client::sendReleases(Time now) {
  std::vector<std::string> batch;
  for (const std::string& host : hostsToRelease_) {
    if (batch.size() == constants::kMaxReleasesPerRequest) break;
    batch.push_back(host);
  }
  releaseInFlight_ = tryCall(now, "POST", "/hosts/return", Json{{"hosts", batch}},
                             [this, batch](const wire::CallResult& result) { onReleased(batch, result); });
}

void Client::onReleased(const std::vector<std::string>& batch, const wire::CallResult& result) {
  releaseInFlight_ = false;
  if (!result.ok()) {
    nextReleaseAt_ = now_ + kRetryDelay;
    return;
  }
  for (const std::string& host : batch) hostsToRelease_.erase(host);
  handlers_.released(batch);
}

void Client::requestListPage(Time now) {
  listInFlight_ = tryCall(
      now, "GET",
      "/hosts?after=" + lastListedHost_ + "&limit=" + std::to_string(constants::kInstanceListPageSize), {},
      [this](const wire::CallResult& result) { onListPage(result); });
}

void Client::onListPage(const wire::CallResult& result) {
  listInFlight_ = false;
  const Json* hosts = wire::field(result.body, "hosts");
  if (!result.ok() || hosts == nullptr || !hosts->is_array()) {
    nextListAt_ = now_ + kRetryDelay;
    lastListedHost_.clear();
    listedInstances_.clear();
    return;
  }
  for (const Json& entry : *hosts) {
    if (auto instance = wire::decodeInstance(entry)) {
      lastListedHost_ = instance->host.text;
      listedInstances_.push_back(std::move(*instance));
    }
  }
  if (wire::flagField(result.body, "more").value_or(false) && !hosts->empty()) {
    nextListAt_ = now_;
    return;
  }
  nextListAt_ = now_ + constants::kInstanceListInterval;
  lastListedHost_.clear();
  handlers_.listed(std::exchange(listedInstances_, {}));
}

void Client::requestCatalog(Time now) {
  catalogInFlight_ = tryCall(now, "GET", "/catalog", {}, [this](const wire::CallResult& result) {
    catalogInFlight_ = false;
    auto catalog = result.ok() ? wire::decodeCatalog(result.body)
                               : wire::Result<std::vector<wire::MachineType>>::failure("no answer");
    nextCatalogAt_ = now_ + (catalog ? constants::kCatalogInterval : constants::kCatalogRetryInterval);
    if (catalog) handlers_.catalog(std::move(*catalog));
  });
}

}  // namespace reachhoist::cloud
