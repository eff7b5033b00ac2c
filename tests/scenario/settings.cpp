#include "scenario/scenario.hpp"

namespace scenario {

bool Scenario::set(const Line& line) {
  const auto& words = line.words;
  const Options options(words, 1);
  const std::string& what = words[0];
  if (what == "zones") {
    settings_.zones.assign(words.begin() + 1, words.end());
  } else if (what == "report") {
    settings_.workers.heartbeatIntervalS = std::stod(words.at(1));
  } else if (what == "lease") {
    settings_.workers.leaseS = std::stod(words.at(1));
  } else if (what == "cancel") {
    settings_.workers.cancelS = std::stod(words.at(1));
  } else if (what == "controllers") {
    controllers_ = std::stoul(words.at(1));
  } else if (what == "sockets") {
    settings_.limits.maxConnections = static_cast<unsigned>(std::stoul(words.at(1)));
  } else if (what == "large") {
    large_ = true;
  } else if (what == "drift") {
    drift_ = std::stod(words.at(1));
  } else if (what == "seed") {
    seed_ = std::stoull(words.at(1));
  } else if (what == "end") {
    end_ = std::stod(words.at(1));
  } else if (what == "team") {
    settings_.teams.push_back({words.at(1), options.number("guarantee", 0), options.number("most", 0), 0, 0});
  } else if (what == "shares") {
    auto& shares = settings_.operators.shares;
    shares.enabled = true;
    shares.generation = static_cast<std::uint64_t>(options.number("generation", 1));
    shares.othersWeight = options.number("others", 1);
    shares.reclaimStep = options.number("step", shares.reclaimStep);
  } else if (what == "share") {
    settings_.operators.shares.groups.push_back({words.at(1), std::stod(words.at(2))});
  } else if (what == "class") {
    settings_.objectives.push_back({"wait", words.at(1), options.number("within", 30), 0.9, 0});
  } else if (what == "next") {
    settings_.state.valueKb = options.number("kb", 2);
    settings_.state.opsPerTransaction = static_cast<unsigned>(options.number("ops", 4));
    next_ = true;
  } else if (what == "gang") {
    settings_.workers.gangWaitS = options.number("wait", settings_.workers.gangWaitS);
    settings_.workers.gangStopWindowS = options.number("peer", settings_.workers.gangStopWindowS);
  } else if (what == "records") {
    records_ = fs::path(FIXTURE_DIR) / words.at(1) / "state.json";
  } else if (what == "parts") {
    settings_.initialPartitions = static_cast<unsigned>(std::stoul(words.at(1)));
  } else if (what == "state") {
    limits_.rps = options.number("rps", limits_.rps);
    limits_.writeRps = options.number("writes", limits_.writeRps);
    limits_.txnOps = static_cast<std::size_t>(options.number("ops", static_cast<double>(limits_.txnOps)));
    limits_.valueKb = options.number("kb", limits_.valueKb);
  } else if (what == "type") {
    MachineTypeSpec machineType;
    machineType.type.label = words.at(1);
    machineType.type.capacity = {options.number("cpus", 8), 0, options.number("mem", 32)};
    machineType.type.cacheGb = 50;
    machineType.type.pullGbPerS = options.number("pull", 1);
    machineType.type.rate = options.number("price", 0.4);
    machineType.type.marketPrice = options.number("market", 0.1);
    machineType.type.bootS = options.number("boot", 5);
    machineType.ordinary = static_cast<int>(options.number("ordinary", 10));
    machineType.spot = static_cast<int>(options.number("spot", 5));
    machineTypes_.push_back(machineType);
  } else {
    return false;
  }
  return true;
}

}  // namespace scenario
