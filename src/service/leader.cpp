#include "service/leader.hpp"

#include <algorithm>
#include <charconv>

namespace reachhoist::service {

namespace {
constexpr const char* kPagePrefix = "placed/";
constexpr const char* kDonePrefix = "done/";
constexpr const char* kLearnedKey = "fleet/learned";

std::size_t valueRoom(const config::Settings& settings) {
  return static_cast<std::size_t>(settings.stateValueKb * 1024 * constants::kPageFill);
}
}  // namespace

Leader::Leader(Context& context, cluster::Leadership& leadership, state::Feed& jobFeed, jobs::JobTable& jobs,
               std::uint64_t term, std::vector<std::uint64_t> partStamps)
    : context_(context),
      leadership_(leadership),
      jobFeed_(jobFeed),
      jobs_(jobs),
      term_(term),
      partStamps_(std::move(partStamps)),
      electedAt_(context.now),
      pages_(std::min<std::size_t>(constants::kPageBytes, valueRoom(context.settings))),
      valueRoom_(valueRoom(context.settings)),
      commands_(context, machines_, term,
                {[this] { return mayAnswer(); }, [this] { return sure(); },
                 [this](const Attempt& attempt) { return gangMayStart(attempt); },
                 [this](const wire::TaskId& task) { return records_.isDurable(task); },
                 [this](Machine& machine, const wire::Report& report) {
                   takeEvidence(machine, report, Source::direct);
                 },
                 [this] { planDue_ = true; }}),
      records_(context, jobs, context.settings.label + "-" + std::to_string(term),
               {[this] { return partConditions(); },
                [this](const state::Outcome& outcome, const char* what) { refusedBy(outcome, what); },
                [this](jobs::Job& job) { onJobEnded(job); }, [this] { forgetsDue(); }}),
      placements_(context.state, context.settings.label + "-" + std::to_string(term) + "-p"),
      retiring_(context.state, context.settings.label + "-" + std::to_string(term) + "-r"),
      cuts_(context.settings),
      shares_(context),
      cloud_(std::make_unique<cloud::Client>(
          context.calls, context.settings, context.settings.label + "-" + std::to_string(term),
          cloud::Client::Handlers{
              [this](const auto& pool, const auto& hosts, std::size_t refused) {
                onRented(pool, hosts, refused);
              },
              [this](const auto& hosts) { onReturned(hosts); },
              [this](const auto& hosts) { onListed(hosts); },
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
bool Leader::reconfirmed() const {
  return std::min(leadership_.confirmedAt(), jobFeed_.confirmedAt()) >= context_.resumedAt;
}

bool Leader::mayAnswer() const {
  // Ownership alone is not enough: the read that confirms must also have brought in every cancellation.
  const Time confirmed = std::min(leadership_.confirmedAt(), jobFeed_.confirmedAt());
  return reconfirmed() && context_.now - confirmed < context_.settings.answerWindow();
}

bool Leader::sure() const {
  const Time confirmed = std::min(leadership_.confirmedAt(), jobFeed_.confirmedAt());
  return reconfirmed() && context_.now - confirmed < constants::kLeaderTtl;
}

void Leader::resumed(wire::Duration away) {
  // Nothing was heard because nobody listened. What an earlier answer renewed goes on running out, though.
  for (auto& [host, machine] : machines_.all()) {
    machine.lastHeard += away;
    machine.lastDirect += away;
    if (machine.unechoedSince != Time{}) machine.unechoedSince += away;
  }
  cuts_.reset();
}

std::vector<state::Condition> Leader::partConditions() const {
  std::vector<state::Condition> out;
  for (cluster::Part part = 0; part < partStamps_.size(); ++part)
    out.push_back({cluster::partKey(part), partStamps_[part]});
  return out;
}

// --- loading ---------------------------------------------------------------------------------------------

void Leader::load() {
  loadsLeft_ = {kPagePrefix, kDonePrefix, kRetiringKey, "jobs"};
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
                          const std::uint64_t stamp = wire::countField(pair, "stamp").value_or(0);
                          const std::string rest = key->substr(prefix.size());
                          if (prefix == kPagePrefix) {
                            adoptPage(rest, *value, stamp);
                          } else if (prefix == kRetiringKey) {
                            adoptRetiring(*value, stamp);
                          } else {
                            adoptDone(rest, *value, stamp);
                          }
                        }
                        if (wire::flagField(result.body, "more").value_or(false) && !last.empty())
                          return loadPage(prefix, last);
                        loadsLeft_.erase(prefix);
                      });
}

void Leader::adoptDone(const std::string& rest, const Json& value, std::uint64_t stamp) {
  const auto slash = rest.find('/');
  std::uint32_t chunk = 0;
  const auto hex = wire::textField(value, "hex");
  if (slash == std::string::npos || !hex ||
      std::from_chars(rest.data() + slash + 1, rest.data() + rest.size(), chunk).ec != std::errc{}) {
    context_.event(Level::error, "bad_record", {{"key", kDonePrefix + rest}});
    return;
  }
  doneRecords_.push_back(DoneRecord{rest.substr(0, slash), chunk, *hex, stamp});
}

void Leader::adoptRetiring(const Json& value, std::uint64_t stamp) {
  retiringStamp_ = stamp;
  const Json* hosts = wire::field(value, "hosts");
  if (hosts == nullptr || !hosts->is_array()) {
    context_.event(Level::error, "bad_record", {{"key", kRetiringKey}});
    return;
  }
  for (const Json& host : *hosts)
    if (host.is_string()) retiringLoaded_.push_back(host.get<std::string>());
}

void Leader::adoptPage(const std::string& number, const Json& value, std::uint64_t stamp) {
  std::uint32_t page = 0;
  const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), page);
  if (error != std::errc{} || end != number.data() + number.size()) {
    context_.event(Level::error, "bad_record", {{"page", number}});
    return;
  }
  const auto hosts = machines::decodePlacementBatch(value);
  std::set<std::string> names;
  if (hosts)
    for (const machines::BatchedHost& paged : *hosts) names.insert(paged.host);
  // Even a page that can't be read has a stamp, and its next writing depends on it.
  pages_.loaded(page, stamp, std::move(names));
  if (!hosts) {
    context_.event(Level::error, "bad_record", {{"page", number}});
    return;
  }
  for (const machines::BatchedHost& paged : *hosts) {
    Machine& machine = machines_.add(paged.host);
    machine.machineType = paged.machineType;
    machine.zone = paged.zone;
    machine.spot = paged.spot;
    machine.phase = MachinePhase::up;
    machine.rentedAt = machine.lastHeard = machine.lastDirect = machine.upSince = machine.idleSince =
        context_.now;
    // Until this moment plus its window an earlier leader may have renewed the worker's lease.
    machine.lastAnswered = electedAt_ + context_.settings.answerWindow();
    for (const auto& [task, attemptNumber] : paged.placed) {
      // On its way from a page that has become too large to another it stands on both.
      if (machine.find(task, attemptNumber) != nullptr) continue;
      Attempt attempt;
      attempt.task = task;
      attempt.number = attemptNumber;
      attempt.phase = AttemptPhase::recorded;
      attempt.inherited = true;
      attempt.paged = page;
      attempt.since = attempt.placedAt = context_.now;
      machine.attempts.push_back(std::move(attempt));
    }
  }
}

