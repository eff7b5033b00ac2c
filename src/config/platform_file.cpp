// The platform's settings file (JSON).
#include <algorithm>

#include "config/json_reader.hpp"
#include "config/read_file.hpp"

namespace reachhoist::config {

namespace {

using wire::Json;

void readSiblings(JsonReader& top, std::vector<Sibling>& out) {
  out.clear();
  for (const Json& value : top.list("siblings")) {
    JsonReader reader = top.entry("siblings", value, out.size());
    Sibling& sibling = out.emplace_back();
    reader.text("label", sibling.label);
    reader.text("area", sibling.area);
    reader.endpoint("endpoint", sibling.endpoint);
  }
}

void readEndpoints(JsonReader reader, ServiceEndpoints& out) {
  reader.endpoint("cloud", out.cloud);
  reader.endpoint("state", out.state);
}

void readZones(JsonReader& facts, std::vector<std::string>& out) {
  out.clear();
  for (const Json& zone : facts.list("zones")) {
    if (zone.is_string()) {
      out.push_back(zone.get<std::string>());
    } else {
      facts.fail("zones", "must hold text");
    }
  }
}

void readTeams(JsonReader& facts, std::vector<Team>& out) {
  out.clear();
  for (const Json& value : facts.list("teams")) {
    JsonReader reader = facts.entry("teams", value, out.size());
    Team& team = out.emplace_back();
    reader.text("name", team.name);
    reader.amount("cpus", team.cpus, 0);
    reader.amount("cpus_max", team.cpusMax, 0);
    reader.amount("gpus", team.gpus, 0);
    reader.amount("gpus_max", team.gpusMax, 0);
  }
}

void readObjectives(JsonReader& facts, std::vector<Objective>& out) {
  out.clear();
  for (const Json& value : facts.list("objectives")) {
    JsonReader reader = facts.entry("objectives", value, out.size());
    Objective& objective = out.emplace_back();
    reader.text("kind", objective.kind);
    if (wire::field(value, "class") != nullptr) reader.text("class", objective.jobClass);
    reader.optionalAmount("within_s", objective.withinS);
    reader.optionalAmount("share", objective.share);
    reader.optionalAmount("times", objective.deadlineFactor);
  }
}

void readWorkers(JsonReader reader, WorkerSettings& out) {
  reader.amount("report_s", out.heartbeatIntervalS, 0.1);
  reader.amount("lease_s", out.leaseS, 1);
  reader.amount("cancel_s", out.cancelS, 1);
  reader.optionalAmount("gang_wait_s", out.gangWaitS);
  reader.optionalAmount("gang_peer_s", out.gangStopWindowS);
}

void readStateLimits(JsonReader& reader, StateLimits& out) {
  reader.amount("rps", out.requestsPerS, 1);
  reader.amount("write_rps", out.writesPerS, 1);
  reader.amount("value_kb", out.maxValueKib, 2);
  reader.count("txn_ops", out.opsPerTransaction, 4);
}

// Announced limits come into force without notice: the lower ones are kept to from the start.
void lowerToAnnounced(JsonReader& state, StateLimits& out) {
  if (!state.has("next")) return;
  JsonReader next = state.object("next");
  next.lowerAmount("rps", out.requestsPerS, 1);
  next.lowerAmount("write_rps", out.writesPerS, 1);
  next.lowerAmount("value_kb", out.maxValueKib, 2);
  next.lowerCount("txn_ops", out.opsPerTransaction, 4);
}

// The partitions of a first start: one per controller, as far as one transaction can write them all beside
// the leader key and the term.
unsigned partitionsOf(unsigned initialSize, unsigned opsPerTransaction) {
  return std::min(initialSize, std::max(opsPerTransaction, 3U) - 2);
}

void readCloudLimits(JsonReader reader, CloudLimits& out) {
  reader.amount("rps", out.requestsPerS, 0.1);
  reader.amount("list_lag_s", out.listLagS, 0);
}

void readProcessLimits(JsonReader reader, ProcessLimits& out) {
  reader.amount("core_share", out.coreShare, 0.001);
  reader.amount("ram_mb", out.ramMb, 8);
  reader.count("max_connections", out.maxConnections, constants::kMinConnections);
}

void readFacts(JsonReader facts, Settings& out) {
  facts.count("initial_size", out.initialSize, 1);
  readZones(facts, out.zones);
  readTeams(facts, out.teams);
  readObjectives(facts, out.objectives);
  readWorkers(facts.object("workers"), out.workers);
  JsonReader state = facts.object("state");
  readStateLimits(state, out.stateLimits);
  out.initialPartitions = partitionsOf(out.initialSize, out.stateLimits.opsPerTransaction);
  lowerToAnnounced(state, out.stateLimits);
  readCloudLimits(facts.object("cloud"), out.cloudLimits);
  readProcessLimits(facts.object("limits"), out.processLimits);
  facts.amount("clock_off_ms", out.clockOffMs, 0);
}

// Without time to renew leases no answer to a worker could be safe: see docs/safety.md, point 7.
std::optional<FieldError> checkAnswerWindow(const Settings& settings) {
  const std::chrono::milliseconds heartbeatInterval(
      static_cast<long>(settings.workers.heartbeatIntervalS * 1000));
  if (settings.answerWindow() >= heartbeatInterval) return std::nullopt;
  return FieldError{"facts.workers.cancel_s",
                    "leaves no time to renew leases: it must exceed lease_s by report_s and margins"};
}

}  // namespace

std::optional<FieldError> parsePlatform(const std::string& text, Settings& out) {
  const Json root = Json::parse(text, nullptr, false);
  if (!root.is_object()) return FieldError{"(file)", "is not a JSON map"};
  std::optional<FieldError> error;
  JsonReader top(root, "", error);
  top.text("label", out.label);
  top.text("area", out.area);
  top.endpoint("bind", out.bind);
  top.endpoint("peer_listen", out.peerListen);
  readSiblings(top, out.siblings);
  readEndpoints(top.object("endpoints"), out.endpoints);
  readFacts(top.object("facts"), out);
  return error ? error : checkAnswerWindow(out);
}

std::optional<FieldError> loadPlatform(const std::string& path, Settings& out) {
  const auto text = readFile(path);
  if (!text) return FieldError{path, "cannot be read"};
  return parsePlatform(*text, out);
}

}  // namespace reachhoist::config
