#include "config/settings.hpp"

#include <cmath>
#include <sstream>

#include "config/file.hpp"
#include "wire/codec.hpp"

namespace reachhoist::config {

namespace {

using wire::Json;

// "a.b.1.2.3.4:80"-like checks beyond shape are the network layer's; here only host:port is asked for.
bool looksLikeEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  return colon != std::string::npos && colon > 0 && colon + 1 < text.size() &&
         text.find_first_not_of("0123456789", colon + 1) == std::string::npos;
}

// Reads fields of one map and remembers the first problem.
class Reader {
 public:
  Reader(const Json& map, std::string prefix, std::optional<Problem>& problem)
      : map_(map), prefix_(std::move(prefix)), problem_(problem) {}

  void text(const char* key, std::string& out) {
    const auto value = wire::textField(map_, key);
    if (!value || value->empty()) return complain(key, "must be text");
    out = *value;
  }
  void endpoint(const char* key, std::string& out) {
    text(key, out);
    if (!problem_ && !looksLikeEndpoint(out)) complain(key, "must be an address like 10.0.0.1:8080");
  }
  void amount(const char* key, double& out, double least) {
    const auto value = wire::amountField(map_, key);
    if (!value || *value < least) {
      std::ostringstream reason;
      reason << "must be a number of at least " << least;
      return complain(key, reason.str());
    }
    out = *value;
  }
  // Absent: keeps the default.
  void maybeAmount(const char* key, double& out) {
    if (const Json* found = wire::field(map_, key); found != nullptr && !found->is_null())
      amount(key, out, 0);
  }
  // Absent: no change; else the smaller of both.
  void lowerAmount(const char* key, double& out, double least) {
    if (const Json* found = wire::field(map_, key); found == nullptr || found->is_null()) return;
    double value = out;
    amount(key, value, least);
    out = std::min(out, value);
  }
  void lowerCount(const char* key, unsigned& out, unsigned least) {
    if (const Json* found = wire::field(map_, key); found == nullptr || found->is_null()) return;
    unsigned value = out;
    count(key, value, least);
    out = std::min(out, value);
  }
  const Json* maybeMap(const char* key) const {
    const Json* found = wire::field(map_, key);
    return found == nullptr || found->is_null() ? nullptr : found;
  }
  void count(const char* key, unsigned& out, unsigned least) {
    const auto value = wire::countField(map_, key);
    if (!value || *value < least)
      return complain(key, "must be a whole number of at least " + std::to_string(least));
    // More than can be used is no reason to refuse.
    out = static_cast<unsigned>(std::min<std::uint64_t>(*value, 1'000'000));
  }
  const Json& list(const char* key) {
    static const Json kEmpty = Json::array();
    const Json* found = wire::field(map_, key);
    if (found == nullptr || !found->is_array()) {
      complain(key, "must be a list");
      return kEmpty;
    }
    return *found;
  }
  Reader map(const char* key) {
    static const Json kEmpty = Json::object();
    const Json* found = wire::field(map_, key);
    if (found == nullptr || !found->is_object()) {
      complain(key, "must be a map");
      found = &kEmpty;
    }
    return Reader(*found, prefix_ + key + ".", problem_);
  }
  Reader entry(const char* key, const Json& value, std::size_t index) {
    return Reader(value, prefix_ + key + "[" + std::to_string(index) + "].", problem_);
  }
  void complain(const std::string& key, const std::string& reason) {
    if (!problem_) problem_ = Problem{prefix_ + key, reason};
  }

 private:
  const Json& map_;
  std::string prefix_;
  std::optional<Problem>& problem_;
};

}  // namespace

const Team* Settings::team(const std::string& name) const {
  for (const Team& team : teams)
    if (team.name == name) return &team;
  return nullptr;
}

const Sibling* Settings::sibling(const std::string& name) const {
  for (const Sibling& sibling : siblings)
    if (sibling.label == name) return &sibling;
  return nullptr;
}

unsigned Settings::ownCallSockets() const {
  return std::max(constants::kMinClientSockets, maxConnections / constants::kClientSocketsDivisor);
}

std::chrono::milliseconds Settings::answerWindow() const {
  // A lease renewed at the very end of the window must have run out, on the slowest clock, within cancel_s.
  const double windowS = cancelS * (1 - constants::kMaxClockDrift) - leaseS * (1 + constants::kMaxClockDrift);
  return std::chrono::milliseconds(static_cast<long>(windowS * 1000)) - constants::kLeaseSafetyMargin;
}

std::chrono::milliseconds Settings::leaseOver() const {
  return std::chrono::milliseconds(
             static_cast<long>(std::ceil(leaseS * (1 + 2 * constants::kMaxClockDrift) * 1000))) +
         constants::kLeaseSafetyMargin;
}

