// Responses of the job API that show a job to its user.
#pragma once

#include <string>

#include "jobs/jobs.hpp"
#include "service/context.hpp"
#include "state/feed.hpp"

namespace reachhoist::service {

// The job's stage and task counts, as a query shows them.
Json jobStatus(const jobs::Job& job);
// The job's stage alone, as a submission or an abort shows it.
Json jobSummary(const jobs::Job& job);

// Answers 404: no such job.
void replyNoSuchJob(Context& context, std::uint64_t request);
// Answers with the summary of a job that is known to exist. One that is not final is answered from a read
// that begins after the request came.
void replyExistingJob(Context& context, state::Feed& feed, jobs::JobTable& jobs, std::uint64_t request,
                      const std::string& ref);

}  // namespace reachhoist::service
