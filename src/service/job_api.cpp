#include "service/job_api.hpp"

#include "service/job_responses.hpp"
#include "state/answers.hpp"

namespace reachhoist::service {

namespace {
constexpr int kMaxAbortAttempts = 4;  // a conflict means that the job's record has changed concurrently
}  // namespace

JobApi::JobApi(Context& context, state::Feed& feed, jobs::JobTable& jobs,
               const cluster::Leadership& leadership, const OnJobChange& onJobChange)
    : context_(context),
      feed_(feed),
      jobs_(jobs),
      onJobChange_(onJobChange),
      submissions_(context, feed, jobs, leadership, onJobChange) {}

// --- query -------------------------------------------------------------------------------------------------

void JobApi::query(std::uint64_t request, const std::string& ref) {
  if (!wire::isValidJobRef(ref)) return replyNoSuchJob(context_, request);
  // A final stage never changes. Any other stage needs a read that begins after the request arrived.
  if (const jobs::Job* job = jobs_.find(ref); job != nullptr && !job->isOpen())
    return context_.reply(request, http::kOk, jobStatus(*job));
  feed_.confirm(context_.now, [this, request, ref](bool confirmed) {
    if (!confirmed) return context_.replyTryAgain(request);
    const jobs::Job* job = jobs_.find(ref);
    if (job == nullptr) return replyNoSuchJob(context_, request);
    context_.reply(request, http::kOk, jobStatus(*job));
  });
}

void JobApi::replyExisting(std::uint64_t request, const std::string& ref) {
  replyExistingJob(context_, feed_, jobs_, request, ref);
}

// --- submit ------------------------------------------------------------------------------------------------

void JobApi::submit(std::uint64_t request, const std::string& body) {
  const auto decoded = wire::decodeBody(body);
  if (!decoded || !decoded->is_object())
    return context_.replyError(request, http::kBadRequest, decoded ? "body is not a map" : decoded.reason());
  const std::string ref = wire::textField(*decoded, "ref").value_or("");
  auto spec = wire::decodeJob(*decoded);
  if (!wire::isValidJobRef(ref)) return context_.replyError(request, http::kBadRequest, spec.reason());
  // An accepted job remains accepted even if this body would now be rejected.
  if (jobs_.find(ref) != nullptr) return replyExisting(request, ref);
  if (!feed_.isReady() || feed_.isFailing() || !context_.catalog) return context_.replyTryAgain(request);
  if (!spec) return reject(request, ref, Rejection{http::kBadRequest, spec.reason()});
  if (const auto rejection = admit(*spec, *context_.catalog, context_.settings))
    return reject(request, ref, *rejection);
  submissions_.add(request, ref, *spec);
}

void JobApi::reject(std::uint64_t request, const std::string& ref, const Rejection& rejection) {
  feed_.confirm(context_.now, [this, request, ref, rejection](bool confirmed) {
    if (!confirmed) return context_.replyTryAgain(request);
    if (jobs_.find(ref) != nullptr) return replyExisting(request, ref);
    context_.replyError(request, rejection.status, rejection.reason);
  });
}

// --- abort -------------------------------------------------------------------------------------------------

void JobApi::abort(std::uint64_t request, const std::string& ref) {
  if (!wire::isValidJobRef(ref)) return replyNoSuchJob(context_, request);
  tryAbort(Abort{request, ref, kMaxAbortAttempts});
}

void JobApi::tryAbort(const Abort& abort) {
  const jobs::Job* job = jobs_.find(abort.ref);
  if (job != nullptr && !job->isOpen()) return context_.reply(abort.request, http::kOk, jobSummary(*job));
  if (abort.attemptsLeft == 0) return context_.replyTryAgain(abort.request);
  if (job == nullptr) return retryAbort(abort);
  state::Transaction transaction;
  transaction.conditions.push_back({jobs::jobKey(abort.ref), job->revision});
  const Json record = jobs::encodeFinal(*job, jobs::JobPhase::cancelled);
  transaction.writes.push_back({jobs::jobKey(abort.ref), record, std::nullopt});
  context_.state.transact(
      context_.now, state::Urgency::acceptance, transaction,
      [this, abort, record](const wire::CallResult& result) { onAbortWritten(abort, record, result); });
}

void JobApi::retryAbort(const Abort& abort) {
  feed_.confirm(context_.now, [this, abort](bool confirmed) {
    if (!confirmed) return context_.replyTryAgain(abort.request);
    if (jobs_.find(abort.ref) == nullptr) return replyNoSuchJob(context_, abort.request);
    tryAbort(Abort{abort.request, abort.ref, abort.attemptsLeft - 1});
  });
}

void JobApi::onAbortWritten(const Abort& abort, const Json& record, const wire::CallResult& result) {
  if (result.status == http::kConflict) return retryAbort(abort);
  if (!result.ok()) return context_.replyTryAgain(abort.request);
  const auto change = jobs_.apply(abort.ref, record, state::appliedRevision(result));
  context_.reply(abort.request, http::kOk, jobSummary(*jobs_.find(abort.ref)));
  onJobChange_(change, abort.ref);
}

void JobApi::tick() { submissions_.send(); }

}  // namespace reachhoist::service
