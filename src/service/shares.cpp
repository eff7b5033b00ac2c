#include "service/shares.hpp"

#include <cmath>
#include <limits>
#include <utility>

namespace reachhoist::service {

SharesFollower::SharesFollower(Context& context)
    : context_(context),
      watch_(context.state, shares::kTableKey,
             [this](const Json* value, std::uint64_t stamp) { onRecord(value, stamp); }) {
  // Checked when the settings were read; should it fail here, the stored table still counts.
  if (const auto problem = shares::fromOperators(context_.settings, own_)) refuse(*problem);
}

void SharesFollower::tick(bool leads) {
  watch_.tick(context_.now);
  if (leads) writeOwn();
}

void SharesFollower::refuse(const config::Problem& problem) {
  context_.event(Level::error, "shares_refused",
                 {{"field", problem.field},
                  {"why", problem.reason},
                  {"kept_generation", context_.shares ? context_.shares->generation : 0}});
}

void SharesFollower::onRecord(const Json* value, std::uint64_t stamp) {
  stamp_ = stamp;
  if (value == nullptr) {
    stored_ = 0;
    if (context_.shares) own_ = *context_.shares;  // removed by somebody: what is in force is stored again
    return;
  }
  shares::Table table;
  auto problem = shares::decode(*value, table);
  // Whatever it is, it is not overwritten: an operator has to look at it.
  if (problem) {
    stored_ = std::numeric_limits<std::uint64_t>::max();
    return refuse(*problem);
  }
  stored_ = table.generation;
  if (!problem) problem = shares::check(table, context_.settings);
  if (!problem && context_.shares && table.generation < context_.shares->generation)
    problem = config::Problem{"generation", "is lower than that of the table in force"};
  if (problem) return refuse(*problem);
  if (context_.shares && table.generation == context_.shares->generation) return;
  context_.event(Level::info, "shares", {{"generation", table.generation}, {"groups", table.shares.size()}});
  context_.shares = std::move(table);
}

void SharesFollower::writeOwn() {
  if (!stored_ || *stored_ >= own_.generation || writing_ || context_.now < retryAt_) return;
  retryAt_ = context_.now + constants::kShareWriteRetry;
  writing_ = true;
  state::Transaction transaction;
  transaction.conditions.push_back({shares::kTableKey, stamp_});
  transaction.writes.push_back({shares::kTableKey, shares::encode(own_), std::nullopt});
  // Whether it was carried out shows in the watch.
  context_.state.multi(context_.now, state::Urgency::rest, transaction,
                       [this, alive = std::weak_ptr<int>(alive_)](const wire::CallResult&) {
                         if (alive.lock()) writing_ = false;
                       });
}

Json SharesReporter::encode(const shares::Census& census) const {
  // Enough digits for a task among 4,000 machines; more would make every record a new one.
  constexpr double kDigits = 1e5;
  const auto rounded = [](double share) { return std::round(share * kDigits) / kDigits; };
  const shares::Table& table = *context_.shares;
  const auto groupShares = shares::divide(census.capacity, census.loads);
  const auto converged = shares::converged(census, groupShares);
  Json groups = Json::array();
  for (std::size_t group = 0; group < groupShares.size(); ++group) {
    const shares::GroupShare& share = groupShares[group];
    groups.push_back(Json{{"group", table.groupName(group)},
                          {"entitled", rounded(share.entitled)},
                          {"running", rounded(share.running)},
                          {"demand", rounded(share.demand)},
                          {"converged", static_cast<bool>(converged[group])}});
  }
  return Json{{"generation", table.generation}, {"groups", std::move(groups)}};
}

void SharesReporter::tick(const std::vector<machines::Machine*>& machines,
                          const std::vector<const jobs::Job*>& open, const shares::RanksAbove& ranksAbove,
                          const std::vector<state::Condition>& conditions) {
  if (!due()) return;
  next_ = context_.now + constants::kShareStatusEvery;
  Json status = encode(shares::takeCensus(*context_.shares, context_.settings, machines, open, ranksAbove));
  if (status == written_) return;
  state::Transaction transaction;
  transaction.conditions = conditions;
  transaction.writes.push_back({shares::kStatusKey, status, std::nullopt});
  written_ = std::move(status);
  context_.state.multi(context_.now, state::Urgency::rest, transaction, [](const auto&) {});
}

}  // namespace reachhoist::service
