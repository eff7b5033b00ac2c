#include "service/leader/completion_records.hpp"

#include <utility>

namespace reachhoist::service {

CompletionRecords::CompletionRecords(LeaderState& state, Callbacks callbacks)
    : state_(state),
      context_(state.context),
      jobs_(state.jobs),
      callbacks_(std::move(callbacks)),
      finalPhaseWriter_(state.context.state, state.uniquePrefix() + "-f"),
      progressWriter_(state.context.state, state.uniquePrefix() + "-c"),
      deletionWriter_(state.context.state, state.uniquePrefix() + "-d") {}

void CompletionRecords::tick() {
  finalPhaseWriter_.tick(context_.now);
  progressWriter_.tick(context_.now);
  deletionWriter_.tick(context_.now);
}

void CompletionRecords::write() {
  writeFinalPhases();
  writeProgress();
}

void CompletionRecords::taskCompleted(const wire::TaskId& task) {
  jobs_.find(task.job.text)->dirtyChunks.insert(task.index / constants::kTasksPerDoneChunk);
  markDirty(task.job.text);
}

void CompletionRecords::forgetJob(const std::string& ref) {
  dirtyJobs_.erase(ref);  // takeDirtyChunks() skips its entry in the queue
  finishedJobs_.erase(ref);
}

bool CompletionRecords::isCompletionDurable(const wire::TaskId& task) const {
  const jobs::Job* job = jobs_.find(task.job.text);
  if (job == nullptr || !job->isOpen()) return true;
  const std::uint32_t chunk = task.index / constants::kTasksPerDoneChunk;
  return !job->dirtyChunks.contains(chunk) && !chunksInFlight_.contains({task.job.text, chunk}) &&
         !job->isFinished();
}

void CompletionRecords::markDirty(const std::string& ref) {
  const jobs::Job& job = *jobs_.find(ref);
  if (job.isFinished()) {
    finishedJobs_.insert(ref);
  } else if (dirtyJobs_.insert(ref).second) {
    dirtyQueue_.push_back(ref);
  }
}

void CompletionRecords::addPartitionConditions(state::Transaction& transaction) const {
  for (auto& condition : state_.partitionConditions()) transaction.conditions.push_back(std::move(condition));
}

// --- final phases ------------------------------------------------------------------------------------------

// Final phases have their own writer because users wait for them, while progress records only save work after
// a failover.
void CompletionRecords::writeFinalPhases() {
  if (finalPhaseWriter_.isBusy() || finishedJobs_.empty()) return;
  state::Transaction transaction;
  std::vector<std::string> refs;
  for (const std::string& ref : finishedJobs_) {
    if (refs.size() >= context_.settings.stateLimits.opsPerTransaction) break;
    const jobs::Job* job = jobs_.find(ref);
    transaction.conditions.push_back({jobs::jobKey(ref), job->revision});
    transaction.writes.push_back(
        {jobs::jobKey(ref), jobs::encodeFinal(*job, jobs::JobPhase::done), std::nullopt});
    refs.push_back(ref);
  }
  for (const std::string& ref : refs) finishedJobs_.erase(ref);
  addPartitionConditions(transaction);
  finalPhaseWriter_.commit(
      context_.now, state::Urgency::placement, std::move(transaction),
      [this, refs](const state::Outcome& outcome) { onFinalPhasesWritten(refs, outcome); });
}

void CompletionRecords::onFinalPhasesWritten(const std::vector<std::string>& refs,
                                             const state::Outcome& outcome) {
  if (outcome.verdict == state::Verdict::refused) {
    for (const std::string& ref : refs)
      if (const jobs::Job* job = jobs_.find(ref); job != nullptr && job->isOpen()) finishedJobs_.insert(ref);
    return state_.onTransactionRefused(outcome, "finals");
  }
  for (const std::string& ref : refs) {
    jobs::Job* job = jobs_.find(ref);
    // The progress records of a finished job are obsolete.
    for (const auto& [chunk, revision] : job->doneRevisions) markObsolete(jobs::doneKey(ref, chunk));
    const Json record = jobs::encodeFinal(*job, jobs::JobPhase::done);
    if (jobs_.apply(ref, record, outcome.revision) == jobs::JobTable::Change::ended) {
      context_.logEvent(LogLevel::info, "job_done", {{"job", ref}});
      callbacks_.onJobEnded(*jobs_.find(ref));
    }
  }
  callbacks_.onCompletionsDurable();
}

// --- progress ----------------------------------------------------------------------------------------------

void CompletionRecords::writeProgress() {
  // Progress is written at intervals so that less urgent writes are not starved. A delay loses little,
  // because a completed task that is started again ends at once.
  if (progressWriter_.isBusy() || dirtyJobs_.empty() || context_.now < nextProgressAt_) return;
  nextProgressAt_ = context_.now + constants::kProgressWriteInterval;
  const std::vector<ChunkId> chunks = takeDirtyChunks();
  if (chunks.empty()) return;
  state::Transaction transaction;
  for (const ChunkId& id : chunks) addChunk(transaction, id);
  addPartitionConditions(transaction);
  progressWriter_.commit(
      context_.now, state::Urgency::completion, std::move(transaction),
      [this, chunks](const state::Outcome& outcome) { onProgressWritten(chunks, outcome); });
}

std::vector<CompletionRecords::ChunkId> CompletionRecords::takeDirtyChunks() {
  std::vector<ChunkId> chunks;
  // The job that has been dirty for the longest time comes first, so that none starves when there are more
  // chunks than the transactions can carry.
  while (!dirtyQueue_.empty() && chunks.size() < context_.settings.stateLimits.opsPerTransaction) {
    const std::string ref = dirtyQueue_.front();
    jobs::Job* job = jobs_.find(ref);
    if (!dirtyJobs_.contains(ref) || job == nullptr || !job->isOpen() || job->isFinished() ||
        job->dirtyChunks.empty()) {
      dirtyJobs_.erase(ref);
      dirtyQueue_.pop_front();
      continue;
    }
    const std::uint32_t chunk = *job->dirtyChunks.begin();
    job->dirtyChunks.erase(job->dirtyChunks.begin());
    chunks.push_back(ChunkId{ref, chunk});
    chunksInFlight_.insert(chunks.back());
  }
  return chunks;
}

void CompletionRecords::addChunk(state::Transaction& transaction, const ChunkId& id) const {
  const jobs::Job& job = *jobs_.find(id.ref);
  const std::string key = jobs::doneKey(id.ref, id.chunk);
  const auto revision = job.doneRevisions.find(id.chunk);
  transaction.conditions.push_back({key, revision == job.doneRevisions.end() ? 0 : revision->second});
  transaction.writes.push_back({key, Json{{"hex", job.encodeDoneChunk(id.chunk)}}, {}});
}

void CompletionRecords::onProgressWritten(const std::vector<ChunkId>& chunks, const state::Outcome& outcome) {
  for (const ChunkId& id : chunks) chunksInFlight_.erase(id);
  const bool applied = outcome.verdict == state::Verdict::applied;
  for (const auto& [ref, chunk] : chunks) {
    jobs::Job* job = jobs_.find(ref);
    const bool isJobOpen = job != nullptr && job->isOpen();
    if (applied && isJobOpen) {
      job->doneRevisions[chunk] = outcome.revision;
    } else if (applied) {
      markObsolete(jobs::doneKey(ref, chunk));  // the job ended during the transaction
    } else if (isJobOpen) {
      job->dirtyChunks.insert(chunk);
      markDirty(ref);
    }
  }
  if (!applied) return state_.onTransactionRefused(outcome, "progress");
  callbacks_.onCompletionsDurable();
}

// --- deletion ----------------------------------------------------------------------------------------------

void CompletionRecords::deleteObsoleteKeys() {
  if (deletionWriter_.isBusy() || obsoleteKeys_.empty()) return;
  state::Transaction transaction;
  std::vector<std::string> keys;
  for (const std::string& key : obsoleteKeys_) {
    if (keys.size() >= context_.settings.stateLimits.opsPerTransaction) break;
    transaction.writes.push_back({key, std::nullopt, std::nullopt});
    keys.push_back(key);
  }
  transaction.conditions = state_.partitionConditions();
  deletionWriter_.commit(
      context_.now, state::Urgency::background, std::move(transaction),
      [this, keys](const state::Outcome& outcome) { onObsoleteKeysDeleted(keys, outcome); });
}

void CompletionRecords::onObsoleteKeysDeleted(const std::vector<std::string>& keys,
                                              const state::Outcome& outcome) {
  if (outcome.verdict != state::Verdict::applied) return state_.onTransactionRefused(outcome, "cleaning");
  for (const std::string& key : keys) obsoleteKeys_.erase(key);
}

}  // namespace reachhoist::service
