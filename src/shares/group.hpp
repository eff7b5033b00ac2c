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
  bool matches(std::string_view teamName, std::string_view className) const;
  // How specific the group is. A job belongs to the most specific group that it matches.
  int specificity() const;
  // The group's name: "team:NAME", "class:NAME" or "team:NAME/class:NAME".
  std::string str() const;
};

// Parses a name in the form of `Group::str`; nothing if it does not have that form.
std::optional<Group> parseGroup(std::string_view name);

// Name of the group of all jobs that match no other group.
inline constexpr std::string_view kOthersGroup = "others";

}  // namespace reachhoist::shares
