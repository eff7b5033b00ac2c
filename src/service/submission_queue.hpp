// Durable acceptance of submitted jobs. The queue batches them into compare-and-swap transactions on the
// key-value store.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "jobs/jobs.hpp"
#include "service/context.hpp"
#include "state/feed.hpp"

namespace reachhoist::service {

// Called for each job that this controller itself has accepted or ended, after the reply to its user is
// queued.
using OnJobChange = std::function<void(jobs::JobTable::Change, const std::string& ref)>;

// Holds admitted jobs until their records are written. Jobs that arrive while transactions are in flight
// share the next one.
class SubmissionQueue {
 public:
  // `leadership` provides the write by which the first gang raises the record layout, so that versions that
  // cannot read gangs no longer lead.
  SubmissionQueue(Context& context, state::Feed& feed, jobs::JobTable& jobs,
                  const cluster::Leadership& leadership, OnJobChange onJobChange);
  SubmissionQueue(const SubmissionQueue&) = delete;

  // Queues a job, or adds the request to earlier requests for the same job. Each request is answered with 201
  // after the record is written, with 200 if another controller accepted the job first, or with 503.
  void add(std::uint64_t request, const std::string& ref, const wire::JobSpec& spec);
  // Sends queued jobs, up to the limit of transactions in flight. It must be called on each tick.
  void send();

 private:
  struct Submission {
    wire::JobSpec spec;
    std::vector<std::uint64_t> requests;
    Time deadline{};
  };
  // A job of a batch and the record that is written for it.
  struct JobRecord {
    std::string ref;
    Json record;
  };
  struct Batch {
    state::Transaction transaction;
    std::vector<JobRecord> jobs;
    std::size_t recordBytes = 0;  // size of the records in JSON form
    bool raisesLayout = false;
  };

  Batch nextBatch();
  bool hasSpace(const Batch& batch) const;
  bool mustRaiseLayout(const Submission& submission, const Batch& batch) const;
  bool addLayoutRaise(Batch& batch) const;
  void addJob(Batch& batch, const std::string& ref, const Submission& submission) const;

  void onResult(const std::vector<JobRecord>& batch, const wire::CallResult& result);
  void onAccepted(const std::vector<JobRecord>& batch, const wire::CallResult& result);
  void onConflict(const std::vector<JobRecord>& batch, const wire::CallResult& result);
  void onRateLimited(const std::vector<JobRecord>& batch);
  void answerFromExisting(const std::string& ref);
  // Drops the job and replies to its requests that the user should try again.
  void giveUp(const std::string& ref);

  Context& context_;
  state::Feed& feed_;
  jobs::JobTable& jobs_;
  const cluster::Leadership& leadership_;
  OnJobChange onJobChange_;
  std::map<std::string, Submission> submissions_;  // queued or in flight, by job reference
  std::deque<std::string> queue_;                  // references of the jobs that are not in flight
  int transactionsInFlight_ = 0;
  Time resumeAt_{};  // no transaction is sent before this time
};

}  // namespace reachhoist::service
