// Fair-share groups: a team, a job class, or one class of one team.
#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace reachhoist::shares {

// A fair-share group. At least one of the two names is not empty.
struct Group {
  std::string team;
  std::string jobClass;

  auto operator<=>(const Group&) const = default;
  // Whether jobs of the team and the class match the group.
  bool holds(std::string_view ofTeam, std::string_view ofClass) const;
  // How specific the group is: a job belongs to the most specific group that contains it.
  int closeness() const;
  // "team:NAME", "class:NAME" or "team:NAME/class:NAME".
  std::string str() const;
};

// Parses the form of `Group::str`; nothing if the text is not in that form.
std::optional<Group> parseGroup(std::string_view text);

// Name of the group of all jobs that no other group contains.
inline constexpr std::string_view kOthers = "others";

}  // namespace reachhoist::shares
