// Groups among which the machines are divided: a team, a job class, or one class of one team.
#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace reachhoist::shares {

// At least one of the two is named.
struct Group {
  std::string team;
  std::string jobClass;

  auto operator<=>(const Group&) const = default;
  bool holds(std::string_view ofTeam, std::string_view ofClass) const;
  // How closely the group describes its jobs: a job belongs to the closest group that holds it.
  int closeness() const;
  // "team:NAME", "class:NAME" or "team:NAME/class:NAME".
  std::string str() const;
};

// Nothing when the text is not in that form.
std::optional<Group> parseGroup(std::string_view text);

// The group of all work that no other group holds.
inline constexpr std::string_view kOthers = "others";

}  // namespace reachhoist::shares
