#include "service/leader/state_loader.hpp"

#include <charconv>
#include <utility>

#include "service/leader/attempt_fields.hpp"

namespace reachhoist::service {

namespace {
constexpr const char* kBatchPrefix = "placed/";
constexpr const char* kCompletionPrefix = "done/";

// Parses the number in `text` at `begin` and sets `end` to the position after it. Returns no value if there
// is no number.
std::optional<std::uint32_t> parseNumber(const std::string& text, std::size_t begin, std::size_t& end) {
  std::uint32_t number = 0;
  const char* const textEnd = text.data() + text.size();
  const auto [parsedTo, error] = std::from_chars(text.data() + begin, textEnd, number);
  if (error != std::errc{}) return std::nullopt;
  end = static_cast<std::size_t>(parsedTo - text.data());
  return number;
}
}  // namespace

StateLoader::StateLoader(LeaderState& state, CompletionRecords& records, GangCoordinator& gangs,
                         MachineLifecycle& lifecycle, cloud::Client& cloud)
    : state_(state),
      context_(state.context),
      records_(records),
      gangs_(gangs),
      lifecycle_(lifecycle),
      cloud_(cloud),
      retryAt_(state.context.now) {}

bool StateLoader::tick() {
  if (unreadKinds_.empty()) {
    apply();
    return true;
  }
  if (readsInFlight_ == 0 && context_.now >= retryAt_) startReads();
  return false;
}

void StateLoader::startReads() {
  retryAt_ = context_.now + constants::kStateLoadTimeout;
  const auto kinds = unreadKinds_;
  for (const RecordKind kind : kinds) startRead(kind);
}

void StateLoader::startRead(RecordKind kind) {
  switch (kind) {
    case RecordKind::jobs:
      return confirmJobs();
    case RecordKind::placementBatches:
      state_.machines.clear();
      state_.batches.clear();
      break;
    case RecordKind::completions:
      completionChunks_.clear();
      break;
    case RecordKind::decommissioning:
      decommissionedHosts_.clear();
      break;
  }
  listRecords(kind, "");
}

// The job feed reads the jobs continuously, so the loader only waits until the feed is up to date.
void StateLoader::confirmJobs() {
  ++readsInFlight_;
  state_.jobFeed.confirm(context_.now, guard_.wrap([this](bool ok) {
    --readsInFlight_;
    if (ok) {
      unreadKinds_.erase(RecordKind::jobs);
    } else {
      retryAt_ = context_.now + constants::kStateBackoff;
    }
  }));
}

std::string StateLoader::prefixOf(RecordKind kind) {
  switch (kind) {
    case RecordKind::placementBatches:
      return kBatchPrefix;
    case RecordKind::completions:
      return kCompletionPrefix;
    case RecordKind::decommissioning:
      return kDecommissioningKey;
    case RecordKind::jobs:
      break;  // the job feed reads them, see confirmJobs()
  }
  return {};
}

void StateLoader::listRecords(RecordKind kind, const std::string& after) {
  ++readsInFlight_;
  context_.state.list(
      context_.now, state::Urgency::lease, prefixOf(kind), after,
      guard_.wrap([this, kind](const wire::CallResult& result) { onRecordsListed(kind, result); }));
}

void StateLoader::onRecordsListed(RecordKind kind, const wire::CallResult& result) {
  --readsInFlight_;
  const Json* pairs = wire::field(result.body, "pairs");
  if (!result.ok() || pairs == nullptr || !pairs->is_array()) {
    retryAt_ = context_.now + constants::kStateBackoff;
    return;
  }
  const std::size_t prefixLength = prefixOf(kind).size();
  std::string lastKey;
  for (const Json& pair : *pairs) {
    const auto key = wire::textField(pair, "key");
    const Json* value = wire::field(pair, "value");
    if (!key || value == nullptr) continue;
    lastKey = *key;
    const std::uint64_t revision = wire::countField(pair, "stamp").value_or(0);
    adoptRecord(kind, key->substr(prefixLength), *value, revision);
  }
  const bool more = wire::flagField(result.body, "more").value_or(false);
  if (more && !lastKey.empty()) return listRecords(kind, lastKey);
  unreadKinds_.erase(kind);
}

void StateLoader::adoptRecord(RecordKind kind, const std::string& name, const Json& value,
                              std::uint64_t revision) {
  switch (kind) {
    case RecordKind::placementBatches:
      return adoptPlacementBatch(name, value, revision);
    case RecordKind::completions:
      return adoptCompletionChunk(name, value, revision);
    case RecordKind::decommissioning:
      return adoptDecommissioning(value, revision);
    case RecordKind::jobs:
      return;  // the job feed adopts them
  }
}

void StateLoader::adoptCompletionChunk(const std::string& name, const Json& value, std::uint64_t revision) {
  const auto slash = name.find('/');
  const auto hex = wire::textField(value, "hex");
  std::size_t end = 0;
  const auto chunk = slash == std::string::npos ? std::nullopt : parseNumber(name, slash + 1, end);
  if (!hex || !chunk) {
    context_.logEvent(LogLevel::error, "bad_record", {{"key", kCompletionPrefix + name}});
    return;
  }
  completionChunks_.push_back(CompletionChunk{name.substr(0, slash), *chunk, *hex, revision});
}

void StateLoader::adoptDecommissioning(const Json& value, std::uint64_t revision) {
  lifecycle_.setStoredRevision(revision);
  const Json* hosts = wire::field(value, "hosts");
  if (hosts == nullptr || !hosts->is_array()) {
    context_.logEvent(LogLevel::error, "bad_record", {{"key", kDecommissioningKey}});
    return;
  }
  for (const Json& host : *hosts)
    if (host.is_string()) decommissionedHosts_.push_back(host.get<std::string>());
}

void StateLoader::adoptPlacementBatch(const std::string& name, const Json& value, std::uint64_t revision) {
  std::size_t end = 0;
  const auto number = parseNumber(name, 0, end);
  if (!number || end != name.size()) {
    context_.logEvent(LogLevel::error, "bad_record", {{"page", name}});
    return;
  }
  const auto hosts = machines::decodePlacementBatch(value);
  std::set<std::string> hostNames;
  if (hosts)
    for (const machines::BatchedHost& record : *hosts) hostNames.insert(record.host);
  // A batch that can't be decoded also has a revision, on which its next write depends.
  state_.batches.setStored(*number, revision, std::move(hostNames));
  if (!hosts) {
    context_.logEvent(LogLevel::error, "bad_record", {{"page", name}});
    return;
  }
  for (const machines::BatchedHost& record : *hosts) adoptMachine(record, *number);
}

void StateLoader::adoptMachine(const machines::BatchedHost& record, std::uint32_t batch) {
  Machine& machine = state_.machines.add(record.host);
  machine.machineType = record.machineType;
  machine.zone = record.zone;
  machine.spot = record.spot;
  machine.phase = MachinePhase::up;
  machine.provisionedAt = context_.now;
  machine.contact.lastHeartbeatAt = context_.now;
  machine.contact.lastDirectContactAt = context_.now;
  machine.upSince = context_.now;
  machine.idleSince = context_.now;
  machine.contact.leaseRenewedAt = state_.inheritedLeaseRenewal();
  for (const auto& [task, attemptNumber] : record.placed) {
    // Two batches name the attempt while it moves out of one that has grown too large.
    if (machine.find(task, attemptNumber) != nullptr) continue;
    Attempt attempt;
    attempt.task = task;
    attempt.number = attemptNumber;
    attempt.phase = AttemptPhase::recorded;
    attempt.inherited = true;
    attempt.batch = batch;
    attempt.phaseSince = attempt.placedAt = context_.now;
    machine.attempts.push_back(std::move(attempt));
  }
}

void StateLoader::apply() {
  for (const std::string& ref : state_.jobs.openJobs()) state_.jobs.find(ref)->beginTracking(context_.now);
  applyCompletions();
  applyDecommissioning();
  applyMachines();
  gangs_.adoptAttempts();
}

void StateLoader::applyCompletions() {
  for (const CompletionChunk& record : completionChunks_) {
    jobs::Job* job = state_.jobs.find(record.ref);
    if (job == nullptr || !job->isOpen()) {
      records_.markObsolete(jobs::doneKey(record.ref, record.chunk));
    } else if (!job->loadDoneChunk(record.chunk, record.hex, record.revision, context_.now)) {
      context_.logEvent(LogLevel::error, "bad_record", {{"key", jobs::doneKey(record.ref, record.chunk)}});
    }
  }
  completionChunks_.clear();
  for (const std::string& ref : state_.jobs.openJobs())
    if (state_.jobs.find(ref)->isFinished()) records_.allTasksCompleted(ref);
}

void StateLoader::applyDecommissioning() {
  for (const std::string& host : decommissionedHosts_) {
    Machine& machine = state_.machines.add(host);
    machine.phase = MachinePhase::terminating;
    machine.contact.leaseRenewedAt = state_.inheritedLeaseRenewal();
  }
  decommissionedHosts_.clear();
}

void StateLoader::applyMachines() {
  for (auto& [host, machine] : state_.machines.all()) {
    lifecycle_.applyMachineType(machine);
    for (Attempt& attempt : machine.attempts) applyAttempt(attempt);
    if (machine.phase == MachinePhase::terminating) cloud_.release(context_.now, host);
  }
}

void StateLoader::applyAttempt(Attempt& attempt) {
  jobs::Job* job = state_.jobs.find(attempt.task.job.text);
  // The attempt counts toward its team's usage until it is proven gone, even if its job has ended.
  if (job != nullptr) setResourceFields(attempt, job->spec);
  if (job == nullptr || !job->isOpen() || attempt.task.index >= job->spec.taskCount) {
    attempt.stopRequested = true;
    return;
  }
  setSchedulingFields(attempt, *job);
  if (job->tasks[attempt.task.index] == jobs::TaskPhase::waiting)
    job->setTaskPhase(attempt.task.index, jobs::TaskPhase::placed, context_.now);
}

}  // namespace reachhoist::service
