// The API by which users submit, query and abort jobs. Each controller that has loaded the machine types
// serves it.
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
// reply, immediately or later. JobApi is not thread-safe.
class JobApi {
 public:
  // `onJobChange` is called for each job that this controller itself has accepted or ended.
  JobApi(Context& context, state::Feed& feed, jobs::JobTable& jobs, const cluster::Leadership& leadership,
         const OnJobChange& onJobChange);

  // Accepts a job. The reply is 201, or 200 if the job was accepted before; 400 for a malformed body, 422 for
  // a job that can never run, and 503 if the user should submit it again. `body` is the request's body.
  void submit(std::uint64_t request, const std::string& body);
  // Shows a job. The reply is 200, 404 or 503.
  void query(std::uint64_t request, const std::string& ref);
  // Cancels a job. The reply is 200, also if the job has already ended, or 404 or 503.
  void abort(std::uint64_t request, const std::string& ref);
  // Sends queued submissions. It must be called on each tick of the controller.
  void tick();

 private:
  // An abort request. Its write is retried when the job's record has changed concurrently.
  struct Abort {
    std::uint64_t request = 0;
    std::string ref;
    int attemptsLeft = 0;
  };

  // Answers with the rejection, unless a confirming read finds that the job has been accepted.
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
