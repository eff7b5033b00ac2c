// Encoding, validation and changes of the fair-share table; see table.hpp.
#include "shares/table.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>

namespace reachhoist::shares {

using config::FieldError;

namespace {

std::optional<FieldError> checkWeight(const std::string& field, double weight) {
  if (std::isfinite(weight) && weight >= 0 && weight <= constants::kMaxShareWeight) return std::nullopt;
  std::ostringstream problem;
  problem << "must be a number from 0 to " << constants::kMaxShareWeight;
  return FieldError{field, problem.str()};
}

bool isKnownClass(const config::Settings& settings, const std::string& jobClass) {
  return std::any_of(settings.objectives.begin(), settings.objectives.end(),
                     [&](const config::Objective& objective) { return objective.jobClass == jobClass; });
}

std::optional<FieldError> checkGroup(const Group& group, const config::Settings& settings) {
  const std::string field = "group " + group.str();
  if (!group.team.empty() && settings.team(group.team) == nullptr)
    return FieldError{field, "names a team that the platform doesn't know"};
  if (!group.jobClass.empty() && !isKnownClass(settings, group.jobClass))
    return FieldError{field, "names a job class that the platform doesn't know"};
  return std::nullopt;
}

std::optional<FieldError> decodeShare(const Json& entry, std::size_t index, Share& share) {
  const std::string field = "groups[" + std::to_string(index) + "]";
  const auto name = wire::textField(entry, "group");
  const auto group = name ? parseGroup(*name) : std::nullopt;
  if (!group)
    return FieldError{field + ".group", "must be like team:NAME, class:NAME or team:NAME/class:NAME"};
  const Json* weight = wire::field(entry, "weight");
  if (weight == nullptr || !weight->is_number()) return FieldError{field + ".weight", "must be a number"};
  share = Share{*group, weight->get<double>()};
  return std::nullopt;
}

std::optional<FieldError> decodeRequests(const Json& value, Table& table) {
  const Json* requests = wire::field(value, "requests");
  if (requests == nullptr) return std::nullopt;
  if (!requests->is_array()) return FieldError{"requests", "must be a list"};
  for (const Json& entry : *requests) {
    const auto id = wire::textField(entry, "id");
    const auto generation = wire::countField(entry, "generation");
    if (!id || !generation) return FieldError{"requests", "must hold ids and generations"};
    table.requests.push_back(AppliedRequest{*id, *generation});
  }
  return std::nullopt;
}

void setShare(Table& table, const Share& share) {
  const auto found = std::find_if(table.shares.begin(), table.shares.end(),
                                  [&](const Share& other) { return other.group == share.group; });
  if (found == table.shares.end()) {
    table.shares.push_back(share);
  } else {
    found->weight = share.weight;
  }
}

std::optional<FieldError> checkDuplicates(const std::vector<Share>& shares) {
  std::set<Group> namedGroups;
  for (const Share& share : shares)
    if (!namedGroups.insert(share.group).second)
      return FieldError{"group " + share.group.str(), "is named twice"};
  return std::nullopt;
}

}  // namespace

std::size_t Table::groupOf(const std::string& team, const std::string& jobClass) const {
  std::size_t best = shares.size();
  int bestSpecificity = 0;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    const Group& group = shares[i].group;
    if (!group.matches(team, jobClass) || group.specificity() <= bestSpecificity) continue;
    bestSpecificity = group.specificity();
    best = i;
  }
  return best;
}

double Table::weight(std::size_t group) const {
  return group < shares.size() ? shares[group].weight : othersWeight;
}

std::string Table::groupName(std::size_t group) const {
  return group < shares.size() ? shares[group].group.str() : std::string(kOthersGroup);
}

std::optional<FieldError> check(const Table& table, const config::Settings& settings) {
  if (table.generation == 0) return FieldError{"generation", "must be at least 1"};
  if (table.shares.empty()) return FieldError{"groups", "must name at least one group"};
  if (table.shares.size() > constants::kMaxShareGroups)
    return FieldError{"groups", "must be at most " + std::to_string(constants::kMaxShareGroups)};
  if (auto problem = checkWeight("others", table.othersWeight)) return problem;
  if (auto problem = checkDuplicates(table.shares)) return problem;
  for (const Share& share : table.shares) {
    if (auto problem = checkGroup(share.group, settings)) return problem;
    if (auto problem = checkWeight("group " + share.group.str() + " weight", share.weight)) return problem;
  }
  const auto maxBytes = static_cast<std::size_t>(settings.stateLimits.maxValueKib * constants::kBytesPerKib *
                                                 constants::kMaxValueFillShare);
  if (encode(table).dump().size() > maxBytes)
    return FieldError{"groups", "make a record of more than " + std::to_string(maxBytes) + " bytes"};
  return std::nullopt;
}

