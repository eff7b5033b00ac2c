#include "service/job_api.hpp"

#include <algorithm>

namespace reachhoist::service {

namespace {
constexpr int kFlyingMost = 3;  // acceptances under way at once; beyond that they share transactions
constexpr int kAbortTries = 4;  // each lost race means that the job has changed in between
constexpr std::size_t kBatchBytes = 48 * 1024;        // of one transaction, which may hold 64 KiB
constexpr std::chrono::milliseconds kPatience{1500};  // a submission is answered by then: 503 if need be
}  // namespace

JobApi::JobApi(Context& context, state::Feed& feed, jobs::JobTable& jobs,
               const cluster::Leadership& leadership, Applied applied)
    : context_(context), feed_(feed), jobs_(jobs), leadership_(leadership), applied_(std::move(applied)) {}

Json JobApi::shown(const jobs::Job& job) const {
  std::uint32_t done = job.tasks.empty() ? job.displayedDone : job.completed;
  std::uint32_t running = job.tasks.empty() ? job.displayedRunning : job.running;
  if (job.phase == jobs::JobPhase::done) done = job.spec.taskCount;
  if (!job.open()) running = 0;
  return Json{{"ref", job.spec.ref.text},
              {"stage", wire::name(job.displayedStage())},
              {"done", done},
              {"running", running}};
}

Json JobApi::brief(const jobs::Job& job) const {
  return Json{{"ref", job.spec.ref.text}, {"stage", wire::name(job.displayedStage())}};
}

void JobApi::query(std::uint64_t request, const std::string& ref) {
  if (!wire::validJobRef(ref)) return context_.reply(request, 404, Json{{"error", "no such job"}});
  // A final stage never changes, so memory will do; anything else needs a read begun after the request came.
  if (const jobs::Job* job = jobs_.find(ref); job != nullptr && !job->open())
    return context_.reply(request, 200, shown(*job));
  feed_.confirm(context_.now, [this, request, ref](bool ok) {
    if (!ok) return context_.later(request);
    const jobs::Job* job = jobs_.find(ref);
    if (job == nullptr) return context_.reply(request, 404, Json{{"error", "no such job"}});
    context_.reply(request, 200, shown(*job));
  });
}

void JobApi::answerKnown(std::uint64_t request, const std::string& ref) {
  if (const jobs::Job* job = jobs_.find(ref); job != nullptr && !job->open())
    return context_.reply(request, 200, brief(*job));
  feed_.confirm(context_.now, [this, request, ref](bool ok) {
    const jobs::Job* job = jobs_.find(ref);
    if (!ok || job == nullptr) return context_.later(request);
    context_.reply(request, 200, brief(*job));
  });
}

std::optional<std::string> JobApi::cannotRun(const wire::JobSpec& spec) const {
  const config::Team* team = context_.settings.team(spec.team);
  if (team == nullptr) return "unknown team";
  const bool fits = std::any_of(
      context_.catalog->begin(), context_.catalog->end(), [&](const wire::MachineType& machineType) {
        if (!spec.allowsMachineType(machineType.label) || !spec.each.fitsIn(machineType.capacity))
          return false;
        return spec.zone ? std::find(machineType.zones.begin(), machineType.zones.end(), *spec.zone) !=
                               machineType.zones.end()
                         : !machineType.zones.empty();
      });
  if (!fits) return "a task fits no allowed machine type";
  const double atOnce = spec.kind == wire::JobKind::array ? 1 : spec.taskCount;
  if ((team->cpusMax > 0 && spec.each.vcpus * atOnce > team->cpusMax + 1e-6) ||
      (team->gpusMax > 0 && spec.each.accelerators * atOnce > team->gpusMax + 1e-6))
    return "needs more than the team's limit";
  return std::nullopt;
}

void JobApi::submit(std::uint64_t request, const std::string& body) {
  const auto decoded = wire::decodeBody(body);
  if (!decoded || !decoded->is_object())
    return context_.reply(request, 400, Json{{"error", decoded ? "body is not a map" : decoded.reason()}});
  const std::string ref = wire::textField(*decoded, "ref").value_or("");
  auto spec = wire::decodeJob(*decoded);
  if (!wire::validJobRef(ref)) return context_.reply(request, 400, Json{{"error", spec.reason()}});
  // A job once accepted stays so, whatever its body would be judged to be now.
  if (jobs_.find(ref) != nullptr) return answerKnown(request, ref);
  if (!feed_.ready() || feed_.failing() || !context_.catalog) return context_.later(request);
  std::optional<std::string> why;
  if (spec) why = cannotRun(*spec);
  if (spec && !why) {
    if (spec->machineTypes) {
      // Types that don't exist can't matter, and a record must fit the state service's value limit.
      std::erase_if(*spec->machineTypes, [this](const std::string& label) {
        return std::none_of(context_.catalog->begin(), context_.catalog->end(),
                            [&](const wire::MachineType& machineType) { return machineType.label == label; });
      });
    }
    jobs::Job probe;
    probe.spec = *spec;
    if (static_cast<double>(jobs::encodeOpen(probe).dump().size()) >
        context_.settings.state.valueKb * 1024 * constants::kMaxValueFill)
      return refuse(request, ref, 422, "too large to be stored");
    Submission& submission = submissions_[ref];
    const bool fresh = submission.requests.empty();
    submission.requests.push_back(request);
    if (fresh) {
      submission.spec = std::move(*spec);
      submission.deadline = context_.now + kPatience;
      queue_.push_back(ref);
    }
    return sendSubmissions();
  }
  refuse(request, ref, spec ? 422 : 400, spec ? *why : spec.reason());
}

void JobApi::refuse(std::uint64_t request, const std::string& ref, int status, const std::string& reason) {
  // Unless another controller knows the job.
  feed_.confirm(context_.now, [this, request, ref, status, reason](bool ok) {
    if (!ok) return context_.later(request);
    if (jobs_.find(ref) != nullptr) return answerKnown(request, ref);
    context_.reply(request, status, Json{{"error", reason}});
  });
}

void JobApi::sendSubmissions() {
  while (!queue_.empty() && flying_ < kFlyingMost && context_.now >= resumeAt_) {
    // What has gathered while others were under way goes out together.
    state::Transaction transaction;
    std::vector<std::string> refs;
    std::vector<Json> records;
    std::size_t bytes = 0;
    bool raised = false;
    while (!queue_.empty() && transaction.writes.size() < context_.settings.state.opsPerTransaction &&
           bytes < kBatchBytes) {
      const std::string ref = queue_.front();
      const auto found = submissions_.find(ref);
      if (found != submissions_.end() && found->second.spec.kind == wire::JobKind::gang &&
          !leadership_.layoutRaised() && !raised) {
        const auto fence = leadership_.raiseLayout();
        if (!fence || transaction.writes.size() + 2 > context_.settings.state.opsPerTransaction) {
          if (!transaction.writes.empty()) break;
          queue_.pop_front();
          giveUp(ref);  // no term is known yet
          continue;
        }
        transaction.conditions.push_back(fence->first);
        transaction.writes.push_back(fence->second);
        raised = true;
      }
      queue_.pop_front();
      if (found == submissions_.end()) continue;
      jobs::Job job;
      job.spec = found->second.spec;
      job.acceptedMs = context_.wallMs;
      Json record = jobs::encodeOpen(job);
      bytes += record.dump().size();
      found->second.sent = true;
      transaction.conditions.push_back({jobs::jobKey(ref), 0});
      transaction.writes.push_back({jobs::jobKey(ref), record, std::nullopt});
      refs.push_back(ref);
      records.push_back(std::move(record));
    }
    if (refs.empty()) return;
    ++flying_;
    context_.state.multi(context_.now, state::Urgency::accept, transaction,
                         [this, refs, records](const wire::CallResult& result) {
                           --flying_;
                           onSubmissions(refs, records, result);
                           sendSubmissions();
                         });
  }
}

void JobApi::onSubmissions(const std::vector<std::string>& refs, const std::vector<Json>& records,
                           const wire::CallResult& result) {
  if (result.ok()) {
    const std::uint64_t revision = wire::countField(result.body, "ledger").value_or(0);
    for (std::size_t i = 0; i < refs.size(); ++i) {
      const auto change = jobs_.apply(refs[i], records[i], revision);
      auto submission = submissions_.extract(refs[i]);
      const jobs::Job& job = *jobs_.find(refs[i]);
      if (!submission.empty())
        for (const std::uint64_t request : submission.mapped().requests)
          context_.reply(request, 201, brief(job));
      applied_(change, refs[i]);
    }
    return;
  }
  if (result.status == 409) {
    // Some were accepted before, perhaps by another controller; the others go out again without them.
    const Json* failed = wire::field(result.body, "failed");
    // The term's record had moved: the feed tells within moments.
    if (failed != nullptr &&
        std::find(failed->begin(), failed->end(), Json(cluster::kTermKey)) != failed->end())
      resumeAt_ = context_.now + constants::kTickInterval;
    for (const std::string& ref : refs) {
      const bool known = failed != nullptr && failed->is_array() &&
                         std::find(failed->begin(), failed->end(), Json(jobs::jobKey(ref))) != failed->end();
      if (!known) {
        queue_.push_front(ref);
        continue;
      }
      auto submission = submissions_.extract(ref);
      if (submission.empty()) continue;
      feed_.confirm(context_.now, [this, ref, requests = submission.mapped().requests](bool) {
        for (const std::uint64_t request : requests) answerKnown(request, ref);
      });
    }
    return;
  }
  if (result.status == 429) {
    resumeAt_ = context_.now + 2 * constants::kTickInterval;
    for (const std::string& ref : refs) {
      if (submissions_[ref].deadline <= resumeAt_) {
        giveUp(ref);
      } else {
        queue_.push_front(ref);
      }
    }
    return;
  }
  // Not carried out, or nobody knows: the user asks again, and the condition sorts out which it was.
  for (const std::string& ref : refs) giveUp(ref);
}

void JobApi::giveUp(const std::string& ref) {
  auto submission = submissions_.extract(ref);
  if (submission.empty()) return;
  for (const std::uint64_t request : submission.mapped().requests) context_.later(request);
}

void JobApi::abort(std::uint64_t request, const std::string& ref) {
  if (!wire::validJobRef(ref)) return context_.reply(request, 404, Json{{"error", "no such job"}});
  tryAbort(request, ref, kAbortTries);
}

void JobApi::tryAbort(std::uint64_t request, const std::string& ref, int tries) {
  const jobs::Job* job = jobs_.find(ref);
  if (job != nullptr && !job->open()) return context_.reply(request, 200, brief(*job));
  if (tries == 0) return context_.later(request);
  const auto catchUp = [this, request, ref, tries] {
    feed_.confirm(context_.now, [this, request, ref, tries](bool ok) {
      if (!ok) return context_.later(request);
      if (jobs_.find(ref) == nullptr) return context_.reply(request, 404, Json{{"error", "no such job"}});
      tryAbort(request, ref, tries - 1);
    });
  };
  if (job == nullptr) return catchUp();
  state::Transaction transaction;
  transaction.conditions.push_back({jobs::jobKey(ref), job->revision});
  const Json record = jobs::encodeFinal(*job, jobs::JobPhase::cancelled);
  transaction.writes.push_back({jobs::jobKey(ref), record, std::nullopt});
  context_.state.multi(context_.now, state::Urgency::accept, transaction,
                       [this, request, ref, record, catchUp](const wire::CallResult& result) {
                         if (result.status == 409) return catchUp();
                         if (!result.ok()) return context_.later(request);
                         const auto change =
                             jobs_.apply(ref, record, wire::countField(result.body, "ledger").value_or(0));
                         context_.reply(request, 200, brief(*jobs_.find(ref)));
                         applied_(change, ref);
                       });
}

void JobApi::tick() { sendSubmissions(); }

}  // namespace reachhoist::service
