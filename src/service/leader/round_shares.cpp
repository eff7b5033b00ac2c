#include "service/leader/round_shares.hpp"

#include <cmath>
#include <utility>
#include <vector>

#include "shares/convergence.hpp"

namespace reachhoist::service {

namespace {
// Enough digits for a task among 4,000 machines; with more of them every status would differ from the last.
double roundedShare(double share) {
  constexpr double kDigits = 1e5;
  return std::round(share * kDigits) / kDigits;
}
}  // namespace

void RoundShares::prepare(placement::SchedulingInput& world, bool mayPreemptForShares) {
  if (!context_.shares) return;
  generation_ = context_.shares->generation;
  world.shares = &*context_.shares;
  world.canPreemptForShares = mayPreemptForShares && context_.now >= nextPreemption_;
}

void RoundShares::onPlanned(const placement::PlacementPlan& plan) {
  // The search walks over all machines: what it could not find now is not searched for in every round.
  if (plan.triedSharePreemption) nextPreemption_ = context_.now + constants::kReplanInterval;
  if (plan.sharePreemptions == 0) return;
  nextPreemption_ = context_.now + wire::seconds(shares::reclaimPauseS(context_.settings));
  context_.event(Level::info, "share_preemption",
                 {{"stops", plan.sharePreemptions}, {"generation", generation_}});
}

Json RoundShares::status() {
  std::vector<Machine*> machines;
  for (auto& [host, machine] : state_.machines.all()) machines.push_back(&machine);
  std::vector<const jobs::Job*> open;
  for (const std::string& ref : state_.jobs.openJobs()) open.push_back(state_.jobs.find(ref));
  const shares::Table& table = *context_.shares;
  const shares::UsageSnapshot usage = shares::takeUsageSnapshot(
      table, context_.settings, machines, open, placement::shareExemption(context_.settings, open));
  const auto groupShares = shares::allocateFairShares(usage.capacity, usage.loads);
  const auto converged = shares::converged(usage, groupShares);
  Json groups = Json::array();
  for (std::size_t group = 0; group < groupShares.size(); ++group) {
    const shares::GroupShare& share = groupShares[group];
    groups.push_back(Json{{"group", table.groupName(group)},
                          {"entitled", roundedShare(share.entitled)},
                          {"running", roundedShare(share.running)},
                          {"demand", roundedShare(share.demand)},
                          {"converged", static_cast<bool>(converged[group])}});
  }
  return Json{{"generation", table.generation}, {"groups", std::move(groups)}};
}

void RoundShares::tick() {
  if (!context_.shares || !state_.holdsLeaderLease() || context_.now < nextStatus_) return;
  nextStatus_ = context_.now + constants::kShareStatusInterval;
  Json current = status();
  if (current == writtenStatus_) return;
  state::Transaction transaction;
  transaction.conditions = state_.partitionConditions();
  transaction.writes.push_back({shares::kStatusKey, current, std::nullopt});
  writtenStatus_ = std::move(current);
  context_.state.transact(context_.now, state::Urgency::background, transaction, [](const auto&) {});
}

}  // namespace reachhoist::service
