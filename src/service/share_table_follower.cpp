#include "service/share_table_follower.hpp"

#include <limits>
#include <utility>

namespace reachhoist::service {

ShareTableFollower::ShareTableFollower(Context& context)
    : context_(context),
      watch_(context.state, shares::kTableKey,
             [this](const Json* value, std::uint64_t revision) { onRecord(value, revision); }) {
  // The settings were already checked when they were read. If the check fails here nevertheless, the stored
  // table remains usable.
  if (const auto problem = shares::fromOperators(context_.settings, configuredTable_)) refuse(*problem);
}

void ShareTableFollower::tick(bool isLeading) {
  watch_.tick(context_.now);
  if (isLeading) writeConfiguredTable();
}

void ShareTableFollower::refuse(const config::FieldError& problem) {
  context_.logEvent(LogLevel::error, "shares_refused",
                    {{"field", problem.field},
                     {"why", problem.reason},
                     {"kept_generation", context_.shares ? context_.shares->generation : 0}});
}

void ShareTableFollower::onRecord(const Json* value, std::uint64_t revision) {
  storedRevision_ = revision;
  if (value == nullptr) {
    storedGeneration_ = 0;
    if (context_.shares)
      configuredTable_ = *context_.shares;  // the leader replaces a deleted record by the table in force
    return;
  }
  shares::Table table;
  auto problem = shares::decode(*value, table);
  // A malformed record is not overwritten, because an operator has to examine it.
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
  context_.logEvent(LogLevel::info, "shares",
                    {{"generation", table.generation}, {"groups", table.shares.size()}});
  context_.shares = std::move(table);
}

void ShareTableFollower::writeConfiguredTable() {
  if (!storedGeneration_ || *storedGeneration_ >= configuredTable_.generation || writeInFlight_ ||
      context_.now < retryAt_)
    return;
  retryAt_ = context_.now + constants::kShareWriteRetryInterval;
  writeInFlight_ = true;
  state::Transaction transaction;
  transaction.conditions.push_back({shares::kTableKey, storedRevision_});
  transaction.writes.push_back({shares::kTableKey, shares::encode(configuredTable_), std::nullopt});
  // The result is not needed, because the watch reports an applied write.
  context_.state.transact(context_.now, state::Urgency::background, transaction,
                          guard_.wrap([this](const wire::CallResult&) { writeInFlight_ = false; }));
}

}  // namespace reachhoist::service
