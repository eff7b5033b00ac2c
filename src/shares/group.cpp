// Fair-share groups (a team, a job class, or one class of one team): names, matching and parsing.
#include "shares/group.hpp"

namespace reachhoist::shares {

namespace {
constexpr std::string_view kTeamPrefix = "team:";
constexpr std::string_view kClassPrefix = "class:";

bool isValidName(std::string_view name) {
  return !name.empty() && name.find_first_of("/: \t\n") == std::string_view::npos;
}
}  // namespace

bool Group::matches(std::string_view teamName, std::string_view className) const {
  return (team.empty() || team == teamName) && (jobClass.empty() || jobClass == className);
}

int Group::specificity() const {
  constexpr int kTeamSpecificity = 2;
  constexpr int kClassSpecificity = 1;
  return (team.empty() ? 0 : kTeamSpecificity) + (jobClass.empty() ? 0 : kClassSpecificity);
}

std::string Group::str() const {
  std::string name;
  if (!team.empty()) name.append(kTeamPrefix).append(team);
  if (!team.empty() && !jobClass.empty()) name += '/';
  if (!jobClass.empty()) name.append(kClassPrefix).append(jobClass);
  return name;
}

std::optional<Group> parseGroup(std::string_view name) {
  Group group;
  if (name.starts_with(kTeamPrefix)) {
    name.remove_prefix(kTeamPrefix.size());
    const auto slash = name.find('/');
    group.team = name.substr(0, slash);
    if (!isValidName(group.team)) return std::nullopt;
    if (slash == std::string_view::npos) return group;
    name.remove_prefix(slash + 1);
  }
  if (!name.starts_with(kClassPrefix)) return std::nullopt;
  group.jobClass = name.substr(kClassPrefix.size());
  if (!isValidName(group.jobClass)) return std::nullopt;
  return group;
}

}  // namespace reachhoist::shares
