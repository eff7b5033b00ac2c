#include "service/leader/placement_scheduler.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "service/leader/attempt_fields.hpp"

namespace reachhoist::service {

PlacementScheduler::PlacementScheduler(LeaderState& state, WorkerCommands& commands, GangCoordinator& gangs,
                                       AttemptTracker& attempts)
    : state_(state),
      context_(state.context),
      commands_(commands),
      gangs_(gangs),
      attempts_(attempts),
      committer_(state.context.state, state.uniquePrefix() + "-p"),
      shares_(state) {}

void PlacementScheduler::startRound() {
  if (committer_.isBusy()) return;
  Round round;
  reserveRemainingGangTasks(round);
  const bool due = state_.placementRoundRequested || context_.now >= replanAt_;
  if (round.batches.empty() && due && context_.now >= nextPlanAt_ && context_.catalog) {
    state_.placementRoundRequested = false;
    addAssignments(plan().assignments, round);
  }
  addStaleBatches(round);
  if (!round.batches.empty()) commit(round);
}

void PlacementScheduler::updateShares() {
  shares_.tick();
  if (shares_.hasNewTable()) state_.requestPlacementRound();
}

// --- decisions ---------------------------------------------------------------------------------------------

placement::SchedulingInput PlacementScheduler::schedulingInput() {
  const std::size_t opsPerTransaction = context_.settings.stateLimits.opsPerTransaction;
  placement::SchedulingInput input{
      context_.settings,
      context_.now,
      context_.wallClockMs,
      {},
      {},
      {},
      4 * opsPerTransaction - constants::kMaxBatchesPerRound - state_.partitionCount()};
  for (const std::string& ref : state_.jobs.openJobs()) {
    jobs::Job* job = state_.jobs.find(ref);
    input.openJobs.push_back(job);
    if (job->waitingCount > 0) input.waitingJobs.push_back(job);
  }
  return input;
}

placement::PlacementPlan PlacementScheduler::plan() {
  placement::SchedulingInput input = schedulingInput();
  shares_.prepare(input, canPreemptForShares());
  if (input.waitingJobs.empty()) {
    unplacedDemand_.clear();
    return {};
  }
  input.machines = state_.existingMachines();
  placement::PlacementPlan plan = placement::planPlacements(input);
  shares_.onPlanned(plan);
  unplacedDemand_ = std::move(plan.unplaced);
  // The next round begins when the state has changed, or after a while because backoffs and missed heartbeats
  // change it without any event.
  const bool foundNothing = plan.assignments.empty() && plan.preemptions.empty();
  nextPlanAt_ = context_.now + (foundNothing ? constants::kIdleRoundInterval : constants::kMinRoundInterval);
  replanAt_ = context_.now + constants::kReplanInterval;
  preempt(plan.preemptions);
  return plan;
}

void PlacementScheduler::preempt(const std::vector<placement::Preemption>& preemptions) {
  for (const placement::Preemption& preemption : preemptions) {
    Attempt* attempt = preemption.machine->find(preemption.task, preemption.attemptNumber);
    if (attempt == nullptr) continue;
    context_.logEvent(LogLevel::info, "preempt",
                      {{"task", preemption.task.str()}, {"machine", preemption.machine->host.text}});
    gangs_.stop(*preemption.machine, *attempt, preemption.gracePeriodS, constants::kUnlimitedStopTimeS,
                "preempted");
  }
}

bool PlacementScheduler::canPreemptForShares() const {
  // Until the workers have sent heartbeats to a new leader, all tasks appear to have just started, and those
  // that an earlier leader has stopped appear to continue.
  return state_.firstHeartbeatWindowElapsed() && state_.holdsLeaderLease();
}

// --- batches of the round ----------------------------------------------------------------------------------

void PlacementScheduler::reserveRemainingGangTasks(Round& round) {
  if (reservingGangs_.empty()) return;
  state_.batches.recountBytes(state_.machines);
  for (auto it = reservingGangs_.begin(); it != reservingGangs_.end();) {
    bool allReserved = true;
    state_.forEachAttempt(*it, [&](Machine& machine, Attempt& attempt) {
      if (attempt.phase != AttemptPhase::planned || attempt.batch) return;
      if (!tryReserveGangTask(machine, attempt, round)) allReserved = false;
    });
    it = allReserved ? reservingGangs_.erase(it) : std::next(it);
  }
}

bool PlacementScheduler::tryReserveGangTask(Machine& machine, Attempt& attempt, Round& round) {
  if (attempt.stopRequested || machine.phase != MachinePhase::up) {
    attempts_.release(machine, attempt, "not placed");
    machine.transactionInFlight =
        std::any_of(machine.attempts.begin(), machine.attempts.end(),
                    [](const Attempt& other) { return other.phase == AttemptPhase::planned; });
    return true;
  }
  attempt.batch = state_.batches.assignBatch(machine, attempt, round.batches, constants::kMaxBatchesPerRound);
  if (!attempt.batch) return false;
  machine.transactionInFlight = true;
  round.hosts.insert(machine.host.text);
  round.jobs.insert(attempt.task.job.text);
  return true;
}

void PlacementScheduler::addAssignments(const std::vector<placement::Assignment>& assignments, Round& round) {
  if (assignments.empty()) return;
  state_.batches.recountBytes(state_.machines);
  for (const placement::Assignment& assignment : assignments) {
    if (tryAddAssignment(assignment, round)) continue;
    state_.requestPlacementRound();  // the next round places the others
    return;
  }
}

bool PlacementScheduler::tryAddAssignment(const placement::Assignment& assignment, Round& round) {
  jobs::Job& job = *assignment.job;
  Machine& machine = *assignment.machine;
  const bool gangAttemptBegun = job.isGang() && job.gang.state == jobs::GangState::reserving;
  // The tasks of a gang attempt share one number.
  const auto number = gangAttemptBegun ? std::optional(job.gang.attemptNumber) : state_.takeAttemptNumber();
  if (!number) return false;
  Attempt attempt;
  attempt.task = wire::TaskId{job.spec.ref, assignment.taskIndex};
  attempt.number = *number;
  attempt.batch = state_.batches.assignBatch(machine, attempt, round.batches, constants::kMaxBatchesPerRound);
  if (!attempt.batch && !gangAttemptBegun) return false;
  // All placements of a gang are decided in one round, though they can need several transactions.
  if (!attempt.batch) reservingGangs_.insert(job.spec.ref.text);
  if (job.isGang() && !gangAttemptBegun) gangs_.beginAttempt(job, attempt.number);
  setResourceFields(attempt, job.spec);
  setSchedulingFields(attempt, job);
  attempt.phaseSince = attempt.placedAt = context_.now;
  const bool isInRound = attempt.batch.has_value();
  machine.attempts.push_back(std::move(attempt));
  machine.transactionInFlight = true;
  job.setTaskPhase(assignment.taskIndex, jobs::TaskPhase::placed, context_.now);
  if (!isInRound) return true;
  round.hosts.insert(machine.host.text);
  round.jobs.insert(job.spec.ref.text);
  return true;
}

void PlacementScheduler::addStaleBatches(Round& round) {
  // Stale batches are written together with others, or alone after a while.
  if (state_.staleBatches.empty() || (round.batches.empty() && context_.now < nextCleanupAt_)) return;
  state_.batches.recountBytes(state_.machines);
  for (auto it = state_.staleBatches.begin();
       it != state_.staleBatches.end() && round.batches.size() < constants::kMaxBatchesPerRound;) {
    if (!round.batches.contains(*it) &&
        !state_.batches.shrinkBatch(state_.machines, *it, round.batches, constants::kMaxBatchesPerRound)) {
      ++it;  // the batches that its attempts have moved to are written first
      continue;
    }
    round.batches.insert(*it);
    it = state_.staleBatches.erase(it);
  }
}

// --- transaction -------------------------------------------------------------------------------------------

void PlacementScheduler::commit(const Round& round) {
  nextCleanupAt_ = context_.now + constants::kBatchCleanupInterval;
  state::Transaction transaction;
  HostsByBatch hostsByBatch;
  for (auto& [number, value] : state_.batches.encode(state_.machines, round.batches)) {
    std::set<std::string>& hosts = hostsByBatch[number];
    for (const auto& [host, entry] : value["hosts"].items()) hosts.insert(host);
    const std::string key = machines::placementBatchKey(number);
    transaction.conditions.push_back({key, state_.batches.revision(number)});
    transaction.writes.push_back({key, std::move(value), std::nullopt});
  }
  for (const std::string& ref : round.jobs)
    transaction.conditions.push_back({jobs::jobKey(ref), state_.jobs.find(ref)->revision});
  for (auto& condition : state_.partitionConditions()) transaction.conditions.push_back(std::move(condition));
  committer_.commit(context_.now, state::Urgency::placement, std::move(transaction),
                    [this, hosts = round.hosts, hostsByBatch](const state::Outcome& outcome) {
                      onCommitted(hosts, hostsByBatch, outcome);
                    });
}

void PlacementScheduler::onCommitted(const std::set<std::string>& hosts, const HostsByBatch& batches,
                                     const state::Outcome& outcome) {
  state_.requestPlacementRound();
  const bool applied = outcome.verdict == state::Verdict::applied;
  if (applied)
    for (const auto& [number, hostNames] : batches)
      state_.batches.setStored(number, outcome.revision, hostNames);
  std::set<std::string> gangs;
  for (const std::string& host : hosts)
    if (Machine* machine = state_.machines.find(host); machine != nullptr)
      applyOutcome(*machine, batches, applied, gangs);
  for (const std::string& ref : gangs)
    if (jobs::Job* job = state_.jobs.find(ref); job != nullptr && job->isOpen()) gangs_.onTasksRecorded(*job);
  if (!applied) state_.onTransactionRefused(outcome, "placements");
}

void PlacementScheduler::applyOutcome(Machine& machine, const HostsByBatch& batches, bool applied,
                                      std::set<std::string>& gangs) {
  machine.transactionInFlight = false;
  for (Attempt& attempt : machine.attempts) {
    if (attempt.phase != AttemptPhase::planned) continue;
    if (!attempt.batch || !batches.contains(*attempt.batch)) {
      machine.transactionInFlight = true;  // the next transaction places this gang task
      continue;
    }
    if (attempt.isGangMember) gangs.insert(attempt.task.job.text);
    // An attempt that was stopped in the meantime, or whose machine is being given up, has never been started
    // and can be released at once.
    const bool isStillWanted = !attempt.stopRequested && machine.phase == MachinePhase::up;
    if (!applied || !isStillWanted) {
      attempts_.release(machine, attempt, "not placed");
      continue;
    }
    attempt.setPhase(AttemptPhase::recorded, context_.now);
    commands_.requestDirectCall(machine);
    if (context_.isLogged(LogLevel::debug))
      context_.logEvent(LogLevel::debug, "placed",
                        {{"task", attempt.task.str()}, {"machine", machine.host.text}});
  }
  AttemptTracker::eraseReleased(machine);
  if (!machine.isIdle()) machine.idleSince = context_.now;
}

}  // namespace reachhoist::service
