#include "service/leader/round_shares.hpp"

#include <cmath>
#include <utility>
#include <vector>

#include "shares/convergence.hpp"

namespace reachhoist::service {

namespace {
// Rounds to a resolution that still shows one task among 4,000 machines. With more digits every status would
// differ from the one before.
double roundedShare(double share) {
  constexpr double kStepsPerUnit = 1e5;
  return std::round(share * kStepsPerUnit) / kStepsPerUnit;
}
}  // namespace

void RoundShares::prepare(placement::SchedulingInput& input, bool canPreemptForShares) {
  if (!context_.shares) return;
  generation_ = context_.shares->generation;
  input.shares = &*context_.shares;
  input.canPreemptForShares = canPreemptForShares && context_.now >= nextPreemptionAt_;
}

void RoundShares::onPlanned(const placement::PlacementPlan& plan) {
  // The search examines all machines, so it is not repeated in every round when it has found nothing.
  if (plan.searchedForShareVictims) nextPreemptionAt_ = context_.now + constants::kReplanInterval;
  if (plan.sharePreemptions == 0) return;
  nextPreemptionAt_ = context_.now + wire::seconds(shares::reclaimPauseS(context_.settings));
  context_.logEvent(LogLevel::info, "share_preemption",
                    {{"stops", plan.sharePreemptions}, {"generation", generation_}});
}

Json RoundShares::encodeStatus() {
  std::vector<Machine*> machines;
  for (auto& [host, machine] : state_.machines.all()) machines.push_back(&machine);
  std::vector<const jobs::Job*> openJobs;
  for (const std::string& ref : state_.jobs.openJobs()) openJobs.push_back(state_.jobs.find(ref));
  const shares::Table& table = *context_.shares;
  const shares::UsageSnapshot usage = shares::takeUsageSnapshot(
      table, context_.settings, machines, openJobs, placement::shareExemption(context_.settings, openJobs));
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
  if (!context_.shares || !state_.holdsLeaderLease() || context_.now < nextStatusAt_) return;
  nextStatusAt_ = context_.now + constants::kShareStatusInterval;
  Json current = encodeStatus();
  if (current == writtenStatus_) return;
  state::Transaction transaction;
  transaction.conditions = state_.partitionConditions();
  transaction.writes.push_back({shares::kStatusKey, current, std::nullopt});
  writtenStatus_ = std::move(current);
  context_.state.transact(context_.now, state::Urgency::background, transaction, [](const auto&) {});
}

}  // namespace reachhoist::service
