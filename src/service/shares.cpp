#include "service/shares.hpp"

#include <cmath>
#include <limits>
#include <utility>

#include "shares/convergence.hpp"

namespace reachhoist::service {

SharesFollower::SharesFollower(Context& context)
    : context_(context),
      watch_(context.state, shares::kTableKey,
             [this](const Json* value, std::uint64_t revision) { onRecord(value, revision); }) {
  // Checked when the settings were read; should it fail here, the stored table still counts.
  if (const auto problem = shares::fromOperators(context_.settings, own_)) refuse(*problem);
}

void SharesFollower::tick(bool leads) {
  watch_.tick(context_.now);
  if (leads) writeOwn();
}

void SharesFollower::refuse(const config::FieldError& problem) {
  context_.event(Level::error, "shares_refused",
                 {{"field", problem.field},
                  {"why", problem.reason},
                  {"kept_generation", context_.shares ? context_.shares->generation : 0}});
}

void SharesFollower::onRecord(const Json* value, std::uint64_t revision) {
  revision_ = revision;
  if (value == nullptr) {
    storedGeneration_ = 0;
    if (context_.shares) own_ = *context_.shares;  // removed by somebody: what is in force is stored again
    return;
  }
  shares::Table table;
  auto problem = shares::decode(*value, table);
  // Whatever it is, it is not overwritten: an operator has to look at it.
  if (problem) {
    storedGeneration_ = std::numeric_limits<std::uint64_t>::max();
    return refuse(*problem);
  }
  storedGeneration_ = table.generation;
  if (!problem) problem = shares::check(table, context_.settings);
  if (!problem && context_.shares && table.generation < context_.shares->generation)
    problem = config::FieldError{"generation", "is lower than that of the table in force"};
  if (problem) return refuse(*problem);
  if (context_.shares && table.generation == context_.shares->generation) return;
  context_.event(Level::info, "shares", {{"generation", table.generation}, {"groups", table.shares.size()}});
  context_.shares = std::move(table);
}

void SharesFollower::writeOwn() {
  if (!storedGeneration_ || *storedGeneration_ >= own_.generation || writing_ || context_.now < retryAt_)
    return;
  retryAt_ = context_.now + constants::kShareWriteRetryInterval;
  writing_ = true;
  state::Transaction transaction;
  transaction.conditions.push_back({shares::kTableKey, revision_});
  transaction.writes.push_back({shares::kTableKey, shares::encode(own_), std::nullopt});
  // Whether it was carried out shows in the watch.
  context_.state.multi(context_.now, state::Urgency::rest, transaction,
                       [this, alive = std::weak_ptr<int>(alive_)](const wire::CallResult&) {
                         if (alive.lock()) writing_ = false;
                       });
}

void SharesInRounds::prepare(placement::World& world, bool mayPreemptForShares) {
  if (!context_.shares) return;
  generation_ = context_.shares->generation;
  world.shares = &*context_.shares;
  world.mayPreemptForShares = mayPreemptForShares && context_.now >= nextReclaim_;
}

void SharesInRounds::planned(const placement::Plan& plan) {
  // Looking costs a walk over all machines: what could not be found now is not looked for in every round.
  if (plan.triedSharePreemption) nextReclaim_ = context_.now + constants::kReplanInterval;
  if (plan.sharePreemptions == 0) return;
  nextReclaim_ = context_.now + wire::seconds(shares::reclaimPauseS(context_.settings));
  context_.event(Level::info, "reclaim", {{"stops", plan.sharePreemptions}, {"generation", generation_}});
}

Json SharesInRounds::status(machines::MachineTable& machines, jobs::JobTable& jobs) const {
  // Enough digits for a task among 4,000 machines; more would make every record a new one.
  constexpr double kDigits = 1e5;
  const auto rounded = [](double share) { return std::round(share * kDigits) / kDigits; };
  std::vector<machines::Machine*> all;
  for (auto& [host, machine] : machines.all()) all.push_back(&machine);
  std::vector<const jobs::Job*> open;
  for (const std::string& ref : jobs.open()) open.push_back(jobs.find(ref));
  const shares::Table& table = *context_.shares;
  const shares::UsageSnapshot census = shares::takeUsageSnapshot(
      table, context_.settings, all, open, placement::ranksAboveShares(context_.settings, open));
  const auto groupShares = shares::allocateFairShares(census.capacity, census.loads);
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

void SharesInRounds::tick(machines::MachineTable& machines, jobs::JobTable& jobs, bool holdsLeaderLease,
                          const Conditions& conditions) {
  if (!context_.shares || !holdsLeaderLease || context_.now < nextStatus_) return;
  nextStatus_ = context_.now + constants::kShareStatusInterval;
  Json now = status(machines, jobs);
  if (now == written_) return;
  state::Transaction transaction;
  transaction.conditions = conditions();
  transaction.writes.push_back({shares::kStatusKey, now, std::nullopt});
  written_ = std::move(now);
  context_.state.multi(context_.now, state::Urgency::rest, transaction, [](const auto&) {});
}

}  // namespace reachhoist::service
