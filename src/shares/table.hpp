// The fair-share table (a versioned record in the key-value store), its validation and its changes.
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

// Keys in the key-value store.
inline constexpr const char* kTableKey = "shares/table";
inline constexpr const char* kStatusKey = "shares/status";

// The weight of one group.
struct Share {
  Group group;
  double weight = 0;
};

// A request whose change has been applied. A repeated request with the same id gets the same answer, and its
// change is not applied again.
struct AppliedRequest {
  std::string id;                // chosen by the sender
  std::uint64_t generation = 0;  // the table's generation after the change
};

// The weights of the fair-share groups, and the latest requests that changed them.
struct Table {
  std::uint64_t generation = 0;
  double othersWeight = 1;  // weight of all jobs that match no group
  std::vector<Share> shares;
  std::vector<AppliedRequest> requests;  // the latest requests, oldest first

  // The index in `shares` of the group that a job belongs to, or `shares.size()` if it matches no group.
  std::size_t groupOf(const std::string& team, const std::string& jobClass) const;
  // The number of groups, with the group of all other jobs.
  std::size_t groupCount() const { return shares.size() + 1; }
  double weight(std::size_t group) const;
  std::string groupName(std::size_t group) const;
};

// Validates the table against the settings. Returns the first invalid field with its problem; nothing if the
// table is valid.
std::optional<config::FieldError> check(const Table& table, const config::Settings& settings);

Json encode(const Table& table);
// Decodes a table and checks only its structure; `check` validates the content. `table` stays unchanged if
// the record is malformed.
std::optional<config::FieldError> decode(const Json& value, Table& table);

// Builds and validates the table of the operators' file. `table` stays unchanged if it is invalid.
std::optional<config::FieldError> fromOperators(const config::Settings& settings, Table& table);

// A change of the table that an operator requests.
struct Change {
  std::string requestId;
  std::optional<std::uint64_t> expectedGeneration;  // the change is refused at any other generation
  std::optional<double> othersWeight;
  std::vector<Share> set;
  std::vector<Group> remove;
  bool replace = false;  // the groups of `set` replace all groups of the table
};

enum class ChangeVerdict { changed, repeated, staleGeneration, invalid };

// The result of a change.
struct ChangeOutcome {
  ChangeVerdict verdict = ChangeVerdict::invalid;
  std::uint64_t generation = 0;  // the table's generation after the change; the current one if it is refused
  config::FieldError problem;
};

// Applies the change to the table. The table stays unchanged unless the verdict is `changed`.
ChangeOutcome apply(const Change& change, const config::Settings& settings, Table& table);

}  // namespace reachhoist::shares
