// Rounds of decisions: while one transaction is under way the next round's work gathers, so that batches
// widen with the load.
#include <algorithm>

#include "service/leader.hpp"

namespace reachhoist::service {

// --- placement ---------------------------------------------------------------------------------------------

placement::Plan Leader::planRound() {
  const std::size_t ops = context_.settings.stateTxnOps;
  placement::World world{context_.settings,
                         context_.now,
                         context_.wallMs,
                         {},
                         {},
                         {},
                         4 * ops - constants::kBatchesPerRound - state_.partitionCount()};
  for (const std::string& ref : state_.jobs.open()) {
    jobs::Job* job = state_.jobs.find(ref);
    world.open.push_back(job);
    if (job->waiting > 0) world.jobs.push_back(job);
  }
  shares_.prepare(world, mayPreemptForShares());
  if (world.jobs.empty()) {
    unplaced_.clear();
    return {};
  }
  world.machines = state_.existingMachines();
  placement::Plan plan = placement::plan(world);
  shares_.planned(plan);
  unplaced_ = std::move(plan.unplaced);
  // What waits is looked at again when something has changed, or when time alone may have changed it.
  nextPlan_ = context_.now + (plan.assignments.empty() && plan.stops.empty() ? constants::kIdleRoundGap
                                                                             : constants::kRoundGap);
  replanAt_ = context_.now + constants::kReplanEvery;
  for (const placement::Stop& command : plan.stops) {
    if (Attempt* attempt = command.machine->find(command.task, command.attempt)) {
      context_.event(Level::info, "preempt",
                     {{"task", command.task.str()}, {"machine", command.machine->host.text}});
      gangs_.stop(*command.machine, *attempt, command.graceS, constants::kNoHurryS, "preempted");
    }
  }
  return plan;
}

bool Leader::mayPreemptForShares() const {
  // A new leader first hears what runs: until then all tasks look freshly started, and those that an earlier
  // leader has stopped look as if they went on.
  const auto settle = wire::seconds(context_.settings.heartbeatIntervalS * 1.5 + 1);
  return context_.now - state_.actingSince >= settle && state_.holdsLeaderLease();
}

std::set<std::string> Leader::takeAssignments(const placement::Plan& plan, std::set<std::uint32_t>& pages,
                                              std::set<std::string>& jobs) {
  std::set<std::string> hosts;
  if (plan.assignments.empty()) return hosts;
  state_.batches.recountBytes(state_.machines);
  for (const placement::Assignment& assignment : plan.assignments) {
    const wire::JobSpec& spec = assignment.job->spec;
    Attempt attempt;
    attempt.task = wire::TaskId{spec.ref, assignment.index};
    attempt.batch = state_.batches.place(*assignment.machine, attempt, pages, constants::kBatchesPerRound);
    jobs::Gang& gang = assignment.job->gang;
    attempt.gang = assignment.job->isGang();
    const bool begun = attempt.gang && gang.phase == jobs::GangState::reserving;
    if (!attempt.batch && !begun) {
      state_.requestPlacementRound();  // the rest goes with the next round
      break;
    }
    // A gang's places are taken in one decision, though they may need several transactions.
    if (!attempt.batch) reserving_.insert(spec.ref.text);
    // Unique for ever: no later life or leader gives the same number. A gang's tasks share theirs.
    attempt.number = begun ? gang.number : cluster::token(state_.term, ++attemptCount_);
    if (attempt.gang && !begun) {
      gangs_.beginAttempt(*assignment.job, attempt.number);
    }
    attempt.each = spec.each;
    attempt.team = spec.team;
    attempt.image = spec.image;
    attempt.sizeGb = spec.sizeGb;
    attempt.priority = spec.priority;
    attempt.isService = spec.kind == wire::JobKind::service;
    attempt.saves = spec.checkpointEveryS > 0;
    attempt.checkpointS = spec.checkpointS;
    attempt.since = attempt.placedAt = context_.now;
    assignment.machine->attempts.push_back(std::move(attempt));
    assignment.machine->recordBusy = true;
    assignment.job->to(assignment.index, jobs::TaskPhase::placed, context_.now);
    if (!assignment.machine->attempts.back().batch) continue;
    hosts.insert(assignment.machine->host.text);
    jobs.insert(spec.ref.text);
  }
  return hosts;
}

// Places that found no page in the round of their decision.
void Leader::reserveRemainingGangTasks(std::set<std::uint32_t>& pages, std::set<std::string>& jobs,
                                       std::set<std::string>& hosts) {
  if (reserving_.empty()) return;
  state_.batches.recountBytes(state_.machines);
  for (auto at = reserving_.begin(); at != reserving_.end();) {
    const std::string ref = *at;
    bool more = false;
    state_.forEachAttempt(ref, [&](Machine& machine, Attempt& attempt) {
      if (attempt.phase != AttemptPhase::planned || attempt.batch) return;
      if (attempt.stopWanted || machine.phase != MachinePhase::up) {
        attempts_.release(machine, attempt, "not placed");
        machine.recordBusy =
            std::any_of(machine.attempts.begin(), machine.attempts.end(),
                        [](const Attempt& other) { return other.phase == AttemptPhase::planned; });
        return;
      }
      attempt.batch = state_.batches.place(machine, attempt, pages, constants::kBatchesPerRound);
      if (!attempt.batch) {
        more = true;
        return;
      }
      machine.recordBusy = true;
      hosts.insert(machine.host.text);
      jobs.insert(ref);
    });
    at = more ? std::next(at) : reserving_.erase(at);
  }
}

void Leader::placementRound() {
  if (placements_.busy()) return;
  std::set<std::uint32_t> pages;
  std::set<std::string> jobs;
  std::set<std::string> hosts;
  reserveRemainingGangTasks(pages, jobs, hosts);
  if (pages.empty() && (state_.placementRoundRequested || context_.now >= replanAt_) &&
      context_.now >= nextPlan_ && context_.catalog) {
    state_.placementRoundRequested = false;
    hosts = takeAssignments(planRound(), pages, jobs);
  }
  // Pages that name machines which are gone are written anew along with others, or by themselves in the end.
  if (!state_.staleBatches.empty() && (!pages.empty() || context_.now >= nextClean_)) {
    state_.batches.recountBytes(state_.machines);
    for (auto at = state_.staleBatches.begin();
         at != state_.staleBatches.end() && pages.size() < constants::kBatchesPerRound;) {
      if (!pages.contains(*at) &&
          !state_.batches.shrink(state_.machines, *at, pages, constants::kBatchesPerRound)) {
        ++at;  // what has moved off it is written first
        continue;
      }
      pages.insert(*at);
      at = state_.staleBatches.erase(at);
    }
  }
  if (pages.empty()) return;
  nextClean_ = context_.now + constants::kCleanEvery;
  state::Transaction transaction;
  BatchHosts names;
  for (auto& [number, value] : state_.batches.encode(state_.machines, pages)) {
    for (const auto& [host, entry] : value["hosts"].items()) names[number].insert(host);
    names.try_emplace(number);
    transaction.conditions.push_back({machines::placementBatchKey(number), state_.batches.revision(number)});
    transaction.writes.push_back({machines::placementBatchKey(number), std::move(value), std::nullopt});
  }
  for (const std::string& ref : jobs)
    transaction.conditions.push_back({jobs::jobKey(ref), state_.jobs.find(ref)->revision});
  for (auto& condition : state_.partitionConditions()) transaction.conditions.push_back(std::move(condition));
  placements_.commit(
      context_.now, state::Urgency::place, std::move(transaction),
      [this, hosts, names](const state::Outcome& outcome) { onPlacements(hosts, names, outcome); });
}

void Leader::onPlacements(const std::set<std::string>& hosts, const BatchHosts& pages,
                          const state::Outcome& outcome) {
  state_.requestPlacementRound();
  const bool applied = outcome.verdict == state::Verdict::applied;
  if (applied)
    for (const auto& [page, named] : pages) state_.batches.written(page, outcome.revision, named);
  std::set<std::string> gangs;
  for (const std::string& host : hosts) {
    Machine* machine = state_.machines.find(host);
    if (machine == nullptr) continue;
    machine->recordBusy = false;
    for (Attempt& attempt : machine->attempts) {
      if (attempt.phase != AttemptPhase::planned) continue;
      if (!attempt.batch || !pages.contains(*attempt.batch)) {
        machine->recordBusy = true;  // a place of a gang whose turn is the next transaction
        continue;
      }
      if (attempt.gang) gangs.insert(attempt.task.job.text);
      // Stopped while it was being written, or on a machine that is being given up: never started, so free.
      const bool wanted = !attempt.stopWanted && machine->phase == MachinePhase::up;
      if (applied && wanted) {
        attempt.to(AttemptPhase::recorded, context_.now);
        commands_.markDue(*machine);
        if (context_.logs(Level::debug))
          context_.event(Level::debug, "placed", {{"task", attempt.task.str()}, {"machine", host}});
      } else {
        attempts_.release(*machine, attempt, "not placed");
      }
    }
    AttemptTracker::eraseFreed(*machine);
    if (!machine->empty()) machine->idleSince = context_.now;
  }
  for (const std::string& ref : gangs)
    if (jobs::Job* job = state_.jobs.find(ref); job != nullptr && job->open()) gangs_.onTasksRecorded(*job);
  if (!applied) state_.onTransactionRefused(outcome, "placements");
}

}  // namespace reachhoist::service
