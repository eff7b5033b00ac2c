// Tables of the names that enumerators have in messages, and look-up by enumerator or by name.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace reachhoist::wire {

// One row of a name table: an enumerator and its name.
template <class Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

// Returns the name of an enumerator, or the fallback if the table has no row for it.
template <class Enum, std::size_t Size>
constexpr std::string_view nameIn(const EnumName<Enum> (&table)[Size], Enum value,
                                  std::string_view fallback) {
  for (const EnumName<Enum>& row : table)
    if (row.value == value) return row.name;
  return fallback;
}

// Returns the enumerator with that name, or nothing if the table does not contain the name.
template <class Enum, std::size_t Size>
constexpr std::optional<Enum> valueIn(const EnumName<Enum> (&table)[Size], std::string_view name) {
  for (const EnumName<Enum>& row : table)
    if (row.name == name) return row.value;
  return std::nullopt;
}

}  // namespace reachhoist::wire
