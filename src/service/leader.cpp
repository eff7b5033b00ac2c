#include "service/leader.hpp"

#include <algorithm>
#include <charconv>

namespace reachhoist::service {

namespace {
constexpr const char* kBatchPrefix = "placed/";
constexpr const char* kDonePrefix = "done/";
constexpr const char* kSizingStateKey = "fleet/learned";

std::size_t maxValueBytes(const config::Settings& settings) {
  return static_cast<std::size_t>(settings.state.valueKb * 1024 * constants::kMaxBatchFill);
}
}  // namespace

Leader::Leader(Context& context, cluster::Leadership& leadership, state::Feed& jobFeed, jobs::JobTable& jobs,
               std::uint64_t term, std::vector<std::uint64_t> partitionRevisions)
    : context_(context),
      leadership_(leadership),
      jobFeed_(jobFeed),
      jobs_(jobs),
      term_(term),
      partitionRevisions_(std::move(partitionRevisions)),
      electedAt_(context.now),
      batches_(std::min<std::size_t>(constants::kTargetBatchBytes, maxValueBytes(context.settings))),
      maxValueBytes_(maxValueBytes(context.settings)),
      commands_(context, machines_, term,
                {[this] { return mayRenewLeases(); }, [this] { return holdsLeaderLease(); },
                 [this](const Attempt& attempt) { return gangMayStart(attempt); },
                 [this](const wire::TaskId& task) { return records_.isDurable(task); },
                 [this](Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
                   applyHeartbeat(machine, heartbeat, Source::direct);
                 },
                 [this] { planDue_ = true; }}),
      records_(
          context, jobs, context.settings.label + "-" + std::to_string(term),
          {[this] { return partitionConditions(); },
           [this](const state::Outcome& outcome, const char* what) { onTransactionRefused(outcome, what); },
           [this](jobs::Job& job) { onJobEnded(job); }, [this] { scheduleForgetCommands(); }}),
      placements_(context.state, context.settings.label + "-" + std::to_string(term) + "-p"),
      decommissioning_(context.state, context.settings.label + "-" + std::to_string(term) + "-r"),
      partitionDetector_(context.settings),
      shares_(context),
      cloud_(std::make_unique<cloud::Client>(
          context.calls, context.settings, context.settings.label + "-" + std::to_string(term),
          cloud::Client::Handlers{
              [this](const auto& pool, const auto& hosts, std::size_t refused) {
                onInstancesProvisioned(pool, hosts, refused);
              },
              [this](const auto& hosts) { onInstancesReleased(hosts); },
              [this](const auto& hosts) { onInstancesListed(hosts); },
              [this](std::vector<wire::MachineType> catalog) { context_.catalog = std::move(catalog); }})),
      sizing_(context.settings, term) {
  load();
}

void Leader::to(State next) { state_ = next; }

void Leader::resign(const char* why) {
  if (resigned_) return;
  resigned_ = true;
  leadership_.resign(why);
}

// While this process stood still another may have been elected: it asks before it acts again.
bool Leader::confirmedSinceResume() const {
  return std::min(leadership_.confirmedAt(), jobFeed_.confirmedAt()) >= context_.resumedAt;
}

bool Leader::mayRenewLeases() const {
  // Ownership alone is not enough: the read that confirms must also have brought in every cancellation.
  const Time confirmed = std::min(leadership_.confirmedAt(), jobFeed_.confirmedAt());
  return confirmedSinceResume() && context_.now - confirmed < context_.settings.answerWindow();
}

bool Leader::holdsLeaderLease() const {
  const Time confirmed = std::min(leadership_.confirmedAt(), jobFeed_.confirmedAt());
  return confirmedSinceResume() && context_.now - confirmed < constants::kLeaderLeaseTtl;
}

void Leader::resumed(wire::Duration away) {
  // Nothing was heard because nobody listened. What an earlier answer renewed goes on running out, though.
  for (auto& [host, machine] : machines_.all()) {
    machine.lastHeartbeatAt += away;
    machine.lastDirectContactAt += away;
    if (machine.unacknowledgedSince != Time{}) machine.unacknowledgedSince += away;
  }
  partitionDetector_.reset();
}

std::vector<state::Condition> Leader::partitionConditions() const {
  std::vector<state::Condition> out;
  for (cluster::PartitionId part = 0; part < partitionRevisions_.size(); ++part)
    out.push_back({cluster::partitionKey(part), partitionRevisions_[part]});
  return out;
}

// --- loading ---------------------------------------------------------------------------------------------

void Leader::load() {
  loadsLeft_ = {kBatchPrefix, kDonePrefix, kDecommissioningKey, "jobs"};
  loadRetryAt_ = context_.now;
}

void Leader::loadPage(const std::string& prefix, const std::string& after) {
  ++loadsOut_;
  context_.state.list(context_.now, state::Urgency::lease, prefix, after,
                      [this, prefix, alive = std::weak_ptr<int>(alive_)](const wire::CallResult& result) {
                        if (!alive.lock()) return;
                        --loadsOut_;
                        const Json* pairs = wire::field(result.body, "pairs");
                        if (!result.ok() || pairs == nullptr || !pairs->is_array()) {
                          loadRetryAt_ = context_.now + constants::kStateBackoff;
                          return;
                        }
                        std::string last;
                        for (const Json& pair : *pairs) {
                          const auto key = wire::textField(pair, "key");
                          const Json* value = wire::field(pair, "value");
                          if (!key || value == nullptr) continue;
                          last = *key;
                          const std::uint64_t revision = wire::countField(pair, "stamp").value_or(0);
                          const std::string rest = key->substr(prefix.size());
                          if (prefix == kBatchPrefix) {
                            adoptBatch(rest, *value, revision);
                          } else if (prefix == kDecommissioningKey) {
                            adoptDecommissioning(*value, revision);
                          } else {
                            adoptDone(rest, *value, revision);
                          }
                        }
                        if (wire::flagField(result.body, "more").value_or(false) && !last.empty())
                          return loadPage(prefix, last);
                        loadsLeft_.erase(prefix);
                      });
}

void Leader::adoptDone(const std::string& rest, const Json& value, std::uint64_t revision) {
  const auto slash = rest.find('/');
  std::uint32_t chunk = 0;
  const auto hex = wire::textField(value, "hex");
  if (slash == std::string::npos || !hex ||
      std::from_chars(rest.data() + slash + 1, rest.data() + rest.size(), chunk).ec != std::errc{}) {
    context_.event(Level::error, "bad_record", {{"key", kDonePrefix + rest}});
    return;
  }
  doneRecords_.push_back(DoneRecord{rest.substr(0, slash), chunk, *hex, revision});
}

void Leader::adoptDecommissioning(const Json& value, std::uint64_t revision) {
  decommissioningRevision_ = revision;
  const Json* hosts = wire::field(value, "hosts");
  if (hosts == nullptr || !hosts->is_array()) {
    context_.event(Level::error, "bad_record", {{"key", kDecommissioningKey}});
    return;
  }
  for (const Json& host : *hosts)
    if (host.is_string()) loadedDecommissioning_.push_back(host.get<std::string>());
}

void Leader::adoptBatch(const std::string& number, const Json& value, std::uint64_t revision) {
  std::uint32_t page = 0;
  const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), page);
  if (error != std::errc{} || end != number.data() + number.size()) {
    context_.event(Level::error, "bad_record", {{"page", number}});
    return;
  }
  const auto hosts = machines::decodePlacementBatch(value);
  std::set<std::string> names;
  if (hosts)
    for (const machines::BatchedHost& record : *hosts) names.insert(record.host);
  // Even a page that can't be read has a stamp, and its next writing depends on it.
  batches_.loaded(page, revision, std::move(names));
  if (!hosts) {
    context_.event(Level::error, "bad_record", {{"page", number}});
    return;
  }
  for (const machines::BatchedHost& record : *hosts) {
    Machine& machine = machines_.add(record.host);
    machine.machineType = record.machineType;
    machine.zone = record.zone;
    machine.spot = record.spot;
    machine.phase = MachinePhase::up;
    machine.provisionedAt = machine.lastHeartbeatAt = machine.lastDirectContactAt = machine.upSince =
        machine.idleSince = context_.now;
    // Until this moment plus its window an earlier leader may have renewed the worker's lease.
    machine.leaseRenewedAt = electedAt_ + context_.settings.answerWindow();
    for (const auto& [task, attemptNumber] : record.placed) {
      // On its way from a page that has become too large to another it stands on both.
      if (machine.find(task, attemptNumber) != nullptr) continue;
      Attempt attempt;
      attempt.task = task;
      attempt.number = attemptNumber;
      attempt.phase = AttemptPhase::recorded;
      attempt.inherited = true;
      attempt.batch = page;
      attempt.since = attempt.placedAt = context_.now;
      machine.attempts.push_back(std::move(attempt));
    }
  }
}

