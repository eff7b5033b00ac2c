// The stored records of completed work: final phases of jobs, progress of job arrays, and the deletion of
// progress records that are obsolete.
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

// Writes the records. Each kind has a writer with one transaction in flight; completions that gather
// meanwhile go with the next one.
class CompletionRecords {
 public:
  // All are required.
  struct Hooks {
    std::function<void(jobs::Job&)> onJobEnded;  // the job's final phase is durable
    std::function<void()> onDurable;             // further completions have become durable
  };

  CompletionRecords(LeaderState& state, Hooks hooks);
  CompletionRecords(const CompletionRecords&) = delete;

  // A task of an open job has completed.
  void taskCompleted(const wire::TaskId& task);
  // All tasks of the open job have completed.
  void jobFinished(const std::string& ref) { finishedJobs_.insert(ref); }
  // Whether the task's completion survives this leader.
  bool isDurable(const wire::TaskId& task) const;
  // The job has ended: nothing of it has to be written any more.
  void forget(const std::string& ref);
  // The stored key is obsolete.
  void deleteLater(const std::string& key) { obsoleteKeys_.insert(key); }

  // Goes on with the transactions in flight.
  void tick();
  // Begins transactions for final phases and progress.
  void write();
  // Begins a transaction that deletes obsolete keys.
  void clean();

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
  // Takes dirty chunks for the next transaction, at most as many as fit into it.
  std::vector<ChunkId> takeDirtyChunks();
  void addChunk(state::Transaction& transaction, const ChunkId& id) const;
  void onProgressWritten(const std::vector<ChunkId>& chunks, const state::Outcome& outcome);
  void onCleaned(const std::vector<std::string>& keys, const state::Outcome& outcome);

  LeaderState& state_;
  Context& context_;
  jobs::JobTable& jobs_;
  Hooks hooks_;
  state::Committer finalPhaseWriter_;
  state::Committer progressWriter_;
  state::Committer cleaner_;
  std::set<std::string> finishedJobs_;  // jobs whose final phase is not durable
  std::set<std::string> dirtyJobs_;     // jobs with completions that are not durable
  std::deque<std::string> dirtyQueue_;  // the same, longest dirty first, and some that are clean already
  std::set<ChunkId> chunksInFlight_;    // of the progress transaction
  std::set<std::string> obsoleteKeys_;
  Time nextProgressAt_{};
};

}  // namespace reachhoist::service
