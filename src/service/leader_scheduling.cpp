// Rounds of decisions: while one transaction is under way the next round's work gathers, so that batches
// widen with the load.
#include <algorithm>

#include "service/leader.hpp"

namespace reachhoist::service {

void Leader::onTransactionRefused(const state::Outcome& outcome, const char* what) {
  for (const std::string& key : outcome.failed) {
    if (key.starts_with("jobs/")) {
      jobFeed_.confirm(context_.now, [](bool) {});
    } else if (jobs::endedDoneKey(jobs_, key)) {
      // Its job became final while this waited for its turn, and its records of progress have been deleted.
    } else {
      // Somebody else has written what only a leader writes, or we know less than we think: start over.
      context_.event(Level::error, "refused", {{"what", what}, {"key", key}});
      return resign("a record was not as known");
    }
  }
}

void Leader::scheduleForgetCommands() {
  for (auto& [host, machine] : machines_.all()) {
    const bool forgettable = std::any_of(machine.attempts.begin(), machine.attempts.end(),
                                         [](const Attempt& a) { return a.phase == AttemptPhase::ended; });
    // The next report's answer carries it: nobody waits for a forget command.
    if (forgettable && machine.attempts.size() > constants::kMaxEndedAttemptsListed)
      commands_.markDue(machine);
  }
}

// --- placement ---------------------------------------------------------------------------------------------

std::vector<Machine*> Leader::allMachines() {
  std::vector<Machine*> out;
  for (auto& [host, machine] : machines_.all())
    if (machine.phase != MachinePhase::terminated) out.push_back(&machine);
  return out;
}

placement::Plan Leader::planRound() {
  const std::size_t ops = context_.settings.state.opsPerTransaction;
  placement::World world{context_.settings,
                         context_.now,
                         context_.wallMs,
                         {},
                         {},
                         {},
                         4 * ops - constants::kMaxBatchesPerRound - partitionRevisions_.size()};
  for (const std::string& ref : jobs_.open()) {
    jobs::Job* job = jobs_.find(ref);
    world.open.push_back(job);
    if (job->waiting > 0) world.jobs.push_back(job);
  }
  shares_.prepare(world, mayPreemptForShares());
  if (world.jobs.empty()) {
    unplaced_.clear();
    return {};
  }
  world.machines = allMachines();
  placement::Plan plan = placement::plan(world);
  shares_.planned(plan);
  unplaced_ = std::move(plan.unplaced);
  // What waits is looked at again when something has changed, or when time alone may have changed it.
  nextPlan_ = context_.now + (plan.assignments.empty() && plan.stops.empty() ? constants::kIdleRoundInterval
                                                                             : constants::kMinRoundInterval);
  replanAt_ = context_.now + constants::kReplanInterval;
  for (const placement::Stop& command : plan.stops) {
    if (Attempt* attempt = command.machine->find(command.task, command.attempt)) {
      context_.event(Level::info, "preempt",
                     {{"task", command.task.str()}, {"machine", command.machine->host.text}});
      if (attempt->gang) {
        stopGang(attempt->task.job.text, constants::kUnlimitedStopTimeS, "preempted");
      } else {
        commands_.stop(*command.machine, *attempt, command.graceS);
      }
    }
  }
  return plan;
}

bool Leader::mayPreemptForShares() const {
  // A new leader first hears what runs: until then all tasks look freshly started, and those that an earlier
  // leader has stopped look as if they went on.
  const auto settle = wire::seconds(context_.settings.workers.heartbeatIntervalS * 1.5 + 1);
  return context_.now - actingSince_ >= settle && holdsLeaderLease();
}

std::set<std::string> Leader::takeAssignments(const placement::Plan& plan, std::set<std::uint32_t>& pages,
                                              std::set<std::string>& jobs) {
  std::set<std::string> hosts;
  if (plan.assignments.empty()) return hosts;
  batches_.recountBytes(machines_);
  for (const placement::Assignment& assignment : plan.assignments) {
    const wire::JobSpec& spec = assignment.job->spec;
    Attempt attempt;
    attempt.task = wire::TaskId{spec.ref, assignment.index};
    attempt.batch = batches_.place(*assignment.machine, attempt, pages, constants::kMaxBatchesPerRound);
    jobs::Gang& gang = assignment.job->gang;
    attempt.gang = assignment.job->isGang();
    const bool begun = attempt.gang && gang.phase == jobs::GangState::reserving;
    if (!attempt.batch && !begun) {
      planDue_ = true;  // the rest goes with the next round
      break;
    }
    // A gang's places are taken in one decision, though they may need several transactions.
    if (!attempt.batch) reserving_.insert(spec.ref.text);
    // Unique for ever: no later life or leader gives the same number. A gang's tasks share theirs.
    attempt.number = begun ? gang.number : cluster::token(term_, ++attempts_);
    if (attempt.gang && !begun) {
      gang.number = attempt.number;
      gang.partialScaleOuts = 0;
      setGangState(*assignment.job, jobs::GangState::reserving, "room for all");
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

void Leader::placementRound() {
  if (placements_.busy()) return;
  std::set<std::uint32_t> pages;
  std::set<std::string> jobs;
  std::set<std::string> hosts;
  reserveRemainingGangTasks(pages, jobs, hosts);
  if (pages.empty() && (planDue_ || context_.now >= replanAt_) && context_.now >= nextPlan_ &&
      context_.catalog) {
    planDue_ = false;
    hosts = takeAssignments(planRound(), pages, jobs);
  }
  // Pages that name machines which are gone are written anew along with others, or by themselves in the end.
  if (!staleBatches_.empty() && (!pages.empty() || context_.now >= nextClean_)) {
    batches_.recountBytes(machines_);
    for (auto at = staleBatches_.begin();
         at != staleBatches_.end() && pages.size() < constants::kMaxBatchesPerRound;) {
      if (!pages.contains(*at) && !batches_.shrink(machines_, *at, pages, constants::kMaxBatchesPerRound)) {
        ++at;  // what has moved off it is written first
        continue;
      }
      pages.insert(*at);
      at = staleBatches_.erase(at);
    }
  }
  if (pages.empty()) return;
  nextClean_ = context_.now + constants::kBatchCleanupInterval;
  state::Transaction transaction;
  BatchHosts names;
  for (auto& [number, value] : batches_.encode(machines_, pages)) {
    for (const auto& [host, entry] : value["hosts"].items()) names[number].insert(host);
    names.try_emplace(number);
    transaction.conditions.push_back({machines::placementBatchKey(number), batches_.revision(number)});
    transaction.writes.push_back({machines::placementBatchKey(number), std::move(value), std::nullopt});
  }
  for (const std::string& ref : jobs)
    transaction.conditions.push_back({jobs::jobKey(ref), jobs_.find(ref)->revision});
  for (auto& condition : partitionConditions()) transaction.conditions.push_back(std::move(condition));
  placements_.commit(
      context_.now, state::Urgency::place, std::move(transaction),
      [this, hosts, names](const state::Outcome& outcome) { onPlacements(hosts, names, outcome); });
}

void Leader::onPlacements(const std::set<std::string>& hosts, const BatchHosts& pages,
                          const state::Outcome& outcome) {
  planDue_ = true;
  const bool applied = outcome.verdict == state::Verdict::applied;
  if (applied)
    for (const auto& [page, named] : pages) batches_.written(page, outcome.revision, named);
  std::set<std::string> gangs;
  for (const std::string& host : hosts) {
    Machine* machine = machines_.find(host);
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
        release(*machine, attempt, "not placed");
      }
    }
    eraseFreedAttempts(*machine);
    if (!machine->empty()) machine->idleSince = context_.now;
  }
  for (const std::string& ref : gangs)
    if (jobs::Job* job = jobs_.find(ref); job != nullptr && job->open()) onGangRecorded(*job);
  if (!applied) onTransactionRefused(outcome, "placements");
}

// --- machines that go --------------------------------------------------------------------------------------

// A lane of its own, as urgent as placements: until its return a machine is paid for, and what it held waits.
void Leader::writeDecommissioning() {
  if (decommissioning_.busy()) return;
  std::vector<std::string> retiring;
  // One key names every machine that is being returned; those that are gone leave it with its next writing.
  Json names = Json::array();
  std::size_t bytes = 0;
  const auto fits = [&](const std::string& host) {
    bytes += host.size() + 3;
    return bytes < maxValueBytes_;
  };
  for (const auto& [host, machine] : machines_.all())
    if (machine.phase == MachinePhase::terminating && fits(host)) names.push_back(host);
  for (auto& [host, machine] : machines_.all()) {
    if (machine.phase != MachinePhase::decommissioning || machine.recordBusy || !fits(host)) continue;
    machine.recordBusy = true;
    names.push_back(host);
    retiring.push_back(host);
  }
  if (retiring.empty()) return;
  state::Transaction transaction;
  transaction.conditions = partitionConditions();
  transaction.conditions.push_back({kDecommissioningKey, decommissioningRevision_});
  transaction.writes.push_back({kDecommissioningKey, Json{{"hosts", std::move(names)}}, std::nullopt});
  decommissioning_.commit(context_.now, state::Urgency::place, std::move(transaction),
                          [this, retiring](const state::Outcome& outcome) {
                            const bool applied = outcome.verdict == state::Verdict::applied;
                            if (applied) decommissioningRevision_ = outcome.revision;
                            for (const std::string& host : retiring) {
                              Machine* machine = machines_.find(host);
                              if (machine == nullptr) continue;
                              machine->recordBusy = false;
                              if (!applied) continue;
                              machine->to(MachinePhase::terminating, context_.now);
                              cloud_->release(context_.now, host);
                            }
                            if (!applied) onTransactionRefused(outcome, "retiring");
                          });
}

}  // namespace reachhoist::service
