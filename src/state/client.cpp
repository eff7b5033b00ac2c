#include "state/client.hpp"

#include <algorithm>

namespace reachhoist::state {

namespace {
// A page is parsed in one step, so small pages keep memory use and pauses small.
constexpr int kMaxPageEntries = 200;
}  // namespace

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
    : calls_(calls), settings_(settings), requestBudget_(1, 1), writeBudget_(1, 1) {
  setLeading(false);
}

Client::Client(wire::Calls& calls, const config::Settings& settings, double rateLimitShare)
    : calls_(calls), settings_(settings), requestBudget_(1, 1), writeBudget_(1, 1) {
  setRateLimitShare(rateLimitShare);
}

void Client::setRateLimitShare(double rateLimitShare) {
  requestBudget_.set(settings_.stateLimits.requestsPerS * rateLimitShare,
                     settings_.stateLimits.requestsPerS * rateLimitShare);
  writeBudget_.set(settings_.stateLimits.writesPerS * rateLimitShare,
                   settings_.stateLimits.writesPerS * rateLimitShare);
}

void Client::setLeading(bool isLeading) {
  const auto siblingCount = static_cast<double>(settings_.siblings.size());
  setRateLimitShare((siblingCount == 0 ? 1.0
                     : isLeading       ? constants::kLeaderBudgetShare
                                       : std::min(constants::kFollowerBudgetShare,
                                                  (1 - constants::kLeaderBudgetShare) / siblingCount)) *
                    constants::kUsableRateShare);
}

void Client::transact(Time now, Urgency urgency, const Transaction& transaction, Done done) {
  submit(now, urgency,
         {.method = "POST",
          .path = "/multi",
          .body = encode(transaction),
          .writeCount = static_cast<double>(transaction.writes.size()),
          .done = std::move(done)});
}

void Client::get(Time now, Urgency urgency, const std::string& key, Done done) {
  submit(now, urgency, {.method = "GET", .path = "/keys/" + key, .done = std::move(done)});
}

void Client::list(Time now, Urgency urgency, const std::string& prefix, const std::string& after, Done done) {
  std::string path = "/keys?under=" + prefix + "&limit=" + std::to_string(kMaxPageEntries);
  if (!after.empty()) path += "&after=" + after;
  submit(now, urgency,
         {.method = "GET",
          .path = std::move(path),
          .timeout = constants::kStateLoadTimeout,
          .done = std::move(done)});
}

void Client::watch(Time now, Urgency urgency, const std::string& prefix, std::uint64_t after,
                   std::chrono::milliseconds maxWait, Done done) {
  std::string path = "/changes?under=" + prefix + "&after=" + std::to_string(after) +
                     "&blockMs=" + std::to_string(maxWait.count());
  const auto timeout =
      maxWait.count() > 0 ? maxWait + constants::kWatchTimeoutSlack : constants::kStateCallTimeout;
  submit(now, urgency,
         {.method = "GET", .path = std::move(path), .timeout = timeout, .done = std::move(done)});
}

void Client::grantLease(Time now, std::chrono::milliseconds ttl, Done done) {
  submit(
      now, Urgency::lease,
      {.method = "POST", .path = "/leases", .body = Json{{"ttlMs", ttl.count()}}, .done = std::move(done)});
}

void Client::revokeLease(Time now, std::uint64_t leaseId) {
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
  request.sendDeadline = now + request.timeout;
  queues_[static_cast<std::size_t>(urgency)].push_back(std::move(request));
  pump(now);
}

bool Client::fitsRateLimits(Time now, const QueuedRequest& request) {
  return requestBudget_.affords(now, 1) &&
         (request.writeCount == 0 || writeBudget_.affords(now, request.writeCount));
}

bool Client::send(Time now, Urgency urgency, QueuedRequest& request) {
  const bool canOverdraw = urgency == Urgency::lease || urgency == Urgency::acceptance;
  if (!canOverdraw && !fitsRateLimits(now, request)) return false;
  requestBudget_.take(now, 1);
  if (request.writeCount > 0) writeBudget_.take(now, request.writeCount);
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
    while (!queue.empty() && queue.front().sendDeadline <= now) {
      expired.push_back(std::move(queue.front().done));
      queue.pop_front();
    }
    if (!queue.empty()) break;  // less urgent requests wait until this queue is empty
  }
  for (Done& done : expired) done(wire::CallResult{});
}

}  // namespace reachhoist::state
