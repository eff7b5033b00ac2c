// Responses of the job API that show a job to its user.
#pragma once

#include <string>

#include "jobs/jobs.hpp"
#include "service/context.hpp"
#include "state/feed.hpp"

namespace reachhoist::service {

// Returns the job's stage and task counts, the body of a reply to a query.
Json jobStatus(const jobs::Job& job);
// Returns the job's stage, the body of a reply to a submission or an abort.
Json jobSummary(const jobs::Job& job);

// Replies 404 with the error "no such job".
void replyNoSuchJob(Context& context, std::uint64_t request);
// Replies with the summary of an existing job. If the job's stage is not final, the reply is based on a read
// that begins after the request arrived.
void replyExistingJob(Context& context, state::Feed& feed, jobs::JobTable& jobs, std::uint64_t request,
                      const std::string& ref);

}  // namespace reachhoist::service
