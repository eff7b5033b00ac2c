#include "standin/key_value_store.hpp"

namespace standin {

namespace {
constexpr double kTickIntervalS = 0.02;  // between checks of leases and watches
constexpr std::size_t kTransactionBytesMax = 64 * 1024;
constexpr std::size_t kConditionsPerOperation = 4;
constexpr std::string_view kLeasePath = "/leases/";
constexpr std::string_view kKeyPath = "/keys/";

std::string queryParameter(const std::string& path, const std::string& name) {
  const auto at = path.find(name + "=");
  if (at == std::string::npos) return "";
  const auto begin = at + name.size() + 1;
  return path.substr(begin, path.find('&', begin) - begin);
}
}  // namespace

KeyValueStore::KeyValueStore(Simulation& sim, Limits limits)
    : sim_(sim),
      limits_(limits),
      requestBudget_(limits.requestsPerS, limits.requestsPerS),
      writeBudget_(limits.writesPerS, limits.writesPerS) {
  // Lets leases expire and watches time out while there is no request.
  const auto tick = [this](auto&& self) -> void {
    expireLeases();
    serveWatches();
    sim_.after(kTickIntervalS, [self] { self(self); });
  };
  sim_.after(kTickIntervalS, [tick] { tick(tick); });
}

void KeyValueStore::lowerLimits(double maxValueKib, std::size_t opsPerTransaction, double writesPerS) {
  limits_.maxValueKib = maxValueKib;
  limits_.opsPerTransaction = opsPerTransaction;
  writeBudget_.set(writesPerS, writesPerS);
}

void KeyValueStore::put(const std::string& key, const Json& value) {
  entries_[key] = Entry{value, ++revision_, 0};
  recordWrite(key, value);
}

Json KeyValueStore::value(const std::string& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? Json::object() : found->second.value;
}

bool KeyValueStore::isDownFor(const std::string& client) const {
  const auto clientDown = clientDownUntilS_.find(client);
  return sim_.now() < downUntilS_ ||
         (clientDown != clientDownUntilS_.end() && sim_.now() < clientDown->second);
}

void KeyValueStore::startOutage(double durationS) {
  downUntilS_ = sim_.now() + durationS;
  for (auto& [leaseId, lease] : leases_) lease.expiresAtS = downUntilS_ + lease.ttlS;
}

void KeyValueStore::expireLeases() {
  if (sim_.now() < downUntilS_) return;
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.expiresAtS > sim_.now()) {
      ++lease;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, entry] : entries_)
      if (entry.leaseId == lease->first) keys.push_back(key);
    lease = leases_.erase(lease);
    if (!keys.empty()) ++revision_;
    for (const std::string& key : keys) recordDelete(key);
  }
}

void KeyValueStore::recordWrite(const std::string& key, const Json& value) {
  changeLog_.push_back(Change{revision_, Json{{"write", key}, {"value", value}, {"stamp", revision_}}});
}

void KeyValueStore::recordDelete(const std::string& key) {
  if (entries_.erase(key) > 0)
    changeLog_.push_back(Change{revision_, Json{{"delete", key}, {"stamp", revision_}}});
}

Json KeyValueStore::changesSince(const std::string& prefix, std::uint64_t afterRevision) const {
  Json changes = Json::array();
  for (const Change& change : changeLog_) {
    if (change.revision <= afterRevision) continue;
    const std::string key =
        change.message.contains("write") ? change.message["write"] : change.message["delete"];
    if (key.starts_with(prefix)) changes.push_back(change.message);
  }
  return changes;
}

void KeyValueStore::serveWatches() {
  if (sim_.now() < downUntilS_) return;
  std::vector<std::pair<Answer, Json>> ready;
  for (auto watch = watches_.begin(); watch != watches_.end();) {
    if (isDownFor(watch->client)) {
      ++watch;
      continue;
    }
    Json changes = changesSince(watch->prefix, watch->afterRevision);
    if (changes.empty() && sim_.now() < watch->endsAtS) {
      ++watch;
      continue;
    }
    ready.emplace_back(std::move(watch->answer), Json{{"ledger", revision_}, {"news", std::move(changes)}});
    watch = watches_.erase(watch);
  }
  for (auto& [answer, body] : ready) answer(200, std::move(body));
}

bool KeyValueStore::withinOperationLimits(const Json& transaction) const {
  const std::size_t writes = transaction.contains("apply") ? transaction["apply"].size() : 0;
  const std::size_t conditions = transaction.contains("if") ? transaction["if"].size() : 0;
  return writes <= limits_.opsPerTransaction &&
         conditions <= kConditionsPerOperation * limits_.opsPerTransaction &&
         transaction.dump().size() <= kTransactionBytesMax;
}

Json KeyValueStore::failedConditions(const Json& conditions) const {
  Json failed = Json::array();
  for (const Json& condition : conditions) {
    const auto found = entries_.find(condition["key"].get<std::string>());
    const std::uint64_t revision = found == entries_.end() ? 0 : found->second.revision;
    if (revision != condition["stamp"].get<std::uint64_t>()) failed.push_back(condition["key"]);
  }
  return failed;
}

