#include "scenario/steps.hpp"

namespace scenario {

namespace {

namespace shares = reachhoist::shares;
using standin::Json;

constexpr const char* kTableKey = "shares/table";
constexpr double kRequestDelayS = 0.005;
constexpr int kTooManyGroups = 2000;

Json groupWithWeightOne(const std::string& group) { return Json{{"group", group}, {"weight", 1}}; }

// Parses the request id, which is followed by options and by groups with their weights, as name=value.
shares::Change parseChange(const Line& line) {
  shares::Change change;
  change.requestId = line.word(3);
  for (std::size_t i = 4; i < line.words.size(); ++i) {
    const std::string& word = line.words[i];
    const auto equals = word.find('=');
    const std::string name = word.substr(0, equals);
    const double value = std::stod(word.substr(equals + 1));
    if (name == "generation") {
      change.expectedGeneration = static_cast<std::uint64_t>(value);
    } else if (name == "others") {
      change.othersWeight = value;
    } else if (const auto group = shares::parseGroup(name)) {
      change.set.push_back({*group, value});
    }
  }
  return change;
}

// Returns the table that replaces the stored one. Most kinds are invalid.
Json alteredTable(const std::string& kind, Json table) {
  if (kind == "valid")
    return Json{
        {"generation", 7}, {"others", 50}, {"groups", Json::array({groupWithWeightOne("class:survey")})}};
  if (kind == "malformed") return Json{{"groups", "none"}};
  const std::uint64_t generation = table.value("generation", 0);
  table["generation"] = kind == "older-generation" ? generation - 1 : generation + 1;
  if (kind == "negative-weight") table["groups"][0]["weight"] = -1;
  if (kind == "huge-weight") table["groups"][0]["weight"] = 1e300;
  if (kind == "unknown-group") table["groups"][0]["group"] = "class:nobody";
  if (kind == "duplicate-group") table["groups"].push_back(table["groups"][0]);
  if (kind == "too-many-groups")
    for (int i = 0; i < kTooManyGroups; ++i)
      table["groups"].push_back(groupWithWeightOne("class:c" + std::to_string(i)));
  return table;
}

}  // namespace

void changeShares(standin::World& world, const Line& line) {
  world.operators->change(parseChange(line), Options(line, 3).real("delay", kRequestDelayS));
}

void overwriteShareTable(standin::World& world, const Line& line) {
  world.store.put(kTableKey, alteredTable(line.word(3), world.store.value(kTableKey)));
}

}  // namespace scenario
