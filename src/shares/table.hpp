// The fair-share table: a versioned record in the key-value store, and its validation.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "shares/group.hpp"
#include "wire/codec.hpp"

namespace reachhoist::shares {

using wire::Json;

// Keys in the state service.
inline constexpr const char* kTableKey = "shares/table";
inline constexpr const char* kStatusKey = "shares/status";

struct Share {
  Group group;
  double weight = 0;
};

// A change that was made, by the id that its sender gave it: repeated, it is answered and not made again.
struct AppliedRequest {
  std::string id;
  std::uint64_t generation = 0;
};

struct Table {
  std::uint64_t generation = 0;
  double othersWeight = 1;  // of all work that no group holds
  std::vector<Share> shares;
  std::vector<AppliedRequest> requests;  // the latest ones, oldest first

  // Position in `shares` of the group that a job belongs to; one past the end for the others.
  std::size_t groupOf(const std::string& team, const std::string& jobClass) const;
  std::size_t groups() const { return shares.size() + 1; }
  double weight(std::size_t group) const;
  std::string groupName(std::size_t group) const;
};

// What is wrong with the table, by the field's name; nothing if it is good.
std::optional<config::FieldError> check(const Table& table, const config::Settings& settings);

Json encode(const Table& table);
// Structure only; `check` judges the content.
std::optional<config::FieldError> decode(const Json& value, Table& out);

// The table of the operators' file.
std::optional<config::FieldError> fromOperators(const config::Settings& settings, Table& out);

// One change by an operator.
struct Change {
  std::string requestId;
  std::optional<std::uint64_t> expectedGeneration;  // refused unless it is the table's
  std::optional<double> othersWeight;
  std::vector<Share> set;
  std::vector<Group> remove;
  bool replace = false;  // `set` becomes the whole table
};

enum class ChangeVerdict { changed, repeated, staleGeneration, invalid };
struct ChangeOutcome {
  ChangeVerdict verdict = ChangeVerdict::invalid;
  std::uint64_t generation = 0;  // that the change has led to, or the present one when it is refused
  config::FieldError problem;
};

// Applies the change to the table, which stays as it is unless the verdict is `changed`.
ChangeOutcome apply(const Change& change, const config::Settings& settings, Table& table);

}  // namespace reachhoist::shares
