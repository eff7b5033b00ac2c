// Reads the platform's settings file, which is a JSON object.
#include <algorithm>

#include "config/json_reader.hpp"
#include "config/read_file.hpp"

namespace reachhoist::config {

namespace {

using wire::Json;

void readSiblings(JsonReader& top, std::vector<Sibling>& siblings) {
  siblings.clear();
  for (const Json& value : top.list("siblings")) {
    JsonReader reader = top.entry("siblings", value, siblings.size());
    Sibling& sibling = siblings.emplace_back();
    reader.text("label", sibling.label);
    reader.text("area", sibling.area);
    reader.endpoint("endpoint", sibling.endpoint);
  }
}

void readEndpoints(JsonReader reader, ServiceEndpoints& endpoints) {
  reader.endpoint("cloud", endpoints.cloud);
  reader.endpoint("state", endpoints.state);
}

void readZones(JsonReader& facts, std::vector<std::string>& zones) {
  zones.clear();
  for (const Json& zone : facts.list("zones")) {
    if (zone.is_string()) {
      zones.push_back(zone.get<std::string>());
    } else {
      facts.fail("zones", "must be a list of strings");
    }
  }
}

void readTeams(JsonReader& facts, std::vector<Team>& teams) {
  teams.clear();
  for (const Json& value : facts.list("teams")) {
    JsonReader reader = facts.entry("teams", value, teams.size());
    Team& team = teams.emplace_back();
    reader.text("name", team.name);
    reader.amount("cpus", team.cpus, 0);
    reader.amount("cpus_max", team.cpusMax, 0);
    reader.amount("gpus", team.gpus, 0);
    reader.amount("gpus_max", team.gpusMax, 0);
  }
}

void readObjectives(JsonReader& facts, std::vector<Objective>& objectives) {
  objectives.clear();
  for (const Json& value : facts.list("objectives")) {
    JsonReader reader = facts.entry("objectives", value, objectives.size());
    Objective& objective = objectives.emplace_back();
    reader.text("kind", objective.kind);
    if (wire::field(value, "class") != nullptr) reader.text("class", objective.jobClass);
    reader.optionalAmount("within_s", objective.withinS);
    reader.optionalAmount("share", objective.requiredShare);
    reader.optionalAmount("times", objective.deadlineFactor);
  }
}

void readWorkers(JsonReader reader, WorkerSettings& workers) {
  reader.amount("report_s", workers.heartbeatIntervalS, 0.1);
  reader.amount("lease_s", workers.leaseS, 1);
  reader.amount("cancel_s", workers.cancelS, 1);
  reader.optionalAmount("gang_wait_s", workers.gangWaitS);
  reader.optionalAmount("gang_peer_s", workers.gangStopWindowS);
}

void readStateLimits(JsonReader& reader, StateLimits& limits) {
  reader.amount("rps", limits.requestsPerS, 1);
  reader.amount("write_rps", limits.writesPerS, 1);
  reader.amount("value_kb", limits.maxValueKib, 2);
  reader.count("txn_ops", limits.opsPerTransaction, 4);
}

// Announced limits take effect without further notice, so the controller complies with the lower ones from
// its start.
void applyAnnouncedLimits(JsonReader& state, StateLimits& limits) {
  if (!state.has("next")) return;
  JsonReader next = state.object("next");
  next.lowerAmount("rps", limits.requestsPerS, 1);
  next.lowerAmount("write_rps", limits.writesPerS, 1);
  next.lowerAmount("value_kb", limits.maxValueKib, 2);
  next.lowerCount("txn_ops", limits.opsPerTransaction, 4);
}

// Returns the number of partitions at the first start. There is one per controller, unless one transaction
// cannot write them all together with the leader key and the term.
unsigned initialPartitionCount(unsigned initialSize, unsigned opsPerTransaction) {
  return std::min(initialSize, std::max(opsPerTransaction, 3U) - 2);
}

void readCloudLimits(JsonReader reader, CloudLimits& limits) {
  reader.amount("rps", limits.requestsPerS, 0.1);
  reader.amount("list_lag_s", limits.listLagS, 0);
}

void readProcessLimits(JsonReader reader, ProcessLimits& limits) {
  reader.amount("core_share", limits.coreShare, 0.001);
  reader.amount("ram_mb", limits.ramMb, 8);
  reader.count("max_connections", limits.maxConnections, constants::kMinConnections);
}

void readFacts(JsonReader facts, Settings& settings) {
  facts.count("initial_size", settings.initialSize, 1);
  readZones(facts, settings.zones);
  readTeams(facts, settings.teams);
  readObjectives(facts, settings.objectives);
  readWorkers(facts.object("workers"), settings.workers);
  JsonReader state = facts.object("state");
  readStateLimits(state, settings.stateLimits);
  settings.initialPartitions =
      initialPartitionCount(settings.initialSize, settings.stateLimits.opsPerTransaction);
  applyAnnouncedLimits(state, settings.stateLimits);
  readCloudLimits(facts.object("cloud"), settings.cloudLimits);
  readProcessLimits(facts.object("limits"), settings.processLimits);
  facts.amount("clock_off_ms", settings.maxClockErrorMs, 0);
}

// Checks that the leader has time to renew worker leases. Without it no answer to a worker would be safe
// (docs/safety.md, point 7).
std::optional<FieldError> checkAnswerWindow(const Settings& settings) {
  const std::chrono::milliseconds heartbeatInterval(
      static_cast<long>(settings.workers.heartbeatIntervalS * 1000));
  if (settings.answerWindow() >= heartbeatInterval) return std::nullopt;
  return FieldError{
      "facts.workers.cancel_s",
      "is too short to renew worker leases safely: it must exceed lease_s by at least report_s and the "
      "safety margins"};
}

}  // namespace

std::optional<FieldError> parsePlatform(const std::string& text, Settings& settings) {
  const Json root = Json::parse(text, nullptr, false);
  if (!root.is_object()) return FieldError{"(file)", "is not a JSON object"};
  std::optional<FieldError> error;
  JsonReader top(root, "", error);
  top.text("label", settings.label);
  top.text("area", settings.area);
  top.endpoint("bind", settings.bind);
  top.endpoint("peer_listen", settings.peerListen);
  readSiblings(top, settings.siblings);
  readEndpoints(top.object("endpoints"), settings.endpoints);
  readFacts(top.object("facts"), settings);
  return error ? error : checkAnswerWindow(settings);
}

std::optional<FieldError> loadPlatform(const std::string& path, Settings& settings) {
  const auto text = readFile(path);
  if (!text) return FieldError{path, "cannot be read"};
  return parsePlatform(*text, settings);
}

}  // namespace reachhoist::config
