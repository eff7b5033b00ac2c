// Instance requests, releases, lists and the catalogue, each sent when due and the rate limit allows.
#include "cloud/client.hpp"

#include <algorithm>

namespace reachhoist::cloud {

namespace {
constexpr double kShareOfRate = 0.8;  // of the cloud's rate; siblings fetch the catalogue at their start
constexpr std::chrono::milliseconds kRetry{1000};  // after an outage's or the rate limit's refusal
constexpr int kRefusalsMost = 2;                   // after a refusal the same request may be sent once more
}  // namespace

Client::Client(wire::Calls& calls, const config::Settings& settings, std::string incarnationName,
               Handlers handlers)
    : calls_(calls),
      settings_(settings),
      incarnationName_(std::move(incarnationName)),
      handlers_(std::move(handlers)),
      budget_(settings.cloud.requestsPerS * kShareOfRate, settings.cloud.requestsPerS) {}

bool Client::call(Time now, const char* method, std::string path, Json body, wire::Calls::Done done) {
  if (!budget_.affords(now, 1)) return false;
  budget_.take(now, 1);
  wire::Call call;
  call.to = wire::Service::cloud;
  call.endpoint = settings_.endpoints.cloud;
  call.method = method;
  call.path = std::move(path);
  call.body = std::move(body);
  call.timeout = constants::kCloudCallTimeout;
  calls_.start(std::move(call),
               [done = std::move(done), alive = std::weak_ptr<int>(alive_)](const auto& result) {
                 if (alive.lock()) done(result);
               });
  return true;
}

void Client::requestInstances(Time now, const PoolKey& pool, std::size_t count) {
  while (count > 0) {
    auto request = std::make_shared<InstanceRequest>();
    request->name = incarnationName_ + "-" + std::to_string(++counter_);
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

std::size_t Client::pending(const PoolKey& pool) const {
  std::size_t sum = 0;
  for (const auto& request : requests_)
    if (request->pool == pool) sum += request->count;
  return sum;
}

void Client::tick(Time now) {
  now_ = now;
  if (!releases_.empty() && !releasing_ && now >= nextRelease_) sendReleases(now);
  const auto requests = requests_;
  for (const auto& request : requests)
    if (!request->out && now >= request->notBefore) sendInstanceRequest(now, request);
  if (!askingCatalog_ && now >= nextCatalog_) sendCatalog(now);
  if (!listing_ && now >= nextList_) sendList(now);
}

void Client::sendInstanceRequest(Time now, const std::shared_ptr<InstanceRequest>& request) {
  request->out =
      call(now, "POST", "/hosts",
           Json{{"hire", request->name},
                {"rig", request->pool.machineType},
                {"yard", request->pool.zone},
                {"loaners", request->pool.spot},
                {"number", request->count}},
           [this, request](const wire::CallResult& result) { onInstanceResponse(request, result); });
  request->sent = request->sent || request->out;
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

void Client::onInstanceResponse(const std::shared_ptr<InstanceRequest>& request,
                                const wire::CallResult& result) {
  request->out = false;
  const auto finish = [&](const std::vector<std::string>& hosts) {
    std::erase(requests_, request);
    const std::size_t refused = request->count - std::min(request->count, hosts.size());
    handlers_.provisioned(request->pool, hosts, refused);
    if (refused > 0) dropUnsent(request->pool);
  };
  if (result.ok()) {
    std::vector<std::string> hosts;
    if (const Json* list = wire::field(result.body, "hosts"); list != nullptr && list->is_array()) {
      for (const Json& host : *list)
        if (host.is_string()) hosts.push_back(host.get<std::string>());
    }
    return finish(hosts);
  }
  // Without an answer the instances may have been provisioned: only the same name requested again tells.
  if (result.status == 503 && wire::textField(result.body, "error") == "no capacity" &&
      ++request->refusals >= kRefusalsMost)
    return finish({});
  if (result.status == 400) return finish({});
  request->notBefore = now_ + kRetry;
}

void Client::sendReleases(Time now) {
  std::vector<std::string> batch;
  for (const std::string& host : releases_) {
    if (batch.size() == constants::kMaxReleasesPerRequest) break;
    batch.push_back(host);
  }
  releasing_ = call(now, "POST", "/hosts/return", Json{{"hosts", batch}},
                    [this, batch](const wire::CallResult& result) { onReleased(batch, result); });
}

void Client::onReleased(const std::vector<std::string>& batch, const wire::CallResult& result) {
  releasing_ = false;
  if (!result.ok()) {
    nextRelease_ = now_ + kRetry;
    return;
  }
  for (const std::string& host : batch) releases_.erase(host);
  handlers_.released(batch);
}

void Client::sendList(Time now) {
  listing_ = call(now, "GET",
                  "/hosts?after=" + listAfter_ + "&limit=" + std::to_string(constants::kInstanceListPageSize),
                  {}, [this](const wire::CallResult& result) { onListPage(result); });
}

void Client::onListPage(const wire::CallResult& result) {
  listing_ = false;
  const Json* hosts = wire::field(result.body, "hosts");
  if (!result.ok() || hosts == nullptr || !hosts->is_array()) {
    nextList_ = now_ + kRetry;
    listAfter_.clear();
    listSoFar_.clear();
    return;
  }
  for (const Json& entry : *hosts) {
    if (auto host = wire::decodeHost(entry)) {
      listAfter_ = host->ref.text;
      listSoFar_.push_back(std::move(*host));
    }
  }
  if (wire::flagField(result.body, "more").value_or(false) && !hosts->empty()) {
    nextList_ = now_;
    return;
  }
  nextList_ = now_ + constants::kInstanceListInterval;
  listAfter_.clear();
  handlers_.listed(std::exchange(listSoFar_, {}));
}

void Client::sendCatalog(Time now) {
  askingCatalog_ = call(now, "GET", "/catalog", {}, [this](const wire::CallResult& result) {
    askingCatalog_ = false;
    auto catalog = result.ok() ? wire::decodeCatalog(result.body)
                               : wire::Result<std::vector<wire::MachineType>>::failure("no answer");
    nextCatalog_ = now_ + (catalog ? constants::kCatalogInterval : constants::kCatalogRetryInterval);
    if (catalog) handlers_.catalog(std::move(*catalog));
  });
}

}  // namespace reachhoist::cloud
