#include "service/leader/leader_state.hpp"

#include <utility>

namespace reachhoist::service {

namespace {
constexpr const char* kJobKeyPrefix = "jobs/";
// A live worker finds a new leader within this number of heartbeat intervals.
constexpr double kFirstHeartbeatIntervals = 1.5;

std::size_t valueSizeLimitBytesOf(const config::Settings& settings) {
  return static_cast<std::size_t>(settings.stateLimits.maxValueKib * constants::kBytesPerKib *
                                  constants::kMaxBatchFillShare);
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
      valueSizeLimitBytes(valueSizeLimitBytesOf(sharedContext.settings)),
      batches(std::min<std::size_t>(constants::kTargetBatchBytes, valueSizeLimitBytes)),
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

// Another leader can have been elected while this process was suspended.
bool LeaderState::confirmedSinceResume() const { return confirmedAt() >= context.resumedAt; }

bool LeaderState::canRenewLeases() const {
  return confirmedSinceResume() && context.now - confirmedAt() < context.settings.answerWindow();
}

bool LeaderState::holdsLeaderLease() const {
  return confirmedSinceResume() && context.now - confirmedAt() < constants::kLeaderLeaseTtl;
}

bool LeaderState::firstHeartbeatWindowElapsed() const {
  return context.now - recordsLoadedAt >= heartbeatTimeout(kFirstHeartbeatIntervals, 1);
}

std::optional<std::uint64_t> LeaderState::takeAttemptNumber() {
  if (attemptCount_ < constants::kMaxFencingSequence) return cluster::fencingToken(term, ++attemptCount_);
  resign("attempt numbers used up");
  return std::nullopt;
}

std::vector<state::Condition> LeaderState::partitionConditions() const {
  std::vector<state::Condition> conditions;
  for (cluster::PartitionId partition = 0; partition < partitionRevisions_.size(); ++partition)
    conditions.push_back({cluster::partitionKey(partition), partitionRevisions_[partition]});
  return conditions;
}

void LeaderState::onTransactionRefused(const state::Outcome& outcome, const char* what) {
  for (const std::string& key : outcome.failedKeys) {
    if (key.starts_with(kJobKeyPrefix)) {
      jobFeed.confirm(context.now, [](bool) {});
    } else if (jobs::isProgressKeyOfEndedJob(jobs, key)) {
      // The job ended while this transaction was queued, and its progress records were deleted.
    } else {
      // Either another writer has changed a record that only a leader writes, or this leader's copy of the
      // state is stale. The leader resigns because the next term reads all records again.
      context.logEvent(LogLevel::error, "transaction_refused", {{"what", what}, {"key", key}});
      return resign("a record was not as known");
    }
  }
}

std::vector<Machine*> LeaderState::existingMachines() {
  std::vector<Machine*> existing;
  for (auto& [host, machine] : machines.all())
    if (machine.phase != MachinePhase::terminated) existing.push_back(&machine);
  return existing;
}

void LeaderState::forEachAttempt(const std::string& ref,
                                 const std::function<void(Machine&, Attempt&)>& visit) {
  for (auto& [host, machine] : machines.all())
    for (Attempt& attempt : machine.attempts)
      if (attempt.task.job.text == ref) visit(machine, attempt);
}

}  // namespace reachhoist::service
