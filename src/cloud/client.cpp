#include "cloud/client.hpp"

#include <algorithm>

namespace reachhoist::cloud {

namespace {
constexpr double kShareOfRate = 0.8;  // of the cloud's rate; siblings fetch the catalogue at their start
constexpr std::chrono::milliseconds kRetry{1000};  // after an outage's or the rate limit's refusal
constexpr int kRefusalsMost = 2;                   // after a refusal the same request may be sent once more
}  // namespace

Client::Client(wire::Calls& calls, const config::Settings& settings, std::string lifeName, Handlers handlers)
    : calls_(calls),
      settings_(settings),
      lifeName_(std::move(lifeName)),
      handlers_(std::move(handlers)),
      budget_(settings.cloudRps * kShareOfRate, settings.cloudRps) {}

bool Client::call(Time now, const char* method, std::string path, Json body, wire::Calls::Done done) {
  if (!budget_.affords(now, 1)) return false;
  budget_.take(now, 1);
  wire::Call call;
  call.to = wire::Service::cloud;
  call.endpoint = settings_.cloudEndpoint;
  call.method = method;
  call.path = std::move(path);
  call.body = std::move(body);
  call.timeout = constants::kCloudTimeout;
  calls_.start(std::move(call),
               [done = std::move(done), alive = std::weak_ptr<int>(alive_)](const auto& result) {
                 if (alive.lock()) done(result);
               });
  return true;
}

void Client::rent(Time now, const PoolKey& pool, std::size_t count) {
  while (count > 0) {
    auto rental = std::make_shared<Rental>();
    rental->name = lifeName_ + "-" + std::to_string(++counter_);
    rental->pool = pool;
    rental->count = std::min(count, constants::kHireAtMost);
    count -= rental->count;
    rentals_.push_back(rental);
  }
  tick(now);
}

void Client::giveBack(Time now, const std::string& host) {
  returns_.insert(host);
  now_ = std::max(now_, now);
}

std::size_t Client::pending(const PoolKey& pool) const {
  std::size_t sum = 0;
  for (const auto& rental : rentals_)
    if (rental->pool == pool) sum += rental->count;
  return sum;
}

void Client::tick(Time now) {
  now_ = now;
  if (!returns_.empty() && !returning_ && now >= nextReturn_) sendReturns(now);
  const auto rentals = rentals_;
  for (const auto& rental : rentals)
    if (!rental->out && now >= rental->notBefore) sendRental(now, rental);
  if (!askingCatalog_ && now >= nextCatalog_) sendCatalog(now);
  if (!listing_ && now >= nextList_) sendList(now);
}

void Client::sendRental(Time now, const std::shared_ptr<Rental>& rental) {
  rental->out = call(now, "POST", "/hosts",
                     Json{{"hire", rental->name},
                          {"rig", rental->pool.machineType},
                          {"yard", rental->pool.zone},
                          {"loaners", rental->pool.spot},
                          {"number", rental->count}},
                     [this, rental](const wire::CallResult& result) { onRental(rental, result); });
  rental->sent = rental->sent || rental->out;
}

void Client::dropUnsent(const PoolKey& pool) {
  std::size_t count = 0;
  std::erase_if(rentals_, [&](const auto& rental) {
    if (rental->sent || rental->pool != pool) return false;
    count += rental->count;
    return true;
  });
  if (count > 0) handlers_.rented(pool, {}, count);
}

void Client::onRental(const std::shared_ptr<Rental>& rental, const wire::CallResult& result) {
  rental->out = false;
  const auto finish = [&](const std::vector<std::string>& hosts) {
    std::erase(rentals_, rental);
    const std::size_t refused = rental->count - std::min(rental->count, hosts.size());
    handlers_.rented(rental->pool, hosts, refused);
    if (refused > 0) dropUnsent(rental->pool);
  };
  if (result.ok()) {
    std::vector<std::string> hosts;
    if (const Json* list = wire::field(result.body, "hosts"); list != nullptr && list->is_array()) {
      for (const Json& host : *list)
        if (host.is_string()) hosts.push_back(host.get<std::string>());
    }
    return finish(hosts);
  }
  // Without an answer the machines may have been rented: only the same name asked again tells.
  if (result.status == 503 && wire::textField(result.body, "error") == "no capacity" &&
      ++rental->refusals >= kRefusalsMost)
    return finish({});
  if (result.status == 400) return finish({});
  rental->notBefore = now_ + kRetry;
}

void Client::sendReturns(Time now) {
  std::vector<std::string> batch;
  for (const std::string& host : returns_) {
    if (batch.size() == constants::kReturnAtMost) break;
    batch.push_back(host);
  }
  returning_ = call(now, "POST", "/hosts/return", Json{{"hosts", batch}},
                    [this, batch](const wire::CallResult& result) {
                      returning_ = false;
                      if (!result.ok()) {
                        nextReturn_ = now_ + kRetry;
                        return;
                      }
                      for (const std::string& host : batch) returns_.erase(host);
                      handlers_.returned(batch);
                    });
}

void Client::sendList(Time now) {
  listing_ = call(now, "GET", "/hosts?after=" + listAfter_ + "&limit=" + std::to_string(constants::kListPage),
                  {}, [this](const wire::CallResult& result) {
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
                    nextList_ = now_ + constants::kListEvery;
                    listAfter_.clear();
                    handlers_.listed(std::exchange(listSoFar_, {}));
                  });
}

void Client::sendCatalog(Time now) {
  askingCatalog_ = call(now, "GET", "/catalog", {}, [this](const wire::CallResult& result) {
    askingCatalog_ = false;
    auto catalog = result.ok() ? wire::decodeCatalog(result.body)
                               : wire::Result<std::vector<wire::MachineType>>::failure("no answer");
    nextCatalog_ = now_ + (catalog ? constants::kCatalogEvery : constants::kCatalogRetry);
    if (catalog) handlers_.catalog(std::move(*catalog));
  });
}

}  // namespace reachhoist::cloud
