// The stored records of completed work: final phases of jobs, progress of job arrays, and the deletion of
// obsolete progress records.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "service/leader/leader_state.hpp"
#include "state/committer.hpp"

namespace reachhoist::service {

// Writes the records. Each kind has its own writer with at most one transaction in flight. The next
// transaction carries the completions that accumulate in the meantime.
class CompletionRecords {
 public:
  // Notifications to other components; all are required.
  struct Callbacks {
    std::function<void(jobs::Job&)> onJobEnded;  // the job's final phase has become durable
    std::function<void()> onCompletionsDurable;  // further completions have become durable
  };

  CompletionRecords(LeaderState& state, Callbacks callbacks);
  CompletionRecords(const CompletionRecords&) = delete;

  // Records that a task of an open job has completed.
  void taskCompleted(const wire::TaskId& task);
  // Records that all tasks of the open job have completed.
  void allTasksCompleted(const std::string& ref) { finishedJobs_.insert(ref); }
  // Whether the completion of the task is durable, so that it survives a change of leader.
  bool isCompletionDurable(const wire::TaskId& task) const;
  // Drops the pending writes of a job that has ended.
  void forgetJob(const std::string& ref);
  // Schedules the deletion of an obsolete stored key.
  void markObsolete(const std::string& key) { obsoleteKeys_.insert(key); }

  // Continues the transactions in flight, for example with retries.
  void tick();
  // Begins transactions for final phases and progress.
  void write();
  // Begins a transaction that deletes obsolete keys.
  void deleteObsoleteKeys();

 private:
  // A chunk of constants::kTasksPerDoneChunk tasks of a job.
  struct ChunkId {
    std::string ref;
    std::uint32_t chunk = 0;
    auto operator<=>(const ChunkId&) const = default;
  };

  void markDirty(const std::string& ref);
  void addPartitionConditions(state::Transaction& transaction) const;
  void writeFinalPhases();
  void onFinalPhasesWritten(const std::vector<std::string>& refs, const state::Outcome& outcome);
  void writeProgress();
  // Removes dirty chunks from their jobs for the next transaction, at most as many as fit into it.
  std::vector<ChunkId> takeDirtyChunks();
  void addChunk(state::Transaction& transaction, const ChunkId& id) const;
  void onProgressWritten(const std::vector<ChunkId>& chunks, const state::Outcome& outcome);
  void onObsoleteKeysDeleted(const std::vector<std::string>& keys, const state::Outcome& outcome);

  LeaderState& state_;
  Context& context_;
  jobs::JobTable& jobs_;
  Callbacks callbacks_;
  state::Committer finalPhaseWriter_;
  state::Committer progressWriter_;
  state::Committer deletionWriter_;
  std::set<std::string> finishedJobs_;  // jobs whose final phase is not durable
  std::set<std::string> dirtyJobs_;     // jobs with completions that are not durable
  std::deque<std::string> dirtyQueue_;  // the same, longest dirty first, and jobs that are clean by now
  std::set<ChunkId> chunksInFlight_;    // chunks in the progress transaction
  std::set<std::string> obsoleteKeys_;
  Time nextProgressAt_{};
};

}  // namespace reachhoist::service
