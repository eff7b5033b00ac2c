#include "scenario/config.hpp"

#include <map>

namespace scenario {

namespace {

using Setting = void (*)(Config&, const Line&);

void setZones(Config& config, const Line& line) {
  config.settings.zones.assign(line.words.begin() + 1, line.words.end());
}

void setHeartbeatInterval(Config& config, const Line& line) {
  config.settings.workers.heartbeatIntervalS = line.real(1);
}

void setLease(Config& config, const Line& line) { config.settings.workers.leaseS = line.real(1); }

void setCancelLimit(Config& config, const Line& line) { config.settings.workers.cancelS = line.real(1); }

void setControllers(Config& config, const Line& line) { config.controllers = std::stoul(line.word(1)); }

void setMaxConnections(Config& config, const Line& line) {
  config.settings.processLimits.maxConnections = static_cast<unsigned>(std::stoul(line.word(1)));
}

void setSkippedUnderSanitizers(Config& config, const Line&) { config.skippedUnderSanitizers = true; }

void setClockSlowdown(Config& config, const Line& line) { config.clockSlowdown = line.real(1); }

void setSeed(Config& config, const Line& line) { config.seed = std::stoull(line.word(1)); }

void setEnd(Config& config, const Line& line) { config.endS = line.real(1); }

void addTeam(Config& config, const Line& line) {
  const Options options(line, 1);
  config.settings.teams.push_back(
      {line.word(1), options.real("guarantee", 0), options.real("quota", 0), 0, 0});
}

void switchSharesOn(Config& config, const Line& line) {
  const Options options(line, 1);
  auto& shares = config.settings.operators.shares;
  shares.enabled = true;
  shares.generation = options.count("generation", std::uint64_t{1});
  shares.othersWeight = options.real("others", 1);
  shares.reclaimStep = options.real("reclaim-step", shares.reclaimStep);
}

void addShare(Config& config, const Line& line) {
  config.settings.operators.shares.groups.push_back({line.word(1), line.real(2)});
}

void addClass(Config& config, const Line& line) {
  config.settings.objectives.push_back(
      {"wait", line.word(1), Options(line, 1).real("start-within", 30), 0.9, 0});
}

void setAnnouncedLimits(Config& config, const Line& line) {
  const Options options(line, 1);
  config.settings.stateLimits.maxValueKib = options.real("value-kb", 2);
  config.settings.stateLimits.opsPerTransaction = options.count("txn-ops", 4U);
  config.lowerLimitsAnnounced = true;
}

void setGangTimes(Config& config, const Line& line) {
  const Options options(line, 1);
  config.settings.workers.gangWaitS = options.real("gather-timeout", config.settings.workers.gangWaitS);
  config.settings.workers.gangStopWindowS =
      options.real("peer-timeout", config.settings.workers.gangStopWindowS);
}

void setStoredState(Config& config, const Line& line) {
  config.storedState = std::filesystem::path(FIXTURE_DIR) / line.word(1) / "state.json";
}

void setPartitions(Config& config, const Line& line) {
  config.settings.initialPartitions = static_cast<unsigned>(std::stoul(line.word(1)));
}

void setStoreLimits(Config& config, const Line& line) {
  const Options options(line, 1);
  auto& limits = config.limits;
  limits.requestsPerS = options.real("rps", limits.requestsPerS);
  limits.writesPerS = options.real("write-rps", limits.writesPerS);
  limits.opsPerTransaction = options.count("txn-ops", limits.opsPerTransaction);
  limits.maxValueKib = options.real("value-kb", limits.maxValueKib);
}

void addMachineType(Config& config, const Line& line) {
  const Options options(line, 1);
  standin::MachineTypeSpec spec;
  spec.type.name = line.word(1);
  spec.type.capacity = {options.real("cpus", 8), 0, options.real("mem", 32)};
  spec.type.imageCacheGb = 50;
  spec.type.imagePullGbPerS = options.real("pull-rate", 1);
  spec.type.onDemandPricePerHour = options.real("on-demand-price", 0.4);
  spec.type.spotPricePerHour = options.real("spot-price", 0.1);
  spec.type.nominalBootTimeS = options.real("boot", 5);
  spec.onDemandPerZone = options.count("on-demand", 10);
  spec.spotPerZone = options.count("spot", 5);
  config.machineTypes.push_back(spec);
}

const std::map<std::string, Setting>& settingsByWord() {
  static const std::map<std::string, Setting> kSettings{
      {"zones", setZones},
      {"heartbeat", setHeartbeatInterval},
      {"lease", setLease},
      {"cancel-limit", setCancelLimit},
      {"controllers", setControllers},
      {"max-connections", setMaxConnections},
      {"skip-under-sanitizers", setSkippedUnderSanitizers},
      {"clock-slowdown", setClockSlowdown},
      {"seed", setSeed},
      {"end", setEnd},
      {"team", addTeam},
      {"shares", switchSharesOn},
      {"share", addShare},
      {"class", addClass},
      {"announced-limits", setAnnouncedLimits},
      {"gang", setGangTimes},
      {"stored-state", setStoredState},
      {"partitions", setPartitions},
      {"store-limits", setStoreLimits},
      {"type", addMachineType},
  };
  return kSettings;
}

}  // namespace

Config::Config() {
  settings.workers.heartbeatIntervalS = 1.5;
  settings.workers.leaseS = 12;
  settings.workers.cancelS = 42;
  settings.cloudLimits.listLagS = 4;
  settings.zones = {"a", "b", "c"};
}

void Config::complete() {
  for (std::size_t i = 0; i < controllers; ++i)
    settings.siblings.push_back(
        {"hoist-" + std::to_string(i), settings.zones[i % settings.zones.size()], "10.0.0.1:1"});
  settings.label = "unset";
  settings.endpoints.cloud = "cloud";
  settings.endpoints.state = "state";
  settings.initialSize = 3;
  if (settings.initialPartitions == 1) settings.initialPartitions = 3;
  for (standin::MachineTypeSpec& spec : machineTypes) spec.type.zones = settings.zones;
}

bool applySetting(Config& config, const Line& line) {
  const auto found = settingsByWord().find(line.word(0));
  if (found == settingsByWord().end()) return false;
  found->second(config, line);
  return true;
}

}  // namespace scenario
