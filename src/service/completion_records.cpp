#include "service/completion_records.hpp"

#include <utility>

namespace reachhoist::service {

CompletionRecords::CompletionRecords(Context& context, jobs::JobTable& jobs, const std::string& markPrefix,
                                     Hooks hooks)
    : context_(context),
      jobs_(jobs),
      hooks_(std::move(hooks)),
      finalsLane_(context.state, markPrefix + "-f"),
      progressLane_(context.state, markPrefix + "-c"),
      cleaningLane_(context.state, markPrefix + "-d") {}

void CompletionRecords::tick() {
  finalsLane_.tick(context_.now);
  progressLane_.tick(context_.now);
  cleaningLane_.tick(context_.now);
}

void CompletionRecords::write() {
  writeFinals();
  writeProgress();
}

void CompletionRecords::completed(const wire::TaskId& task) {
  jobs_.find(task.job.text)->dirtyChunks.insert(task.index / constants::kTasksPerDoneChunk);
  markDirty(task.job.text);
}

void CompletionRecords::forget(const std::string& ref) {
  dirty_.erase(ref);  // its place in the queue is passed over
  finished_.erase(ref);
}

bool CompletionRecords::isDurable(const wire::TaskId& task) const {
  const jobs::Job* job = jobs_.find(task.job.text);
  if (job == nullptr || !job->open()) return true;
  const std::uint32_t chunk = task.index / constants::kTasksPerDoneChunk;
  return !job->dirtyChunks.contains(chunk) && !inFlight_.contains({task.job.text, chunk}) && !job->finished();
}

void CompletionRecords::markDirty(const std::string& ref) {
  const jobs::Job& job = *jobs_.find(ref);
  if (job.finished()) {
    finished_.insert(ref);
  } else if (dirty_.insert(ref).second) {
    queue_.push_back(ref);
  }
}

// Final stages have their own lane: users wait for them, while progress only saves work after a crash.
void CompletionRecords::writeFinals() {
  if (finalsLane_.busy() || finished_.empty()) return;
  state::Transaction transaction;
  std::vector<std::string> refs;
  for (const std::string& ref : finished_) {
    if (refs.size() >= context_.settings.state.opsPerTransaction) break;
    const jobs::Job* job = jobs_.find(ref);
    transaction.conditions.push_back({jobs::jobKey(ref), job->revision});
    transaction.writes.push_back(
        {jobs::jobKey(ref), jobs::encodeFinal(*job, jobs::JobPhase::done), std::nullopt});
    refs.push_back(ref);
  }
  for (const std::string& ref : refs) finished_.erase(ref);
  for (auto& condition : hooks_.conditions()) transaction.conditions.push_back(std::move(condition));
  finalsLane_.commit(context_.now, state::Urgency::place, std::move(transaction),
                     [this, refs](const state::Outcome& outcome) { onFinals(refs, outcome); });
}

void CompletionRecords::onFinals(const std::vector<std::string>& refs, const state::Outcome& outcome) {
  if (outcome.verdict == state::Verdict::refused) {
    for (const std::string& ref : refs)
      if (const jobs::Job* job = jobs_.find(ref); job != nullptr && job->open()) finished_.insert(ref);
    return hooks_.refused(outcome, "finals");
  }
  for (const std::string& ref : refs) {
    jobs::Job* job = jobs_.find(ref);
    // Their records of progress have done their service.
    for (const auto& [chunk, revision] : job->doneRevisions) deletes_.insert(jobs::doneKey(ref, chunk));
    const Json record = jobs::encodeFinal(*job, jobs::JobPhase::done);
    if (jobs_.apply(ref, record, outcome.revision) == jobs::JobTable::Change::ended) {
      context_.event(Level::info, "job_done", {{"job", ref}});
      hooks_.ended(*jobs_.find(ref));
    }
  }
  hooks_.recorded();
}

void CompletionRecords::writeProgress() {
  // Paced, so that less urgent writing gets its turn: what is lost without it is little, since a completed
  // task that is started again ends at once.
  if (progressLane_.busy() || dirty_.empty() || context_.now < nextProgress_) return;
  nextProgress_ = context_.now + constants::kProgressWriteInterval;
  state::Transaction transaction;
  std::vector<std::pair<std::string, std::uint32_t>> chunks;
  const std::size_t most = context_.settings.state.opsPerTransaction;
  // Longest dirty first, so that none is passed for ever when there is more than the budget carries.
  while (!queue_.empty() && chunks.size() < most) {
    const std::string ref = queue_.front();
    jobs::Job* job = jobs_.find(ref);
    if (!dirty_.contains(ref) || job == nullptr || !job->open() || job->finished() ||
        job->dirtyChunks.empty()) {
      dirty_.erase(ref);
      queue_.pop_front();
      continue;
    }
    const std::uint32_t chunk = *job->dirtyChunks.begin();
    job->dirtyChunks.erase(job->dirtyChunks.begin());
    const auto revision = job->doneRevisions.find(chunk);
    transaction.conditions.push_back(
        {jobs::doneKey(ref, chunk), revision == job->doneRevisions.end() ? 0 : revision->second});
    transaction.writes.push_back({jobs::doneKey(ref, chunk), Json{{"hex", job->doneChunk(chunk)}}, {}});
    chunks.emplace_back(ref, chunk);
    inFlight_.insert(chunks.back());
  }
  if (chunks.empty()) return;
  for (auto& condition : hooks_.conditions()) transaction.conditions.push_back(std::move(condition));
  progressLane_.commit(context_.now, state::Urgency::complete, std::move(transaction),
                       [this, chunks](const state::Outcome& outcome) { onProgress(chunks, outcome); });
}

void CompletionRecords::onProgress(const std::vector<std::pair<std::string, std::uint32_t>>& chunks,
                                   const state::Outcome& outcome) {
  for (const auto& chunk : chunks) inFlight_.erase(chunk);
  const bool applied = outcome.verdict == state::Verdict::applied;
  for (const auto& [ref, chunk] : chunks) {
    jobs::Job* job = jobs_.find(ref);
    const bool open = job != nullptr && job->open();
    if (applied && open) {
      job->doneRevisions[chunk] = outcome.revision;
    } else if (applied) {
      deletes_.insert(jobs::doneKey(ref, chunk));  // it has ended in between
    } else if (open) {
      job->dirtyChunks.insert(chunk);
      markDirty(ref);
    }
  }
  if (!applied) return hooks_.refused(outcome, "progress");
  hooks_.recorded();
}

void CompletionRecords::clean() {
  if (cleaningLane_.busy() || deletes_.empty()) return;
  state::Transaction transaction;
  std::vector<std::string> deletes;
  for (const std::string& key : deletes_) {
    if (deletes.size() >= context_.settings.state.opsPerTransaction) break;
    transaction.writes.push_back({key, std::nullopt, std::nullopt});
    deletes.push_back(key);
  }
  transaction.conditions = hooks_.conditions();
  cleaningLane_.commit(context_.now, state::Urgency::rest, std::move(transaction),
                       [this, deletes](const state::Outcome& outcome) {
                         if (outcome.verdict != state::Verdict::applied)
                           return hooks_.refused(outcome, "cleaning");
                         for (const std::string& key : deletes) deletes_.erase(key);
                       });
}

}  // namespace reachhoist::service
