#include "service/job_responses.hpp"

namespace reachhoist::service {

Json jobStatus(const jobs::Job& job) {
  // Only the leader tracks single tasks. The other controllers show the counts of its last progress message.
  std::uint32_t done = job.tasks.empty() ? job.displayedCompleted : job.completedCount;
  std::uint32_t running = job.tasks.empty() ? job.displayedRunning : job.runningCount;
  if (job.phase == jobs::JobPhase::done) done = job.spec.taskCount;
  if (!job.isOpen()) running = 0;
  return Json{{"ref", job.spec.ref.text},
              {"stage", wire::name(job.displayedStage())},
              {"done", done},
              {"running", running}};
}

Json jobSummary(const jobs::Job& job) {
  return Json{{"ref", job.spec.ref.text}, {"stage", wire::name(job.displayedStage())}};
}

void replyNoSuchJob(Context& context, std::uint64_t request) {
  context.replyError(request, http::kNotFound, "no such job");
}

void replyExistingJob(Context& context, state::Feed& feed, jobs::JobTable& jobs, std::uint64_t request,
                      const std::string& ref) {
  if (const jobs::Job* job = jobs.find(ref); job != nullptr && !job->isOpen())
    return context.reply(request, http::kOk, jobSummary(*job));
  feed.confirm(context.now, [&context, &jobs, request, ref](bool confirmed) {
    const jobs::Job* job = jobs.find(ref);
    if (!confirmed || job == nullptr) return context.replyTryAgain(request);
    context.reply(request, http::kOk, jobSummary(*job));
  });
}

}  // namespace reachhoist::service
