#include "state/client.hpp"

#include <algorithm>

namespace reachhoist::state {

namespace {
constexpr int kPageEntries = 200;  // a page is parsed at once: small pages keep memory use and pauses small
}

Json encode(const Transaction& transaction) {
  Json conditions = Json::array();
  for (const Condition& condition : transaction.conditions)
    conditions.push_back(Json{{"key", condition.key}, {"stamp", condition.revision}});
  Json writes = Json::array();
  for (const Write& write : transaction.writes) {
    if (!write.value) {
      writes.push_back(Json{{"delete", write.key}});
      continue;
    }
    Json entry{{"write", write.key}, {"value", *write.value}};
    if (write.leaseId) entry["permit"] = *write.leaseId;
    writes.push_back(std::move(entry));
  }
  return Json{{"if", std::move(conditions)}, {"apply", std::move(writes)}};
}

Client::Client(wire::Calls& calls, const config::Settings& settings)
    : calls_(calls), settings_(settings), requests_(1, 1), writes_(1, 1) {
  setLeading(false);
}

Client::Client(wire::Calls& calls, const config::Settings& settings, double share)
    : calls_(calls), settings_(settings), requests_(1, 1), writes_(1, 1) {
  setShare(share);
}

void Client::setShare(double share) {
  requests_.set(settings_.stateLimits.requestsPerS * share, settings_.stateLimits.requestsPerS * share);
  writes_.set(settings_.stateLimits.writesPerS * share, settings_.stateLimits.writesPerS * share);
}

void Client::setLeading(bool leading) {
  const auto others = static_cast<double>(settings_.siblings.size());
  setShare((others == 0 ? 1.0
            : leading
                ? constants::kLeaderBudgetShare
                : std::min(constants::kFollowerBudgetShare, (1 - constants::kLeaderBudgetShare) / others)) *
           constants::kUsableRateShare);
}

void Client::transact(Time now, Urgency urgency, const Transaction& transaction, Done done) {
  submit(now, urgency,
         {.method = "POST",
          .path = "/multi",
          .body = encode(transaction),
          .writes = static_cast<double>(transaction.writes.size()),
          .done = std::move(done)});
}

void Client::get(Time now, Urgency urgency, const std::string& key, Done done) {
  submit(now, urgency, {.method = "GET", .path = "/keys/" + key, .done = std::move(done)});
}

void Client::list(Time now, Urgency urgency, const std::string& prefix, const std::string& after, Done done) {
  std::string path = "/keys?under=" + prefix + "&limit=" + std::to_string(kPageEntries);
  if (!after.empty()) path += "&after=" + after;
  submit(now, urgency,
         {.method = "GET",
          .path = std::move(path),
          .timeout = constants::kStateLoadTimeout,
          .done = std::move(done)});
}

void Client::watch(Time now, Urgency urgency, const std::string& prefix, std::uint64_t after,
                   std::chrono::milliseconds block, Done done) {
  std::string path = "/changes?under=" + prefix + "&after=" + std::to_string(after) +
                     "&blockMs=" + std::to_string(block.count());
  const auto timeout =
      block.count() > 0 ? block + constants::kWatchTimeoutSlack : constants::kStateCallTimeout;
  submit(now, urgency,
         {.method = "GET", .path = std::move(path), .timeout = timeout, .done = std::move(done)});
}

void Client::grantLease(Time now, std::chrono::milliseconds ttl, Done done) {
  submit(
      now, Urgency::lease,
      {.method = "POST", .path = "/leases", .body = Json{{"ttlMs", ttl.count()}}, .done = std::move(done)});
}

void Client::revokeLease(Time now, std::uint64_t leaseId) {
  // If the call is lost, the lease expires by itself.
  submit(now, Urgency::lease,
         {.method = "DELETE",
          .path = "/leases/" + std::to_string(leaseId),
          .done = [](const wire::CallResult&) {}});
}

void Client::renewLease(Time now, std::uint64_t leaseId, Done done) {
  submit(now, Urgency::lease,
         {.method = "POST",
          .path = "/leases/" + std::to_string(leaseId) + "/touch",
          .body = Json::object(),
          .done = std::move(done)});
}

void Client::submit(Time now, Urgency urgency, QueuedRequest request) {
  request.deadline = now + request.timeout;
  queues_[static_cast<std::size_t>(urgency)].push_back(std::move(request));
  pump(now);
}

bool Client::withinLimits(Time now, const QueuedRequest& request) {
  return requests_.affords(now, 1) && (request.writes == 0 || writes_.affords(now, request.writes));
}

bool Client::send(Time now, Urgency urgency, QueuedRequest& request) {
  const bool mayOverdraw = urgency == Urgency::lease || urgency == Urgency::acceptance;
  if (!mayOverdraw && !withinLimits(now, request)) return false;
  requests_.take(now, 1);
  if (request.writes > 0) writes_.take(now, request.writes);
  wire::Call call;
  call.service = wire::Service::state;
  call.endpoint = settings_.endpoints.state;
  call.method = std::move(request.method);
  call.path = std::move(request.path);
  call.body = std::move(request.body);
  call.timeout = request.timeout;
  calls_.start(std::move(call), std::move(request.done));
  return true;
}

void Client::pump(Time now) {
  std::vector<Done> expired;
  for (std::size_t i = 0; i < queues_.size(); ++i) {
    auto& queue = queues_[i];
    while (!queue.empty() && send(now, static_cast<Urgency>(i), queue.front())) queue.pop_front();
    while (!queue.empty() && queue.front().deadline <= now) {
      expired.push_back(std::move(queue.front().done));
      queue.pop_front();
    }
    if (!queue.empty()) break;  // less urgent requests wait behind it
  }
  for (Done& done : expired) done(wire::CallResult{});
}

}  // namespace reachhoist::state