void Leader::loaded() {
  for (const std::string& ref : jobs_.open()) jobs_.find(ref)->beginOwning(context_.now);
  for (const DoneRecord& record : doneRecords_) {
    jobs::Job* job = jobs_.find(record.ref);
    if (job == nullptr || !job->open()) {
      records_.deleteLater(jobs::doneKey(record.ref, record.chunk));
    } else if (!job->loadDoneChunk(record.chunk, record.hex, record.stamp, context_.now)) {
      context_.event(Level::error, "bad_record", {{"key", jobs::doneKey(record.ref, record.chunk)}});
    }
  }
  doneRecords_.clear();
  for (const std::string& ref : jobs_.open())
    if (jobs_.find(ref)->finished()) records_.finished(ref);
  for (const std::string& host : retiringLoaded_) {
    Machine& machine = machines_.add(host);
    machine.phase = MachinePhase::returning;
    machine.lastAnswered = electedAt_ + context_.settings.answerWindow();
  }
  retiringLoaded_.clear();
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
    if (machine.phase == MachinePhase::returning) cloud_->release(context_.now, host);
  }
  adoptGangs();
  to(State::acting);
  actingSince_ = context_.now;
  nextCopy_ = context_.now + constants::kCopyEvery;
  loadLearned();
  context_.event(
      Level::info, "acting",
      {{"term", term_},
       {"machines", machines_.all().size()},
       {"open_jobs", jobs_.open().size()},
       {"load_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(context_.now - electedAt_).count()}});
}

void Leader::loadLearned() {
  // Nobody waits for it: sizing follows the queues until it is there.
  context_.state.get(context_.now, state::Urgency::complete, kLearnedKey,
                     [this, alive = std::weak_ptr<int>(alive_)](const wire::CallResult& result) {
                       if (!alive.lock() || !result.ok()) return;
                       const Json* value = wire::field(result.body, "value");
                       if (value == nullptr || !sizing_.decode(*value))
                         context_.event(Level::error, "bad_record", {{"key", kLearnedKey}});
                     });
}

void Leader::copyLearned() {
  if (context_.now < nextCopy_) return;
  nextCopy_ = context_.now + constants::kCopyEvery;
  state::Transaction transaction;
  transaction.conditions = partConditions();
  transaction.writes.push_back({kLearnedKey, sizing_.encode(valueRoom_), std::nullopt});
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
          if (prefix == kPagePrefix) {
            machines_.clear();
            pages_.clear();
          }
          if (prefix == kDonePrefix) doneRecords_.clear();
          if (prefix == kRetiringKey) retiringLoaded_.clear();
          loadPage(prefix, "");
        }
      }
    }
    return;
  }
  cloud_->tick(context_.now);
  watchSilence();
  moveRetirements();
  advance();
  if (resigned_) return;
  retiringRound();
  records_.clean();
  sizeFleet();
  copyLearned();
  shares_.tick(machines_, jobs_, sure(), [this] { return partConditions(); });
  if (shares_.tableChanged()) planDue_ = true;
}

void Leader::advance() {
  if (resigned_ || state_ != State::acting) return;
  records_.tick();
  placements_.tick(context_.now);
  retiring_.tick(context_.now);
  records_.write();
  placementRound();
  if (!resigned_) commands_.sendDirects();
}

void Leader::onJobAccepted(jobs::Job& job) {
  if (state_ != State::acting) return;
  job.beginOwning(context_.now);
  planDue_ = true;
}

void Leader::onJobEnded(jobs::Job& job) {
  if (state_ != State::acting) return;
  const std::string ref = job.spec.ref.text;
  job.endOwning();
  records_.forget(ref);
  shown_.erase(ref);
  for (auto& [host, machine] : machines_.all()) {
    for (Attempt& attempt : machine.attempts)
      if (attempt.task.job.text == ref) commands_.stop(machine, attempt, 0);
    dropFree(machine);
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
