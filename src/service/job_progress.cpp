#include "service/job_progress.hpp"

#include <algorithm>

namespace reachhoist::service {

namespace {
// Every fifth message covers all jobs, because messages between controllers can be lost.
constexpr int kFullProgressInterval = 5;
}  // namespace

void ProgressPublisher::publish(Leader& leader) {
  const bool allJobs = ++publishCount_ % kFullProgressInterval == 0;
  send(leader.progress(allJobs));
}

void ProgressPublisher::send(const peer::Progress& progress) {
  // The progress is split into several messages, because a frame that is too large is dropped as a whole, and
  // so would every later frame of the same size.
  const auto jobs = progress.jobs.begin();
  for (std::size_t begin = 0; begin < progress.jobs.size(); begin += constants::kMaxJobsPerProgressMessage) {
    const std::size_t end = std::min(progress.jobs.size(), begin + constants::kMaxJobsPerProgressMessage);
    const auto first = jobs + static_cast<std::ptrdiff_t>(begin);
    const auto last = jobs + static_cast<std::ptrdiff_t>(end);
    context_.broadcast(peer::Progress{progress.term, {first, last}});
  }
}

void ProgressReceiver::apply(const peer::Progress& progress) {
  if (progress.term < latestTerm_) return;
  latestTerm_ = progress.term;
  for (const peer::JobProgress& received : progress.jobs) {
    jobs::Job* job = jobs_.find(received.ref);
    if (job == nullptr || !job->isOpen()) continue;
    job->displayedCompleted = received.done;
    job->displayedRunning = received.running;
  }
}

}  // namespace reachhoist::service