// Answers 400 if a change names an unknown lease or a value exceeds the limit. Returns whether it answered.
bool KeyValueStore::refuseInvalidChange(const Json& changes, const Answer& answer) {
  for (const Json& change : changes) {
    if (change.contains("permit") && !leases_.contains(change["permit"].get<std::uint64_t>())) {
      answer(400, Json{{"error", "no such lease"}});
      return true;
    }
    if (!change.contains("write")) continue;
    if (static_cast<double>(change["value"].dump().size()) <= limits_.maxValueKib * 1024) continue;
    ++refusedBySize_;
    answer(400, Json{{"error", "value too large"}});
    return true;
  }
  return false;
}

// Applies the changes at the current revision. Returns the written keys.
std::vector<std::string> KeyValueStore::apply(const Json& changes) {
  std::vector<std::string> written;
  for (const Json& change : changes) {
    if (!change.contains("write")) {
      recordDelete(change["delete"].get<std::string>());
      continue;
    }
    const std::string key = change["write"];
    entries_[key] = Entry{change["value"], revision_, change.value("permit", std::uint64_t{0})};
    recordWrite(key, change["value"]);
    written.push_back(key);
  }
  return written;
}

void KeyValueStore::commit(const std::string& client, const Json& transaction, const Answer& answer) {
  if (!withinOperationLimits(transaction)) {
    ++refusedBySize_;
    return answer(400, Json{{"error", "too large"}});
  }
  const std::size_t writes = transaction.contains("apply") ? transaction["apply"].size() : 0;
  if (writes > 0 && !writeBudget_.affords(sim_.steady(), static_cast<double>(writes)))
    return answer(429, Json::object());
  writeBudget_.take(sim_.steady(), static_cast<double>(writes));
  writeCount_ += writes;
  const Json failed = failedConditions(transaction["if"]);
  if (refuseInvalidChange(transaction["apply"], answer)) return;
  if (!failed.empty()) return answer(409, Json{{"failed", failed}, {"ledger", revision_}});
  if (writes > 0) ++revision_;
  const std::vector<std::string> written = apply(transaction["apply"]);
  const std::uint64_t appliedRevision = revision_;
  for (const AppliedListener& listener : appliedListeners_)
    for (const std::string& key : written) listener(client, key);
  answer(200, Json{{"ledger", appliedRevision}});
  serveWatches();
}

void KeyValueStore::grantLease(const Json& body, const Answer& answer) {
  const double ttlS = body["ttlMs"].get<double>() / 1000;
  leases_[nextLeaseId_] = Lease{ttlS, sim_.now() + ttlS};
  answer(200, Json{{"permit", nextLeaseId_++}});
}

void KeyValueStore::renewLease(const std::string& path, const Answer& answer) {
  const auto found = leases_.find(std::stoull(path.substr(kLeasePath.size())));
  if (found == leases_.end()) return answer(404, Json::object());
  found->second.expiresAtS = sim_.now() + found->second.ttlS;
  answer(200, Json{{"permit", found->first}});
}

void KeyValueStore::watch(const std::string& client, const std::string& path, Answer answer) {
  const double blockS = std::stod(queryParameter(path, "blockMs")) / 1000;
  watches_.push_back(Watch{client, queryParameter(path, "under"), std::stoull(queryParameter(path, "after")),
                           sim_.now() + blockS, std::move(answer)});
  serveWatches();
}

void KeyValueStore::list(const std::string& path, const Answer& answer) const {
  const std::string prefix = queryParameter(path, "under");
  const std::string after = queryParameter(path, "after");
  const std::size_t limit = std::stoul(queryParameter(path, "limit"));
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
  answer(200, Json{{"pairs", pairs}, {"more", more}, {"ledger", revision_}});
}

void KeyValueStore::read(const std::string& path, const Answer& answer) const {
  const auto found = entries_.find(path.substr(kKeyPath.size()));
  if (found == entries_.end()) return answer(404, Json{{"ledger", revision_}});
  const Entry& entry = found->second;
  answer(200, Json{{"key", found->first}, {"value", entry.value}, {"stamp", entry.revision}});
}

void KeyValueStore::request(const std::string& client, const std::string& method, const std::string& path,
                            const Json& body, Answer answer) {
  if (isDownFor(client)) return answer(503, Json{{"error", "trouble"}});
  expireLeases();
  if (!requestBudget_.affords(sim_.steady(), 1)) return answer(429, Json::object());
  requestBudget_.take(sim_.steady(), 1);
  ++requestCount_;
  if (method == "POST" && path == "/multi") return commit(client, body, answer);
  if (method == "POST" && path == "/leases") return grantLease(body, answer);
  if (method == "POST" && path.starts_with(kLeasePath)) return renewLease(path, answer);
  if (path.starts_with("/changes")) return watch(client, path, std::move(answer));
  if (path.starts_with("/keys?")) return list(path, answer);
  if (path.starts_with(kKeyPath)) return read(path, answer);
  answer(404, Json::object());
}

}  // namespace standin
