#include "service/leader.hpp"

#include <algorithm>
#include <charconv>

namespace reachhoist::service {

namespace {
constexpr const char* kBatchPrefix = "placed/";
constexpr const char* kDonePrefix = "done/";
constexpr const char* kSizingStateKey = "fleet/learned";
}  // namespace

Leader::Leader(Context& context, cluster::Leadership& leadership, state::Feed& jobFeed, jobs::JobTable& jobs,
               std::uint64_t term, std::vector<std::uint64_t> partitionRevisions)
    : context_(context),
      state_(context, leadership, jobFeed, jobs, term, std::move(partitionRevisions)),
      commands_(context, state_.machines, term,
                {[this] { return state_.mayRenewLeases(); }, [this] { return state_.holdsLeaderLease(); },
                 [this](const Attempt& attempt) { return gangs_.mayStart(attempt); },
                 [this](const wire::TaskId& task) { return records_.isDurable(task); },
                 [this](Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
                   heartbeats_.apply(machine, heartbeat, Source::direct);
                 },
                 [this] { state_.requestPlacementRound(); }}),
      records_(context, jobs, state_.uniquePrefix(),
               {[this] { return state_.partitionConditions(); },
                [this](const state::Outcome& outcome, const char* what) {
                  state_.onTransactionRefused(outcome, what);
                },
                [this](jobs::Job& job) { onJobEnded(job); }, [this] { commands_.scheduleForgets(); }}),
      gangs_(state_, commands_, records_),
      cloud_(context.calls, context.settings, state_.uniquePrefix(),
             {[this](const auto& pool, const auto& hosts, std::size_t refused) {
                onInstancesProvisioned(pool, hosts, refused);
              },
              [this](const auto& hosts) { inventory_.onReleased(hosts); },
              [this](const auto& hosts) { inventory_.onListed(hosts); },
              [this](std::vector<wire::MachineType> catalog) { context_.catalog = std::move(catalog); }}),
      lifecycle_(state_, commands_, gangs_, cloud_),
      boots_(state_, lifecycle_),
      failures_(state_, lifecycle_),
      attempts_(state_, gangs_, failures_, records_),
      inventory_(state_, lifecycle_, attempts_),
      heartbeats_(state_, commands_, lifecycle_, attempts_, boots_, inventory_),
      placements_(context.state, state_.uniquePrefix() + "-p"),
      partitionDetector_(context.settings),
      shares_(context),
      sizing_(context.settings, term) {
  load();
}

void Leader::resumed(wire::Duration away) {
  // Nothing was heard because nobody listened. What an earlier answer renewed goes on running out, though.
  for (auto& [host, machine] : state_.machines.all()) {
    machine.lastHeartbeatAt += away;
    machine.lastDirectContactAt += away;
    if (machine.unacknowledgedSince != Time{}) machine.unacknowledgedSince += away;
  }
  partitionDetector_.reset();
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
  lifecycle_.loadedRecord(revision);
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
  state_.batches.loaded(page, revision, std::move(names));
  if (!hosts) {
    context_.event(Level::error, "bad_record", {{"page", number}});
    return;
  }
  for (const machines::BatchedHost& record : *hosts) {
    Machine& machine = state_.machines.add(record.host);
    machine.machineType = record.machineType;
    machine.zone = record.zone;
    machine.spot = record.spot;
    machine.phase = MachinePhase::up;
    machine.provisionedAt = machine.lastHeartbeatAt = machine.lastDirectContactAt = machine.upSince =
        machine.idleSince = context_.now;
    // Until this moment plus its window an earlier leader may have renewed the worker's lease.
    machine.leaseRenewedAt = state_.inheritedLeaseRenewal();
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
  for (const std::string& ref : state_.jobs.open()) state_.jobs.find(ref)->beginTracking(context_.now);
  for (const DoneRecord& record : doneRecords_) {
    jobs::Job* job = state_.jobs.find(record.ref);
    if (job == nullptr || !job->open()) {
      records_.deleteLater(jobs::doneKey(record.ref, record.chunk));
    } else if (!job->loadDoneChunk(record.chunk, record.hex, record.revision, context_.now)) {
      context_.event(Level::error, "bad_record", {{"key", jobs::doneKey(record.ref, record.chunk)}});
    }
  }
  doneRecords_.clear();
  for (const std::string& ref : state_.jobs.open())
    if (state_.jobs.find(ref)->finished()) records_.finished(ref);
  for (const std::string& host : loadedDecommissioning_) {
    Machine& machine = state_.machines.add(host);
    machine.phase = MachinePhase::terminating;
    machine.leaseRenewedAt = state_.inheritedLeaseRenewal();
  }
  loadedDecommissioning_.clear();
  for (auto& [host, machine] : state_.machines.all()) {
    lifecycle_.applyMachineType(machine);
    for (Attempt& attempt : machine.attempts) {
      jobs::Job* job = state_.jobs.find(attempt.task.job.text);
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
    if (machine.phase == MachinePhase::terminating) cloud_.release(context_.now, host);
  }
  gangs_.adoptAttempts();
  phase_ = Phase::acting;
  state_.actingSince = context_.now;
  nextSizingSave_ = context_.now + constants::kCopyEvery;
  loadSizingState();
  context_.event(
      Level::info, "acting",
      {{"term", state_.term},
       {"machines", state_.machines.all().size()},
       {"open_jobs", state_.jobs.open().size()},
       {"load_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(context_.now - state_.electedAt).count()}});
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
  nextSizingSave_ = context_.now + constants::kCopyEvery;
  state::Transaction transaction;
  transaction.conditions = state_.partitionConditions();
  transaction.writes.push_back({kSizingStateKey, sizing_.encode(state_.valueSizeLimit), std::nullopt});
  context_.state.multi(context_.now, state::Urgency::rest, transaction, [](const auto&) {});
}

// --- life ------------------------------------------------------------------------------------------------

void Leader::tick() {
  if (state_.resigned()) return;
  if (phase_ == Phase::loading) {
    if (loadsLeft_.empty()) {
      loaded();
    } else if (loadsOut_ == 0 && context_.now >= loadRetryAt_) {
      loadRetryAt_ = context_.now + constants::kStateLoadTimeout;
      const auto left = loadsLeft_;
      for (const std::string& prefix : left) {
        if (prefix == "jobs") {
          ++loadsOut_;
          state_.jobFeed.confirm(context_.now, [this, alive = std::weak_ptr<int>(alive_)](bool ok) {
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
            state_.machines.clear();
            state_.batches.clear();
          }
          if (prefix == kDonePrefix) doneRecords_.clear();
          if (prefix == kDecommissioningKey) loadedDecommissioning_.clear();
          loadPage(prefix, "");
        }
      }
    }
    return;
  }
  cloud_.tick(context_.now);
  detectFailures();
  boots_.tick();
  lifecycle_.advance();
  advance();
  if (state_.resigned()) return;
  lifecycle_.writeDecommissioning();
  records_.clean();
  autoscale();
  saveSizingState();
  shares_.tick(state_.machines, state_.jobs, state_.holdsLeaderLease(),
               [this] { return state_.partitionConditions(); });
  if (shares_.tableChanged()) state_.requestPlacementRound();
}

void Leader::advance() {
  if (state_.resigned() || phase_ != Phase::acting) return;
  records_.tick();
  placements_.tick(context_.now);
  lifecycle_.tick();
  records_.write();
  placementRound();
  if (!state_.resigned()) commands_.sendDirectCommands();
}

HeartbeatResponse Leader::onHeartbeat(const wire::WorkerHeartbeat& heartbeat, Source source) {
  if (phase_ != Phase::acting) return {};
  return heartbeats_.onHeartbeat(heartbeat, source);
}

void Leader::onJobAccepted(jobs::Job& job) {
  if (phase_ != Phase::acting) return;
  job.beginTracking(context_.now);
  state_.requestPlacementRound();
}

void Leader::onJobEnded(jobs::Job& job) {
  if (phase_ != Phase::acting) return;
  const std::string ref = job.spec.ref.text;
  job.endTracking();
  records_.forget(ref);
  shown_.erase(ref);
  for (auto& [host, machine] : state_.machines.all()) {
    for (Attempt& attempt : machine.attempts)
      if (attempt.task.job.text == ref) commands_.stop(machine, attempt, 0);
    AttemptTracker::eraseFreed(machine);
  }
  state_.requestPlacementRound();
}

peer::Progress Leader::progress(bool all) {
  peer::Progress out;
  out.term = state_.term;
  if (phase_ != Phase::acting) return out;
  for (const std::string& ref : state_.jobs.open()) {
    const jobs::Job& job = *state_.jobs.find(ref);
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
