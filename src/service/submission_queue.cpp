#include "service/submission_queue.hpp"

#include <algorithm>
#include <utility>

#include "service/job_responses.hpp"
#include "state/answers.hpp"

namespace reachhoist::service {

namespace {

// Jobs that arrive while this many transactions are in flight share the next one.
constexpr int kMaxTransactionsInFlight = 3;
constexpr std::size_t kMaxBatchBytes = 48 * 1024;  // a transaction can hold 64 KiB
// The users' timeout is 2 s.
constexpr std::chrono::milliseconds kSubmissionTimeout{1500};

}  // namespace

SubmissionQueue::SubmissionQueue(Context& context, state::Feed& feed, jobs::JobTable& jobs,
                                 const cluster::Leadership& leadership, OnJobChange onJobChange)
    : context_(context),
      feed_(feed),
      jobs_(jobs),
      leadership_(leadership),
      onJobChange_(std::move(onJobChange)) {}

void SubmissionQueue::add(std::uint64_t request, const std::string& ref, const wire::JobSpec& spec) {
  Submission& submission = submissions_[ref];
  const bool isNew = submission.requests.empty();
  submission.requests.push_back(request);
  if (isNew) {
    submission.spec = spec;
    submission.deadline = context_.now + kSubmissionTimeout;
    queue_.push_back(ref);
  }
  send();
}

// --- sending -----------------------------------------------------------------------------------------------

void SubmissionQueue::send() {
  while (!queue_.empty() && transactionsInFlight_ < kMaxTransactionsInFlight && context_.now >= resumeAt_) {
    Batch batch = nextBatch();
    if (batch.jobs.empty()) return;
    ++transactionsInFlight_;
    auto onDone = [this, jobs = std::move(batch.jobs)](const wire::CallResult& result) {
      --transactionsInFlight_;
      onResult(jobs, result);
      send();
    };
    context_.state.transact(context_.now, state::Urgency::acceptance, batch.transaction, std::move(onDone));
  }
}

SubmissionQueue::Batch SubmissionQueue::nextBatch() {
  Batch batch;
  while (!queue_.empty() && hasSpace(batch)) {
    const std::string ref = queue_.front();
    const auto found = submissions_.find(ref);
    if (found != submissions_.end() && mustRaiseLayout(found->second, batch) && !addLayoutRaise(batch)) {
      // The gang goes into the next batch, which has space for the layout write.
      if (!batch.transaction.writes.empty()) break;
      // No term is known yet, so the layout cannot be raised.
      queue_.pop_front();
      giveUp(ref);
      continue;
    }
    queue_.pop_front();
    if (found != submissions_.end()) addJob(batch, ref, found->second);
  }
  return batch;
}

bool SubmissionQueue::hasSpace(const Batch& batch) const {
  return batch.transaction.writes.size() < context_.settings.stateLimits.opsPerTransaction &&
         batch.recordBytes < kMaxBatchBytes;
}

bool SubmissionQueue::mustRaiseLayout(const Submission& submission, const Batch& batch) const {
  return submission.spec.kind == wire::JobKind::gang && !leadership_.layoutRaised() && !batch.raisesLayout;
}

bool SubmissionQueue::addLayoutRaise(Batch& batch) const {
  constexpr std::size_t kWritesWithGang = 2;  // the layout and the gang itself
  const auto layout = leadership_.layoutRaisingWrite();
  if (!layout ||
      batch.transaction.writes.size() + kWritesWithGang > context_.settings.stateLimits.opsPerTransaction)
    return false;
  batch.transaction.conditions.push_back(layout->condition);
  batch.transaction.writes.push_back(layout->write);
  batch.raisesLayout = true;
  return true;
}

void SubmissionQueue::addJob(Batch& batch, const std::string& ref, const Submission& submission) const {
  jobs::Job job;
  job.spec = submission.spec;
  job.acceptedAtMs = context_.wallClockMs;
  Json record = jobs::encodeOpen(job);
  batch.recordBytes += record.dump().size();
  // Revision 0 requires that the job does not exist yet.
  batch.transaction.conditions.push_back({jobs::jobKey(ref), 0});
  batch.transaction.writes.push_back({jobs::jobKey(ref), record, std::nullopt});
  batch.jobs.push_back(JobRecord{ref, std::move(record)});
}

// --- results -----------------------------------------------------------------------------------------------

void SubmissionQueue::onResult(const std::vector<JobRecord>& batch, const wire::CallResult& result) {
  if (result.ok()) return onAccepted(batch, result);
  if (result.status == http::kConflict) return onConflict(batch, result);
  if (result.status == http::kTooManyRequests) return onRateLimited(batch);
  // The store refused the write, or the outcome is unknown. The user repeats the request, and the condition
  // on the job's key makes the retry idempotent.
  for (const JobRecord& job : batch) giveUp(job.ref);
}

void SubmissionQueue::onAccepted(const std::vector<JobRecord>& batch, const wire::CallResult& result) {
  const std::uint64_t revision = state::appliedRevision(result);
  for (const auto& [ref, record] : batch) {
    const auto change = jobs_.apply(ref, record, revision);
    const auto submission = submissions_.extract(ref);
    const jobs::Job& job = *jobs_.find(ref);
    if (!submission.empty()) {
      for (const std::uint64_t request : submission.mapped().requests)
        context_.reply(request, http::kCreated, jobSummary(job));
    }
    onJobChange_(change, ref);
  }
}

void SubmissionQueue::onConflict(const std::vector<JobRecord>& batch, const wire::CallResult& result) {
  // Some jobs of the batch have already been accepted, possibly by another controller. The others are sent
  // again without them.
  const std::vector<std::string> failedKeys = state::failedConditions(result);
  const auto conditionFailed = [&failedKeys](const std::string& key) {
    return std::find(failedKeys.begin(), failedKeys.end(), key) != failedKeys.end();
  };
  // The term's record has changed, and its feed delivers the new revision shortly.
  if (conditionFailed(cluster::kTermKey)) resumeAt_ = context_.now + constants::kTickInterval;
  for (const JobRecord& job : batch) {
    if (conditionFailed(jobs::jobKey(job.ref))) {
      answerFromExisting(job.ref);
    } else {
      queue_.push_front(job.ref);
    }
  }
}

void SubmissionQueue::onRateLimited(const std::vector<JobRecord>& batch) {
  resumeAt_ = context_.now + 2 * constants::kTickInterval;
  for (const JobRecord& job : batch) {
    if (submissions_[job.ref].deadline <= resumeAt_) {
      giveUp(job.ref);
    } else {
      queue_.push_front(job.ref);
    }
  }
}

void SubmissionQueue::answerFromExisting(const std::string& ref) {
  const auto submission = submissions_.extract(ref);
  if (submission.empty()) return;
  feed_.confirm(context_.now, [this, ref, requests = submission.mapped().requests](bool) {
    for (const std::uint64_t request : requests) replyExistingJob(context_, feed_, jobs_, request, ref);
  });
}

void SubmissionQueue::giveUp(const std::string& ref) {
  const auto submission = submissions_.extract(ref);
  if (submission.empty()) return;
  for (const std::uint64_t request : submission.mapped().requests) context_.replyTryAgain(request);
}

}  // namespace reachhoist::service
