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
  if (committer_.busy()) return;
  Round round;
  reserveRemainingGangTasks(round);
  const bool due = state_.placementRoundRequested || context_.now >= replanAt_;
  if (round.batches.empty() && due && context_.now >= nextPlan_ && context_.catalog) {
    state_.placementRoundRequested = false;
    takeAssignments(plan().assignments, round);
  }
  addStaleBatches(round);
  if (!round.batches.empty()) commit(round);
}

void PlacementScheduler::updateShares() {
  shares_.tick();
  if (shares_.tableChanged()) state_.requestPlacementRound();
}

// --- decisions ---------------------------------------------------------------------------------------------

placement::SchedulingInput PlacementScheduler::schedulingInput() {
  const std::size_t ops = context_.settings.stateLimits.opsPerTransaction;
  placement::SchedulingInput input{context_.settings,
                                   context_.now,
                                   context_.wallClockMs,
                                   {},
                                   {},
                                   {},
                                   4 * ops - constants::kMaxBatchesPerRound - state_.partitionCount()};
  for (const std::string& ref : state_.jobs.openJobs()) {
    jobs::Job* job = state_.jobs.find(ref);
    input.openJobs.push_back(job);
    if (job->waitingCount > 0) input.waitingJobs.push_back(job);
  }
  return input;
}

placement::PlacementPlan PlacementScheduler::plan() {
  placement::SchedulingInput input = schedulingInput();
  shares_.prepare(input, mayPreemptForShares());
  if (input.waitingJobs.empty()) {
    unplaced_.clear();
    return {};
  }
  input.machines = state_.existingMachines();
  placement::PlacementPlan plan = placement::planPlacements(input);
  shares_.onPlanned(plan);
  unplaced_ = std::move(plan.unplaced);
  // Waiting work is looked at again when something has changed, or when time alone may have changed it.
  const bool idle = plan.assignments.empty() && plan.preemptions.empty();
  nextPlan_ = context_.now + (idle ? constants::kIdleRoundInterval : constants::kMinRoundInterval);
  replanAt_ = context_.now + constants::kReplanInterval;
  preempt(plan.preemptions);
  return plan;
}

void PlacementScheduler::preempt(const std::vector<placement::Preemption>& stops) {
  for (const placement::Preemption& stop : stops) {
    Attempt* attempt = stop.machine->find(stop.task, stop.attemptNumber);
    if (attempt == nullptr) continue;
    context_.event(Level::info, "preempt", {{"task", stop.task.str()}, {"machine", stop.machine->host.text}});
    gangs_.stop(*stop.machine, *attempt, stop.gracePeriodS, constants::kUnlimitedStopTimeS, "preempted");
  }
}

bool PlacementScheduler::mayPreemptForShares() const {
  // Before a new leader has heard from the workers, all tasks look freshly started, and those that an earlier
  // leader has stopped look as if they went on.
  return state_.heardFromWorkers() && state_.holdsLeaderLease();
}

// --- batches of the round ----------------------------------------------------------------------------------

void PlacementScheduler::reserveRemainingGangTasks(Round& round) {
  if (reservingGangs_.empty()) return;
  state_.batches.recountBytes(state_.machines);
  for (auto at = reservingGangs_.begin(); at != reservingGangs_.end();) {
    bool complete = true;
    state_.forEachAttempt(*at, [&](Machine& machine, Attempt& attempt) {
      if (attempt.phase != AttemptPhase::planned || attempt.batch) return;
      if (!reserveGangTask(machine, attempt, round)) complete = false;
    });
    at = complete ? reservingGangs_.erase(at) : std::next(at);
  }
}

bool PlacementScheduler::reserveGangTask(Machine& machine, Attempt& attempt, Round& round) {
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

void PlacementScheduler::takeAssignments(const std::vector<placement::Assignment>& assignments,
                                         Round& round) {
  if (assignments.empty()) return;
  state_.batches.recountBytes(state_.machines);
  for (const placement::Assignment& assignment : assignments) {
    if (takeAssignment(assignment, round)) continue;
    state_.requestPlacementRound();  // the others go with the next round
    return;
  }
}

bool PlacementScheduler::takeAssignment(const placement::Assignment& assignment, Round& round) {
  jobs::Job& job = *assignment.job;
  Machine& machine = *assignment.machine;
  Attempt attempt;
  attempt.task = wire::TaskId{job.spec.ref, assignment.taskIndex};
  attempt.batch = state_.batches.assignBatch(machine, attempt, round.batches, constants::kMaxBatchesPerRound);
  const bool gangBegun = job.isGang() && job.gang.state == jobs::GangState::reserving;
  if (!attempt.batch && !gangBegun) return false;
  // The placements of a gang are decided at once, though they may need several transactions.
  if (!attempt.batch) reservingGangs_.insert(job.spec.ref.text);
  // Never given twice, by any leader of any term. The tasks of a gang attempt share their number.
  attempt.number = gangBegun ? job.gang.attemptNumber : cluster::fencingToken(state_.term, ++attemptCount_);
  if (job.isGang() && !gangBegun) gangs_.beginAttempt(job, attempt.number);
  setResourceFields(attempt, job.spec);
  setSchedulingFields(attempt, job);
  attempt.phaseSince = attempt.placedAt = context_.now;
  const bool inRound = attempt.batch.has_value();
  machine.attempts.push_back(std::move(attempt));
  machine.transactionInFlight = true;
  job.setTaskPhase(assignment.taskIndex, jobs::TaskPhase::placed, context_.now);
  if (!inRound) return true;
  round.hosts.insert(machine.host.text);
  round.jobs.insert(job.spec.ref.text);
  return true;
}

void PlacementScheduler::addStaleBatches(Round& round) {
  // They are written along with others, or by themselves after a while.
  if (state_.staleBatches.empty() || (round.batches.empty() && context_.now < nextCleanup_)) return;
  state_.batches.recountBytes(state_.machines);
  for (auto at = state_.staleBatches.begin();
       at != state_.staleBatches.end() && round.batches.size() < constants::kMaxBatchesPerRound;) {
    if (!round.batches.contains(*at) &&
        !state_.batches.shrinkBatch(state_.machines, *at, round.batches, constants::kMaxBatchesPerRound)) {
      ++at;  // what has moved to other batches is written first
      continue;
    }
    round.batches.insert(*at);
    at = state_.staleBatches.erase(at);
  }
}

// --- transaction -------------------------------------------------------------------------------------------

void PlacementScheduler::commit(const Round& round) {
  nextCleanup_ = context_.now + constants::kBatchCleanupInterval;
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
    for (const auto& [number, named] : batches) state_.batches.setStored(number, outcome.revision, named);
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
      machine.transactionInFlight = true;  // a gang task whose placement goes with the next transaction
      continue;
    }
    if (attempt.isGangMember) gangs.insert(attempt.task.job.text);
    // Stopped meanwhile, or on a machine that is given up: it was never started, so it is free.
    const bool wanted = !attempt.stopRequested && machine.phase == MachinePhase::up;
    if (!applied || !wanted) {
      attempts_.release(machine, attempt, "not placed");
      continue;
    }
    attempt.setPhase(AttemptPhase::recorded, context_.now);
    commands_.markDue(machine);
    if (context_.logs(Level::debug))
      context_.event(Level::debug, "placed", {{"task", attempt.task.str()}, {"machine", machine.host.text}});
  }
  AttemptTracker::eraseFreed(machine);
  if (!machine.empty()) machine.idleSince = context_.now;
}

}  // namespace reachhoist::service