Json encode(const Table& table) {
  Json groups = Json::array();
  for (const Share& share : table.shares)
    groups.push_back(Json{{"group", share.group.str()}, {"weight", share.weight}});
  Json requests = Json::array();
  for (const AppliedRequest& request : table.requests)
    requests.push_back(Json{{"id", request.id}, {"generation", request.generation}});
  return Json{{"generation", table.generation},
              {"others", table.othersWeight},
              {"groups", std::move(groups)},
              {"requests", std::move(requests)}};
}

std::optional<FieldError> decode(const Json& value, Table& table) {
  if (!value.is_object()) return FieldError{"record", "must be a map"};
  Table decoded;
  const auto generation = wire::countField(value, "generation");
  if (!generation) return FieldError{"generation", "must be a whole number"};
  decoded.generation = *generation;
  const Json* others = wire::field(value, "others");
  if (others == nullptr || !others->is_number()) return FieldError{"others", "must be a number"};
  decoded.othersWeight = others->get<double>();
  const Json* groups = wire::field(value, "groups");
  if (groups == nullptr || !groups->is_array()) return FieldError{"groups", "must be a list"};
  for (const Json& entry : *groups) {
    Share share;
    if (auto problem = decodeShare(entry, decoded.shares.size(), share)) return problem;
    decoded.shares.push_back(std::move(share));
  }
  if (auto problem = decodeRequests(value, decoded)) return problem;
  table = std::move(decoded);
  return std::nullopt;
}

std::optional<FieldError> fromOperators(const config::Settings& settings, Table& table) {
  const config::ShareSettings& shareSettings = settings.operators.shares;
  Table built;
  built.generation = shareSettings.generation;
  built.othersWeight = shareSettings.othersWeight;
  for (const config::ShareWeight& entry : shareSettings.groups) {
    const auto group = parseGroup(entry.group);
    if (!group)
      return FieldError{"shares.group " + entry.group,
                        "must be like team:NAME, class:NAME or team:NAME/class:NAME"};
    built.shares.push_back(Share{*group, entry.weight});
  }
  if (auto problem = check(built, settings)) {
    problem->field = "shares." + problem->field;
    return problem;
  }
  table = std::move(built);
  return std::nullopt;
}

ChangeOutcome apply(const Change& change, const config::Settings& settings, Table& table) {
  const auto reject = [&](ChangeVerdict verdict, FieldError problem) {
    return ChangeOutcome{verdict, table.generation, std::move(problem)};
  };
  if (change.requestId.empty() || change.requestId.size() > constants::kMaxShareRequestIdBytes)
    return reject(ChangeVerdict::invalid,
                  {"request_id",
                   "must be text of 1 to " + std::to_string(constants::kMaxShareRequestIdBytes) + " bytes"});
  for (const AppliedRequest& request : table.requests)
    if (request.id == change.requestId) return {ChangeVerdict::repeated, request.generation, {}};
  if (change.expectedGeneration && *change.expectedGeneration != table.generation)
    return reject(ChangeVerdict::staleGeneration,
                  {"generation", "is " + std::to_string(table.generation) + " and not " +
                                     std::to_string(*change.expectedGeneration)});
  if (auto problem = checkDuplicates(change.set)) return reject(ChangeVerdict::invalid, *problem);
  Table changed = table;
  if (change.replace) changed.shares.clear();
  for (const Share& share : change.set) setShare(changed, share);
  for (const Group& group : change.remove) {
    if (std::erase_if(changed.shares, [&](const Share& share) { return share.group == group; }) == 0)
      return reject(ChangeVerdict::invalid, {"group " + group.str(), "is not in the table"});
  }
  if (change.othersWeight) changed.othersWeight = *change.othersWeight;
  ++changed.generation;
  changed.requests.push_back(AppliedRequest{change.requestId, changed.generation});
  if (changed.requests.size() > constants::kShareRequestHistory)
    changed.requests.erase(changed.requests.begin());
  if (auto problem = check(changed, settings)) return reject(ChangeVerdict::invalid, *problem);
  table = std::move(changed);
  return {ChangeVerdict::changed, table.generation, {}};
}

}  // namespace reachhoist::shares
