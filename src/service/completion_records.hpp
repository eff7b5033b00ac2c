// What has completed, as records: final stages of jobs, progress of arrays, and the deletion of records that
// have done their service. Each kind has a lane with one transaction under way; what gathers meanwhile goes
// with the next.
#pragma once

#include <deque>
#include <functional>
#include <set>
#include <string>

#include "jobs/jobs.hpp"
#include "service/context.hpp"
#include "state/transaction.hpp"

namespace reachhoist::service {

class CompletionRecords {
 public:
  struct Hooks {
    std::function<std::vector<state::Condition>()> conditions;  // that every record depends on
    std::function<void(const state::Outcome&, const char* what)> refused;
    std::function<void(jobs::Job&)> ended;  // its final stage is durable
    std::function<void()> recorded;         // something has become durable
  };

  CompletionRecords(Context& context, jobs::JobTable& jobs, const std::string& markPrefix, Hooks hooks);
  CompletionRecords(const CompletionRecords&) = delete;

  // A task of an open job has completed.
  void completed(const wire::TaskId& task);
  // All tasks of the job have.
  void finished(const std::string& ref) { finished_.insert(ref); }
  // Whether the task's completion outlives this controller.
  bool isDurable(const wire::TaskId& task) const;
  // The job has ended: nothing of it has to be written any more.
  void forget(const std::string& ref);
  void deleteLater(const std::string& key) { deletes_.insert(key); }

  // Goes on with transactions under way.
  void tick();
  // Begins new ones for stages and progress.
  void write();
  // Begins one that deletes what is of no use any more.
  void clean();

 private:
  void markDirty(const std::string& ref);
  void writeFinals();
  void onFinals(const std::vector<std::string>& refs, const state::Outcome& outcome);
  void writeProgress();
  void onProgress(const std::vector<std::pair<std::string, std::uint32_t>>& chunks,
                  const state::Outcome& outcome);

  Context& context_;
  jobs::JobTable& jobs_;
  Hooks hooks_;
  state::Committer finalsLane_;
  state::Committer progressLane_;
  state::Committer cleaningLane_;
  std::set<std::string> finished_;                            // jobs whose final stage is not durable
  std::set<std::string> dirty_;                               // jobs with completions that are not durable
  std::deque<std::string> queue_;                             // the same, longest dirty first
  std::set<std::pair<std::string, std::uint32_t>> inFlight_;  // chunks of a transaction under way
  std::set<std::string> deletes_;
  Time nextProgress_{};
};

}  // namespace reachhoist::service
