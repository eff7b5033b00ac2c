// The users' API: submit, query and abort jobs. Each controller that knows the machine types serves it.
#pragma once

#include <string>

#include "cluster/leadership.hpp"
#include "jobs/jobs.hpp"
#include "service/context.hpp"
#include "service/job_admission.hpp"
#include "service/submission_queue.hpp"
#include "state/feed.hpp"

namespace reachhoist::service {

// Answers requests about jobs from the job table and the key-value store. Every request gets exactly one
// reply, at once or later. Not thread-safe.
class JobApi {
 public:
  // onJobChange: called for each job that this controller itself has accepted or ended.
  JobApi(Context& context, state::Feed& feed, jobs::JobTable& jobs, const cluster::Leadership& leadership,
         const OnJobChange& onJobChange);

  // Accepts a job: 201, or 200 if it has been accepted before; 400 for a malformed body, 422 for a job that
  // can never run, 503 if it should be submitted again. `body` is the request's body.
  void submit(std::uint64_t request, const std::string& body);
  // Shows a job: 200, 404 or 503.
  void query(std::uint64_t request, const std::string& ref);
  // Cancels a job: 200, also if it has ended before; 404 or 503.
  void abort(std::uint64_t request, const std::string& ref);
  // To be called on each tick of the controller.
  void tick();

 private:
  // An abort, which is repeated while the job's record changes concurrently.
  struct Abort {
    std::uint64_t request = 0;
    std::string ref;
    int attemptsLeft = 0;
  };

  // Answers with the rejection, unless the key-value store knows the job as accepted.
  void reject(std::uint64_t request, const std::string& ref, const Rejection& rejection);
  void replyExisting(std::uint64_t request, const std::string& ref);
  void tryAbort(const Abort& abort);
  void retryAbort(const Abort& abort);
  void onAbortWritten(const Abort& abort, const Json& record, const wire::CallResult& result);

  Context& context_;
  state::Feed& feed_;
  jobs::JobTable& jobs_;
  OnJobChange onJobChange_;
  SubmissionQueue submissions_;
};

}  // namespace reachhoist::service
