#include "service/leader/leader_state.hpp"

#include <utility>

namespace reachhoist::service {

namespace {
constexpr const char* kJobKeyPrefix = "jobs/";
// Heartbeat intervals within which a live worker finds a new leader.
constexpr double kFirstHeartbeats = 1.5;

std::size_t valueSizeLimitOf(const config::Settings& settings) {
  return static_cast<std::size_t>(settings.stateLimits.maxValueKib * 1024 * constants::kMaxBatchFillShare);
}
}  // namespace

LeaderState::LeaderState(Context& sharedContext, cluster::Leadership& sharedLeadership,
                         state::Feed& sharedJobFeed, jobs::JobTable& jobTable, std::uint64_t leaderTerm,
                         std::vector<std::uint64_t> partitionRevisions)
    : context(sharedContext),
      leadership(sharedLeadership),
      jobFeed(sharedJobFeed),
      jobs(jobTable),
      term(leaderTerm),
      electedAt(sharedContext.now),
      valueSizeLimit(valueSizeLimitOf(sharedContext.settings)),
      batches(std::min<std::size_t>(constants::kTargetBatchBytes, valueSizeLimit)),
      partitionRevisions_(std::move(partitionRevisions)) {}

void LeaderState::resign(const char* why) {
  if (resigned_) return;
  resigned_ = true;
  leadership.resign(why);
}

void LeaderState::stepDown(const char* why) {
  resigned_ = true;
  leadership.stepDown(why);
}

// While this process stood still another leader may have been elected.
bool LeaderState::confirmedSinceResume() const { return confirmedAt() >= context.resumedAt; }

bool LeaderState::mayRenewLeases() const {
  return confirmedSinceResume() && context.now - confirmedAt() < context.settings.answerWindow();
}

bool LeaderState::holdsLeaderLease() const {
  return confirmedSinceResume() && context.now - confirmedAt() < constants::kLeaderLeaseTtl;
}

bool LeaderState::heardFromWorkers() const {
  return context.now - actingSince >= heartbeatTimeout(kFirstHeartbeats, 1);
}

std::vector<state::Condition> LeaderState::partitionConditions() const {
  std::vector<state::Condition> out;
  for (cluster::PartitionId partition = 0; partition < partitionRevisions_.size(); ++partition)
    out.push_back({cluster::partitionKey(partition), partitionRevisions_[partition]});
  return out;
}

void LeaderState::onTransactionRefused(const state::Outcome& outcome, const char* what) {
  for (const std::string& key : outcome.failed) {
    if (key.starts_with(kJobKeyPrefix)) {
      jobFeed.confirm(context.now, [](bool) {});
    } else if (jobs::isProgressKeyOfEndedJob(jobs, key)) {
      // Its job became final while this transaction was queued, and its progress records were deleted.
    } else {
      // Another writer has changed a record that only a leader writes, or this leader's view is stale: a new
      // term reads everything again.
      context.event(Level::error, "transaction_refused", {{"what", what}, {"key", key}});
      return resign("a record was not as known");
    }
  }
}

std::vector<Machine*> LeaderState::existingMachines() {
  std::vector<Machine*> out;
  for (auto& [host, machine] : machines.all())
    if (machine.phase != MachinePhase::terminated) out.push_back(&machine);
  return out;
}

void LeaderState::forEachAttempt(const std::string& ref,
                                 const std::function<void(Machine&, Attempt&)>& visit) {
  for (auto& [host, machine] : machines.all())
    for (Attempt& attempt : machine.attempts)
      if (attempt.task.job.text == ref) visit(machine, attempt);
}

}  // namespace reachhoist::service
