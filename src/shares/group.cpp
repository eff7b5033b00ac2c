// Fair-share groups (a team, a job class, or one class of one team): names, matching and parsing.
#include "shares/group.hpp"

namespace reachhoist::shares {

namespace {
constexpr std::string_view kTeam = "team:";
constexpr std::string_view kClass = "class:";

bool validName(std::string_view name) {
  return !name.empty() && name.find_first_of("/: \t\n") == std::string_view::npos;
}
}  // namespace

bool Group::holds(std::string_view ofTeam, std::string_view ofClass) const {
  return (team.empty() || team == ofTeam) && (jobClass.empty() || jobClass == ofClass);
}

int Group::closeness() const {
  constexpr int kByTeam = 2;
  constexpr int kByClass = 1;
  return (team.empty() ? 0 : kByTeam) + (jobClass.empty() ? 0 : kByClass);
}

std::string Group::str() const {
  std::string out;
  if (!team.empty()) out.append(kTeam).append(team);
  if (!team.empty() && !jobClass.empty()) out += '/';
  if (!jobClass.empty()) out.append(kClass).append(jobClass);
  return out;
}

std::optional<Group> parseGroup(std::string_view text) {
  Group group;
  if (text.starts_with(kTeam)) {
    text.remove_prefix(kTeam.size());
    const auto slash = text.find('/');
    group.team = text.substr(0, slash);
    if (!validName(group.team)) return std::nullopt;
    if (slash == std::string_view::npos) return group;
    text.remove_prefix(slash + 1);
  }
  if (!text.starts_with(kClass)) return std::nullopt;
  group.jobClass = text.substr(kClass.size());
  if (!validName(group.jobClass)) return std::nullopt;
  return group;
}

}  // namespace reachhoist::shares