void Leader::loaded() {
  for (const std::string& ref : jobs_.open()) jobs_.find(ref)->beginTracking(context_.now);
  for (const DoneRecord& record : doneRecords_) {
    jobs::Job* job = jobs_.find(record.ref);
    if (job == nullptr || !job->open()) {
      records_.deleteLater(jobs::doneKey(record.ref, record.chunk));
    } else if (!job->loadDoneChunk(record.chunk, record.hex, record.revision, context_.now)) {
      context_.event(Level::error, "bad_record", {{"key", jobs::doneKey(record.ref, record.chunk)}});
    }
  }
  doneRecords_.clear();
  for (const std::string& ref : jobs_.open())
    if (jobs_.find(ref)->finished()) records_.finished(ref);
  for (const std::string& host : loadedDecommissioning_) {
    Machine& machine = machines_.add(host);
    machine.phase = MachinePhase::terminating;
    machine.leaseRenewedAt = electedAt_ + context_.settings.answerWindow();
  }
  loadedDecommissioning_.clear();
  for (auto& [host, machine] : machines_.all()) {
    describe(machine);
    for (Attempt& attempt : machine.attempts) {
      jobs::Job* job = jobs_.find(attempt.task.job.text);
      if (job != nullptr) {
        // Also when it has ended since: what is still on a machine counts for its team until proven gone.
        attempt.each = job->spec.each;
        attempt.team = job->spec.team;
      }
      if (job == nullptr || !job->open() || attempt.task.index >= job->spec.taskCount) {
        attempt.stopWanted = true;
        continue;
      }
      attempt.image = job->spec.image;
      attempt.sizeGb = job->spec.sizeGb;
      attempt.priority = job->spec.priority;
      attempt.isService = job->spec.kind == wire::JobKind::service;
      attempt.gang = job->isGang();
      attempt.saves = job->spec.checkpointEveryS > 0;
      attempt.checkpointS = job->spec.checkpointS;
      if (job->tasks[attempt.task.index] == jobs::TaskPhase::waiting)
        job->to(attempt.task.index, jobs::TaskPhase::placed, context_.now);
    }
    if (machine.phase == MachinePhase::terminating) cloud_->release(context_.now, host);
  }
  adoptGangAttempts();
  to(State::acting);
  actingSince_ = context_.now;
  nextSizingSave_ = context_.now + constants::kSizingStateSaveInterval;
  loadSizingState();
  context_.event(
      Level::info, "acting",
      {{"term", term_},
       {"machines", machines_.all().size()},
       {"open_jobs", jobs_.open().size()},
       {"load_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(context_.now - electedAt_).count()}});
}

void Leader::loadSizingState() {
  // Nobody waits for it: sizing follows the queues until it is there.
  context_.state.get(context_.now, state::Urgency::complete, kSizingStateKey,
                     [this, alive = std::weak_ptr<int>(alive_)](const wire::CallResult& result) {
                       if (!alive.lock() || !result.ok()) return;
                       const Json* value = wire::field(result.body, "value");
                       if (value == nullptr || !sizing_.decode(*value))
                         context_.event(Level::error, "bad_record", {{"key", kSizingStateKey}});
                     });
}

void Leader::saveSizingState() {
  if (context_.now < nextSizingSave_) return;
  nextSizingSave_ = context_.now + constants::kSizingStateSaveInterval;
  state::Transaction transaction;
  transaction.conditions = partitionConditions();
  transaction.writes.push_back({kSizingStateKey, sizing_.encode(maxValueBytes_), std::nullopt});
  context_.state.multi(context_.now, state::Urgency::rest, transaction, [](const auto&) {});
}

// --- life ------------------------------------------------------------------------------------------------

void Leader::tick() {
  if (resigned_) return;
  if (state_ == State::loading) {
    if (loadsLeft_.empty()) {
      loaded();
    } else if (loadsOut_ == 0 && context_.now >= loadRetryAt_) {
      loadRetryAt_ = context_.now + constants::kStateLoadTimeout;
      const auto left = loadsLeft_;
      for (const std::string& prefix : left) {
        if (prefix == "jobs") {
          ++loadsOut_;
          jobFeed_.confirm(context_.now, [this, alive = std::weak_ptr<int>(alive_)](bool ok) {
            if (!alive.lock()) return;
            --loadsOut_;
            if (ok) {
              loadsLeft_.erase("jobs");
            } else {
              loadRetryAt_ = context_.now + constants::kStateBackoff;
            }
          });
        } else {
          if (prefix == kBatchPrefix) {
            machines_.clear();
            batches_.clear();
          }
          if (prefix == kDonePrefix) doneRecords_.clear();
          if (prefix == kDecommissioningKey) loadedDecommissioning_.clear();
          loadPage(prefix, "");
        }
      }
    }
    return;
  }
  cloud_->tick(context_.now);
  detectFailures();
  advanceDecommissioning();
  advance();
  if (resigned_) return;
  writeDecommissioning();
  records_.clean();
  autoscale();
  saveSizingState();
  shares_.tick(machines_, jobs_, holdsLeaderLease(), [this] { return partitionConditions(); });
  if (shares_.tableChanged()) planDue_ = true;
}

void Leader::advance() {
  if (resigned_ || state_ != State::acting) return;
  records_.tick();
  placements_.tick(context_.now);
  decommissioning_.tick(context_.now);
  records_.write();
  placementRound();
  if (!resigned_) commands_.sendDirectCommands();
}

void Leader::onJobAccepted(jobs::Job& job) {
  if (state_ != State::acting) return;
  job.beginTracking(context_.now);
  planDue_ = true;
}

void Leader::onJobEnded(jobs::Job& job) {
  if (state_ != State::acting) return;
  const std::string ref = job.spec.ref.text;
  job.endTracking();
  records_.forget(ref);
  shown_.erase(ref);
  for (auto& [host, machine] : machines_.all()) {
    for (Attempt& attempt : machine.attempts)
      if (attempt.task.job.text == ref) commands_.stop(machine, attempt, 0);
    eraseFreedAttempts(machine);
  }
  planDue_ = true;
}

peer::Progress Leader::progress(bool all) {
  peer::Progress out;
  out.term = term_;
  if (state_ != State::acting) return out;
  for (const std::string& ref : jobs_.open()) {
    const jobs::Job& job = *jobs_.find(ref);
    const std::pair counts{job.completed, job.running};
    auto& shown = shown_[ref];
    if (!all && shown == counts) continue;
    shown = counts;
    if (counts != std::pair<std::uint32_t, std::uint32_t>{0, 0} || !all)
      out.jobs.push_back(peer::JobProgress{ref, job.completed, job.running});
  }
  return out;
}

}  // namespace reachhoist::service
