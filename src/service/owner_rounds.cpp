// Rounds of decisions: while one transaction is under way the next round's work gathers, so that batches
// widen with the load.
#include <algorithm>

#include "service/owner.hpp"

namespace reachhoist::service {

void Owner::refusedBy(const state::Outcome& outcome, const char* what) {
  for (const std::string& key : outcome.failed) {
    if (key.starts_with("jobs/")) {
      jobFeed_.confirm(context_.now, [](bool) {});
    } else {
      // Somebody else has written what only an owner writes, or we know less than we think: start over.
      context_.event(Level::error, "refused", {{"what", what}, {"key", key}});
      return resign("a record was not as known");
    }
  }
}

// --- completions -------------------------------------------------------------------------------------------

void Owner::completionRound() {
  if (completions_.busy() || dirtyJobs_.empty()) return;
  state::Transaction transaction;
  std::vector<std::pair<std::string, std::uint32_t>> chunks;
  std::vector<std::string> finals;
  const std::size_t most = context_.settings.stateTxnOps;
  std::set<cluster::Part> parts;
  for (auto at = dirtyJobs_.begin(); at != dirtyJobs_.end() && transaction.writes.size() < most;) {
    jobs::Job* job = jobs_.find(*at);
    if (job == nullptr || !job->open()) {
      at = dirtyJobs_.erase(at);
      continue;
    }
    parts.insert(cluster::partOf(*at, leadership_.parts()));
    if (job->finished()) {
      transaction.conditions.push_back({jobs::jobKey(*at), job->stamp});
      transaction.writes.push_back(
          {jobs::jobKey(*at), jobs::encodeFinal(*job, jobs::JobPhase::done), std::nullopt});
      for (const auto& [chunk, stamp] : job->doneStamps) {
        if (transaction.writes.size() < most) {
          transaction.writes.push_back({jobs::doneKey(*at, chunk), std::nullopt, std::nullopt});
        } else {
          recordDeletes_.insert(jobs::doneKey(*at, chunk));
        }
      }
      finals.push_back(*at);
      flyingFinals_.insert(*at);
      job->dirtyChunks.clear();
      at = dirtyJobs_.erase(at);
      continue;
    }
    while (!job->dirtyChunks.empty() && transaction.writes.size() < most) {
      const std::uint32_t chunk = *job->dirtyChunks.begin();
      job->dirtyChunks.erase(job->dirtyChunks.begin());
      const auto stamp = job->doneStamps.find(chunk);
      transaction.conditions.push_back(
          {jobs::doneKey(*at, chunk), stamp == job->doneStamps.end() ? 0 : stamp->second});
      transaction.writes.push_back(
          {jobs::doneKey(*at, chunk), Json{{"hex", job->doneChunk(chunk)}}, std::nullopt});
      chunks.emplace_back(*at, chunk);
      flyingChunks_.insert(chunks.back());
    }
    at = job->dirtyChunks.empty() ? dirtyJobs_.erase(at) : std::next(at);
  }
  if (transaction.writes.empty()) return;
  for (auto& condition : partConditions(parts)) transaction.conditions.push_back(std::move(condition));
  completions_.commit(
      context_.now, state::Urgency::complete, std::move(transaction),
      [this, chunks, finals](const state::Outcome& outcome) { onCompletions(chunks, finals, outcome); });
}

void Owner::onCompletions(const std::vector<std::pair<std::string, std::uint32_t>>& chunks,
                          const std::vector<std::string>& finals, const state::Outcome& outcome) {
  for (const auto& chunk : chunks) flyingChunks_.erase(chunk);
  for (const std::string& ref : finals) flyingFinals_.erase(ref);
  if (outcome.verdict == state::Verdict::refused) {
    for (const auto& [ref, chunk] : chunks) {
      jobs::Job* job = jobs_.find(ref);
      if (job == nullptr || !job->open()) continue;
      job->dirtyChunks.insert(chunk);
      dirtyJobs_.insert(ref);
    }
    for (const std::string& ref : finals) dirtyJobs_.insert(ref);
    return refusedBy(outcome, "completions");
  }
  for (const auto& [ref, chunk] : chunks) {
    if (jobs::Job* job = jobs_.find(ref); job != nullptr && job->open())
      job->doneStamps[chunk] = outcome.stamp;
  }
  for (const std::string& ref : finals) {
    jobs::Job* job = jobs_.find(ref);
    const Json record = jobs::encodeFinal(*job, jobs::JobPhase::done);
    if (jobs_.apply(ref, record, outcome.stamp) == jobs::JobTable::Change::ended) {
      context_.event(Level::info, "job_done", {{"job", ref}});
      onJobEnded(*jobs_.find(ref));
    }
  }
  for (auto& [host, machine] : machines_.all()) {
    const bool reapable = std::any_of(machine.attempts.begin(), machine.attempts.end(),
                                      [](const Attempt& a) { return a.phase == AttemptPhase::ended; });
    if (reapable) machine.ordersDue = true;
  }
}

// --- placement ---------------------------------------------------------------------------------------------

std::vector<Machine*> Owner::allMachines() {
  std::vector<Machine*> out;
  for (auto& [host, machine] : machines_.all())
    if (machine.phase != MachinePhase::gone) out.push_back(&machine);
  return out;
}

void Owner::placementRound() {
  if (!planDue_ || placements_.busy() || context_.now < nextPlan_ || !context_.catalog) return;
  planDue_ = false;
  nextPlan_ = context_.now + constants::kRoundGap;
  const std::size_t ops = context_.settings.stateTxnOps;
  placement::World world{context_.settings,
                         context_.now,
                         context_.wallMs,
                         {},
                         allMachines(),
                         ops,
                         4 * ops - ops - leadership_.parts(),
                         constants::kTasksPerRound};
  for (const std::string& ref : jobs_.open()) {
    jobs::Job* job = jobs_.find(ref);
    if (job->waiting > 0) world.jobs.push_back(job);
    if (job->waiting > 0 && job->heldUntil > context_.now) planDue_ = true;
  }
  if (world.jobs.empty()) {
    unmet_.clear();
    return;
  }
  placement::Plan plan = placement::plan(world);
  unmet_ = std::move(plan.unmet);
  for (const placement::Stop& order : plan.stops) {
    if (Attempt* attempt = order.machine->find(order.task, order.attempt)) {
      context_.event(Level::info, "preempt",
                     {{"task", order.task.str()}, {"machine", order.machine->host.text}});
      stop(*order.machine, *attempt, order.windDownS);
    }
  }
  if (plan.assignments.empty()) return;
  std::set<cluster::Part> parts;
  std::set<std::string> jobKeys;
  std::map<std::string, Machine*> touched;
  for (const placement::Assignment& assignment : plan.assignments) {
    const wire::JobSpec& spec = assignment.job->spec;
    Attempt attempt;
    attempt.task = wire::TaskId{spec.ref, assignment.index};
    // Unique for ever: no later life or leader gives the same number.
    attempt.number = cluster::baton(term_, ++attempts_);
    attempt.each = spec.each;
    attempt.crew = spec.crew;
    attempt.crate = spec.crate;
    attempt.sizeGb = spec.sizeGb;
    attempt.rank = spec.rank;
    attempt.daemon = spec.shape == wire::Shape::daemon;
    attempt.saves = spec.stowEveryS > 0;
    attempt.stowS = spec.stowS;
    attempt.since = attempt.placedAt = context_.now;
    assignment.machine->attempts.push_back(std::move(attempt));
    assignment.job->to(assignment.index, jobs::TaskPhase::placed, context_.now);
    touched[assignment.machine->host.text] = assignment.machine;
    jobKeys.insert(spec.ref.text);
  }
  state::Transaction transaction;
  std::vector<std::string> hosts;
  for (auto& [host, machine] : touched) {
    parts.insert(partOf(*machine));
    machine->recordBusy = true;
    machine->recordStale = false;
    transaction.conditions.push_back({machines::machineKey(host), machine->stamp});
    transaction.writes.push_back({machines::machineKey(host), machine->record(false), std::nullopt});
    hosts.push_back(host);
  }
  for (const std::string& ref : jobKeys)
    transaction.conditions.push_back({jobs::jobKey(ref), jobs_.find(ref)->stamp});
  for (auto& condition : partConditions(parts)) transaction.conditions.push_back(std::move(condition));
  placements_.commit(context_.now, state::Urgency::place, std::move(transaction),
                     [this, hosts](const state::Outcome& outcome) { onPlacements(hosts, outcome); });
}

void Owner::onPlacements(const std::vector<std::string>& hosts, const state::Outcome& outcome) {
  planDue_ = true;
  for (const std::string& host : hosts) {
    Machine* machine = machines_.find(host);
    if (machine == nullptr) continue;
    machine->recordBusy = false;
    if (outcome.verdict == state::Verdict::applied) machine->stamp = outcome.stamp;
    for (Attempt& attempt : machine->attempts) {
      if (attempt.phase != AttemptPhase::planned) continue;
      // Stopped while it was being written, or on a machine that is being given up: never launched, so free.
      const bool wanted = !attempt.stopWanted && machine->phase == MachinePhase::up;
      if (outcome.verdict == state::Verdict::applied && wanted) {
        attempt.to(AttemptPhase::recorded, context_.now);
        machine->ordersDue = true;
        if (context_.logs(Level::debug))
          context_.event(Level::debug, "placed", {{"task", attempt.task.str()}, {"machine", host}});
      } else {
        release(*machine, attempt, "not placed");
      }
    }
    dropFree(*machine);
    if (!machine->empty()) machine->idleSince = context_.now;
  }
  if (outcome.verdict == state::Verdict::refused) refusedBy(outcome, "placements");
  sendDirects();
}

// --- records of machines that go
// ------------------------------------------------------------------------------

void Owner::recordRound() {
  if (records_.busy()) return;
  state::Transaction transaction;
  std::vector<std::string> hosts;
  std::vector<std::string> deletes;
  std::set<cluster::Part> parts;
  const std::size_t most = context_.settings.stateTxnOps;
  for (auto& [host, machine] : machines_.all()) {
    if (transaction.writes.size() >= most) break;
    if (machine.phase != MachinePhase::retiring || machine.recordBusy) continue;
    machine.recordBusy = true;
    parts.insert(partOf(machine));
    transaction.conditions.push_back({machines::machineKey(host), machine.stamp});
    transaction.writes.push_back({machines::machineKey(host), machine.record(true), std::nullopt});
    hosts.push_back(host);
  }
  for (const std::string& key : recordDeletes_) {
    if (transaction.writes.size() >= most) break;
    transaction.writes.push_back({key, std::nullopt, std::nullopt});
    deletes.push_back(key);
  }
  if (transaction.writes.empty()) return;
  if (parts.empty()) parts.insert(0);
  for (auto& condition : partConditions(parts)) transaction.conditions.push_back(std::move(condition));
  records_.commit(context_.now, state::Urgency::rest, std::move(transaction),
                  [this, hosts, deletes](const state::Outcome& outcome) {
                    for (const std::string& host : hosts) {
                      Machine* machine = machines_.find(host);
                      if (machine == nullptr) continue;
                      machine->recordBusy = false;
                      if (outcome.verdict != state::Verdict::applied) continue;
                      machine->stamp = outcome.stamp;
                      machine->to(MachinePhase::returning, context_.now);
                      cloud_->giveBack(context_.now, host);
                    }
                    if (outcome.verdict == state::Verdict::refused) return refusedBy(outcome, "records");
                    for (const std::string& key : deletes) recordDeletes_.erase(key);
                  });
}

}  // namespace reachhoist::service
