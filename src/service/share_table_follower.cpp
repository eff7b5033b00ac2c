#include "service/share_table_follower.hpp"

#include <limits>
#include <utility>

namespace reachhoist::service {

ShareTableFollower::ShareTableFollower(Context& context)
    : context_(context),
      watch_(context.state, shares::kTableKey,
             [this](const Json* value, std::uint64_t revision) { onRecord(value, revision); }) {
  // Checked already when the settings were read; should it fail here, the stored table still counts.
  if (const auto problem = shares::fromOperators(context_.settings, configured_)) refuse(*problem);
}

void ShareTableFollower::tick(bool leads) {
  watch_.tick(context_.now);
  if (leads) writeConfigured();
}

void ShareTableFollower::refuse(const config::FieldError& problem) {
  context_.event(Level::error, "shares_refused",
                 {{"field", problem.field},
                  {"why", problem.reason},
                  {"kept_generation", context_.shares ? context_.shares->generation : 0}});
}

void ShareTableFollower::onRecord(const Json* value, std::uint64_t revision) {
  revision_ = revision;
  if (value == nullptr) {
    storedGeneration_ = 0;
    if (context_.shares)
      configured_ = *context_.shares;  // it was deleted: the table in force is stored again
    return;
  }
  shares::Table table;
  auto problem = shares::decode(*value, table);
  // A malformed record is not overwritten: an operator has to look at it.
  if (problem) {
    storedGeneration_ = std::numeric_limits<std::uint64_t>::max();
    return refuse(*problem);
  }
  storedGeneration_ = table.generation;
  problem = shares::check(table, context_.settings);
  if (!problem && context_.shares && table.generation < context_.shares->generation)
    problem = config::FieldError{"generation", "is lower than that of the table in force"};
  if (problem) return refuse(*problem);
  if (context_.shares && table.generation == context_.shares->generation) return;
  context_.event(Level::info, "shares", {{"generation", table.generation}, {"groups", table.shares.size()}});
  context_.shares = std::move(table);
}

void ShareTableFollower::writeConfigured() {
  if (!storedGeneration_ || *storedGeneration_ >= configured_.generation || writing_ ||
      context_.now < retryAt_)
    return;
  retryAt_ = context_.now + constants::kShareWriteRetryInterval;
  writing_ = true;
  state::Transaction transaction;
  transaction.conditions.push_back({shares::kTableKey, revision_});
  transaction.writes.push_back({shares::kTableKey, shares::encode(configured_), std::nullopt});
  // The watch shows whether it was applied.
  context_.state.transact(context_.now, state::Urgency::background, transaction,
                          guard_.wrap([this](const wire::CallResult&) { writing_ = false; }));
}

}  // namespace reachhoist::service