std::optional<Problem> parsePlatform(const std::string& text, Settings& out) {
  const Json root = Json::parse(text, nullptr, false);
  if (!root.is_object()) return Problem{"(file)", "is not a JSON map"};
  std::optional<Problem> problem;
  Reader top(root, "", problem);
  top.text("label", out.label);
  top.text("area", out.area);
  top.endpoint("bind", out.bind);
  top.endpoint("peer_listen", out.peerListen);
  out.siblings.clear();
  std::size_t index = 0;
  for (const Json& entry : top.list("siblings")) {
    Reader reader = top.entry("siblings", entry, index++);
    Sibling sibling;
    reader.text("label", sibling.label);
    reader.text("area", sibling.area);
    reader.endpoint("endpoint", sibling.endpoint);
    out.siblings.push_back(std::move(sibling));
  }
  Reader endpoints = top.map("endpoints");
  endpoints.endpoint("cloud", out.cloudEndpoint);
  endpoints.endpoint("state", out.stateEndpoint);
  Reader facts = top.map("facts");
  facts.count("initial_size", out.initialSize, 1);
  out.zones.clear();
  for (const Json& zone : facts.list("zones")) {
    if (zone.is_string()) {
      out.zones.push_back(zone.get<std::string>());
    } else {
      facts.complain("zones", "must hold text");
    }
  }
  out.teams.clear();
  index = 0;
  for (const Json& entry : facts.list("teams")) {
    Reader reader = facts.entry("teams", entry, index++);
    Team team;
    reader.text("name", team.name);
    reader.amount("cpus", team.cpus, 0);
    reader.amount("cpus_max", team.cpusMax, 0);
    reader.amount("gpus", team.gpus, 0);
    reader.amount("gpus_max", team.gpusMax, 0);
    out.teams.push_back(std::move(team));
  }
  out.objectives.clear();
  index = 0;
  for (const Json& entry : facts.list("objectives")) {
    Reader reader = facts.entry("objectives", entry, index++);
    Objective objective;
    reader.text("kind", objective.kind);
    if (wire::field(entry, "class") != nullptr) reader.text("class", objective.jobClass);
    reader.maybeAmount("within_s", objective.withinS);
    reader.maybeAmount("share", objective.share);
    reader.maybeAmount("times", objective.times);
    out.objectives.push_back(std::move(objective));
  }
  Reader workers = facts.map("workers");
  workers.amount("report_s", out.heartbeatIntervalS, 0.1);
  workers.amount("lease_s", out.leaseS, 1);
  workers.amount("cancel_s", out.cancelS, 1);
  workers.maybeAmount("gang_wait_s", out.gangWaitS);
  workers.maybeAmount("gang_peer_s", out.gangPeerS);
  Reader state = facts.map("state");
  state.amount("rps", out.stateRps, 1);
  state.amount("write_rps", out.stateWriteRps, 1);
  state.amount("value_kb", out.stateValueKb, 2);
  state.count("txn_ops", out.stateTxnOps, 4);
  out.initialPartitions = std::min(out.initialSize, std::max(out.stateTxnOps, 3U) - 2);
  // Announced limits come without notice: they are kept from the start.
  if (const Json* next = state.maybeMap("next"); next != nullptr) {
    Reader lower = state.map("next");
    lower.lowerAmount("rps", out.stateRps, 1);
    lower.lowerAmount("write_rps", out.stateWriteRps, 1);
    lower.lowerAmount("value_kb", out.stateValueKb, 2);
    lower.lowerCount("txn_ops", out.stateTxnOps, 4);
  }
  Reader cloud = facts.map("cloud");
  cloud.amount("rps", out.cloudRps, 0.1);
  cloud.amount("list_lag_s", out.cloudListLagS, 0);
  Reader limits = facts.map("limits");
  limits.amount("core_share", out.coreShare, 0.001);
  limits.amount("ram_mb", out.ramMb, 8);
  limits.count("max_connections", out.maxConnections, constants::kMinConnections);
  facts.amount("clock_off_ms", out.clockOffMs, 0);
  // Without this no answer to a worker could be safe: see docs/safety.md, point 7.
  if (!problem &&
      out.answerWindow() < std::chrono::milliseconds(static_cast<long>(out.heartbeatIntervalS * 1000)))
    facts.complain("workers.cancel_s",
                   "leaves no time to renew leases: it must exceed lease_s by report_s and margins");
  return problem;
}

std::optional<Problem> loadPlatform(const std::string& path, Settings& out) {
  const auto text = readFile(path);
  if (!text) return Problem{path, "cannot be read"};
  return parsePlatform(*text, out);
}

}  // namespace reachhoist::config
