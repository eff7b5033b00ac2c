#include "standin/state_service.hpp"

namespace standin {

namespace wire = reachhoist::wire;

namespace {
std::string parameter(const std::string& path, const std::string& name) {
  const auto at = path.find(name + "=");
  if (at == std::string::npos) return "";
  const auto begin = at + name.size() + 1;
  return path.substr(begin, path.find('&', begin) - begin);
}
}  // namespace

StateService::StateService(Sim& sim, Limits limits)
    : sim_(sim),
      limits_(limits),
      requests_(limits.rps, limits.rps),
      writes_(limits.writeRps, limits.writeRps) {
  // Leases end and watches run out without anybody asking.
  const auto beat = [this](auto&& self) -> void {
    expire();
    serveWatches();
    sim_.after(0.02, [self] { self(self); });
  };
  sim_.after(0.02, [beat] { beat(beat); });
}

bool StateService::down(const std::string& node) const {
  const auto denied = deniedUntil_.find(node);
  return sim_.now() < downUntil_ || (denied != deniedUntil_.end() && sim_.now() < denied->second);
}

void StateService::outage(double seconds) {
  downUntil_ = sim_.now() + seconds;
  for (auto& [leaseId, lease] : leases_) lease.ends = downUntil_ + lease.ttl;
}

void StateService::expire() {
  if (sim_.now() < downUntil_) return;
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.ends > sim_.now()) {
      ++lease;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, entry] : entries_)
      if (entry.leaseId == lease->first) keys.push_back(key);
    lease = leases_.erase(lease);
    if (!keys.empty()) ++ledger_;
    for (const std::string& key : keys) record(key, nullptr);
  }
}

void StateService::record(const std::string& key, const Json* value) {
  if (value != nullptr) {
    log_.emplace_back(ledger_, Json{{"write", key}, {"value", *value}, {"stamp", ledger_}});
  } else if (entries_.erase(key) > 0) {
    log_.emplace_back(ledger_, Json{{"delete", key}, {"stamp", ledger_}});
  }
}

Json StateService::changesSince(const std::string& prefix, std::uint64_t after) const {
  Json news = Json::array();
  for (const auto& [revision, item] : log_) {
    if (revision <= after) continue;
    const std::string key = item.contains("write") ? item["write"] : item["delete"];
    if (key.starts_with(prefix)) news.push_back(item);
  }
  return news;
}

void StateService::serveWatches() {
  if (sim_.now() < downUntil_) return;
  std::vector<std::pair<Answer, Json>> ready;
  for (auto watch = watches_.begin(); watch != watches_.end();) {
    if (down(watch->from)) {
      ++watch;
      continue;
    }
    Json news = changesSince(watch->prefix, watch->after);
    if (news.empty() && sim_.now() < watch->ends) {
      ++watch;
      continue;
    }
    ready.emplace_back(std::move(watch->answer), Json{{"ledger", ledger_}, {"news", std::move(news)}});
    watch = watches_.erase(watch);
  }
  for (auto& [answer, body] : ready) answer(200, std::move(body));
}

void StateService::multi(const std::string& from, const Json& body, const Answer& answer) {
  const std::size_t writes = body.contains("apply") ? body["apply"].size() : 0;
  const std::size_t conditions = body.contains("if") ? body["if"].size() : 0;
  if (writes > limits_.txnOps || conditions > 4 * limits_.txnOps || body.dump().size() > 64 * 1024) {
    ++tooLarge_;
    return answer(400, Json{{"error", "too large"}});
  }
  if (writes > 0 && !writes_.affords(sim_.steady(), static_cast<double>(writes))) {
    ++refused_;
    return answer(429, Json::object());
  }
  writes_.take(sim_.steady(), static_cast<double>(writes));
  changed_ += writes;
  Json failed = Json::array();
  for (const Json& condition : body["if"]) {
    const auto found = entries_.find(condition["key"].get<std::string>());
    const std::uint64_t revision = found == entries_.end() ? 0 : found->second.revision;
    if (revision != condition["stamp"].get<std::uint64_t>()) failed.push_back(condition["key"]);
  }
  for (const Json& change : body["apply"]) {
    if (change.contains("permit") && !leases_.contains(change["permit"].get<std::uint64_t>()))
      return answer(400, Json{{"error", "no such lease"}});
    if (change.contains("write") &&
        static_cast<double>(change["value"].dump().size()) > limits_.valueKb * 1024)
      return ++tooLarge_, answer(400, Json{{"error", "value too large"}});
  }
  if (!failed.empty()) return answer(409, Json{{"failed", failed}, {"ledger", ledger_}});
  if (writes > 0) ++ledger_;
  std::vector<std::string> written;
  for (const Json& change : body["apply"]) {
    if (change.contains("write")) {
      const std::string key = change["write"];
      entries_[key] = Entry{change["value"], ledger_, change.value("permit", std::uint64_t{0})};
      record(key, &change["value"]);
      written.push_back(key);
    } else {
      record(change["delete"].get<std::string>(), nullptr);
    }
  }
  const std::uint64_t at = ledger_;
  if (onApplied)
    for (const std::string& key : written) onApplied(from, key);
  answer(200, Json{{"ledger", at}});
  serveWatches();
}

void StateService::request(const std::string& from, const std::string& method, const std::string& path,
                           const Json& body, Answer answer) {
  if (down(from)) return answer(503, Json{{"error", "trouble"}});
  expire();
  if (!requests_.affords(sim_.steady(), 1)) {
    ++refused_;
    return answer(429, Json::object());
  }
  requests_.take(sim_.steady(), 1);
  ++served_;
  if (method == "POST" && path == "/multi") return multi(from, body, answer);
  if (method == "POST" && path == "/leases") {
    const double ttl = body["ttlMs"].get<double>() / 1000;
    leases_[nextLeaseId_] = Lease{ttl, sim_.now() + ttl};
    return answer(200, Json{{"permit", nextLeaseId_++}});
  }
  if (method == "POST" && path.starts_with("/leases/")) {
    const auto found = leases_.find(std::stoull(path.substr(8)));
    if (found == leases_.end()) return answer(404, Json::object());
    found->second.ends = sim_.now() + found->second.ttl;
    return answer(200, Json{{"permit", found->first}});
  }
  if (path.starts_with("/changes")) {
    watches_.push_back(Watch{from, parameter(path, "under"), std::stoull(parameter(path, "after")),
                             sim_.now() + std::stod(parameter(path, "blockMs")) / 1000, std::move(answer)});
    return serveWatches();
  }
  if (path.starts_with("/keys?")) {
    const std::string prefix = parameter(path, "under");
    const std::string after = parameter(path, "after");
    const std::size_t limit = std::stoul(parameter(path, "limit"));
    Json pairs = Json::array();
    bool more = false;
    for (const auto& [key, entry] : entries_) {
      if (!key.starts_with(prefix) || key <= after) continue;
      if (pairs.size() == limit) {
        more = true;
        break;
      }
      pairs.push_back(Json{{"key", key}, {"value", entry.value}, {"stamp", entry.revision}});
    }
    return answer(200, Json{{"pairs", pairs}, {"more", more}, {"ledger", ledger_}});
  }
  if (path.starts_with("/keys/")) {
    const auto found = entries_.find(path.substr(6));
    if (found == entries_.end()) return answer(404, Json{{"ledger", ledger_}});
    return answer(
        200, Json{{"key", found->first}, {"value", found->second.value}, {"stamp", found->second.revision}});
  }
  answer(404, Json::object());
}

}  // namespace standin
