#include "cloud/client.hpp"

#include <algorithm>

#include "wire/http_status.hpp"

namespace reachhoist::cloud {

namespace {
constexpr double kRateShare = 0.8;  // of the cloud's rate limit; siblings fetch the catalogue when they start
constexpr std::chrono::milliseconds kRetryPause{1000};  // after an outage or a refusal by the rate limit
constexpr int kMaxRefusals =
    2;  // after one refusal for lack of capacity the same request may be sent once more

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
      budget_(settings.cloudLimits.requestsPerS * kRateShare, settings.cloudLimits.requestsPerS) {}

bool Client::call(Time now, const char* method, std::string path, Json body, wire::Calls::Done done) {
  if (!budget_.affords(now, 1)) return false;
  budget_.take(now, 1);
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
  while (count > 0) {
    auto request = std::make_shared<InstanceRequest>();
    request->name = incarnationName_ + "-" + std::to_string(++requestCount_);
    request->pool = pool;
    request->count = std::min(count, constants::kMaxInstancesPerRequest);
    count -= request->count;
    requests_.push_back(request);
  }
  tick(now);
}

void Client::release(Time now, const std::string& host) {
  releases_.insert(host);
  now_ = std::max(now_, now);
}

std::size_t Client::pendingInstances(const PoolKey& pool) const {
  std::size_t sum = 0;
  for (const auto& request : requests_)
    if (request->pool == pool) sum += request->count;
  return sum;
}

void Client::tick(Time now) {
  now_ = now;
  if (!releases_.empty() && !releaseInFlight_ && now >= nextRelease_) sendReleases(now);
  const auto requests = requests_;  // a copy: an answer removes its request
  for (const auto& request : requests)
    if (!request->inFlight && now >= request->notBefore) sendInstanceRequest(now, request);
  if (!catalogInFlight_ && now >= nextCatalog_) sendCatalog(now);
  if (!listInFlight_ && now >= nextList_) sendList(now);
}

void Client::sendInstanceRequest(Time now, const std::shared_ptr<InstanceRequest>& request) {
  request->inFlight =
      call(now, "POST", "/hosts",
           Json{{"hire", request->name},
                {"rig", request->pool.machineType},
                {"yard", request->pool.zone},
                {"loaners", request->pool.spot},
                {"number", request->count}},
           [this, request](const wire::CallResult& result) { onInstanceResponse(request, result); });
  request->sent = request->sent || request->inFlight;
}

void Client::dropUnsent(const PoolKey& pool) {
  std::size_t count = 0;
  std::erase_if(requests_, [&](const auto& request) {
    if (request->sent || request->pool != pool) return false;
    count += request->count;
    return true;
  });
  if (count > 0) handlers_.provisioned(pool, {}, count);
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
  // Without an answer the instances may have been provisioned: only repeating the request tells.
  request->notBefore = now_ + kRetryPause;
}

void Client::sendReleases(Time now) {
  std::vector<std::string> batch;
  for (const std::string& host : releases_) {
    if (batch.size() == constants::kMaxReleasesPerRequest) break;
    batch.push_back(host);
  }
  releaseInFlight_ = call(now, "POST", "/hosts/return", Json{{"hosts", batch}},
                          [this, batch](const wire::CallResult& result) { onReleased(batch, result); });
}

void Client::onReleased(const std::vector<std::string>& batch, const wire::CallResult& result) {
  releaseInFlight_ = false;
  if (!result.ok()) {
    nextRelease_ = now_ + kRetryPause;
    return;
  }
  for (const std::string& host : batch) releases_.erase(host);
  handlers_.released(batch);
}

void Client::sendList(Time now) {
  listInFlight_ = call(
      now, "GET", "/hosts?after=" + listAfter_ + "&limit=" + std::to_string(constants::kInstanceListPageSize),
      {}, [this](const wire::CallResult& result) { onListPage(result); });
}

void Client::onListPage(const wire::CallResult& result) {
  listInFlight_ = false;
  const Json* hosts = wire::field(result.body, "hosts");
  if (!result.ok() || hosts == nullptr || !hosts->is_array()) {
    nextList_ = now_ + kRetryPause;
    listAfter_.clear();
    listedSoFar_.clear();
    return;
  }
  for (const Json& entry : *hosts) {
    if (auto instance = wire::decodeInstance(entry)) {
      listAfter_ = instance->host.text;
      listedSoFar_.push_back(std::move(*instance));
    }
  }
  if (wire::flagField(result.body, "more").value_or(false) && !hosts->empty()) {
    nextList_ = now_;
    return;
  }
  nextList_ = now_ + constants::kInstanceListInterval;
  listAfter_.clear();
  handlers_.listed(std::exchange(listedSoFar_, {}));
}

void Client::sendCatalog(Time now) {
  catalogInFlight_ = call(now, "GET", "/catalog", {}, [this](const wire::CallResult& result) {
    catalogInFlight_ = false;
    auto catalog = result.ok() ? wire::decodeCatalog(result.body)
                               : wire::Result<std::vector<wire::MachineType>>::failure("no answer");
    nextCatalog_ = now_ + (catalog ? constants::kCatalogInterval : constants::kCatalogRetryInterval);
    if (catalog) handlers_.catalog(std::move(*catalog));
  });
}

}  // namespace reachhoist::cloud
