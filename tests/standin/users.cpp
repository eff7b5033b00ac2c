#include "standin/users.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "standin/world.hpp"

namespace standin {

namespace {
constexpr double kPollIntervalS = 5;
constexpr double kPollTimeoutS = 2;
constexpr double kRequestTimeoutS = 5;
constexpr double kRetryDelayS = 1;
constexpr double kSubmissionRetryMaxS = 60;
// Longest time from the end of a job's last task to its cancellation, which falls around the time at which a
// controller records the end.
constexpr double kCancelAtEndDelayMaxS = 0.6;
constexpr int kFirstInvalidJobNumber = 900000;
constexpr const char* kUnknownRef = "job-999999999";

bool isSuccess(int status) { return status == 200 || status == 201; }
}  // namespace

void Users::request(const std::string& method, const std::string& target, const std::string& body,
                    double timeoutS, const Answer& onAnswer) {
  auto answered = std::make_shared<bool>(false);
  const auto deliverFirst = [answered, onAnswer](int status, const Json& answer) {
    if (!std::exchange(*answered, true)) onAnswer(status, answer);
  };
  world_.sendToController(world_.pickController(), method, target, body, deliverFirst);
  world_.sim.after(timeoutS, [deliverFirst] { deliverFirst(0, Json()); });
}

void Users::submit(const JobPlan& plan) {
  world_.workload.jobs[plan.spec.ref.text] = plan;
  world_.checker.onSubmitted(world_.sim.now(), plan.spec);
  sendSubmission(plan.spec.ref.text, world_.sim.now() + kSubmissionRetryMaxS);
}

void Users::sendSubmission(const std::string& ref, double retryUntilS) {
  const auto onAnswer = [this, ref, retryUntilS](int status, const Json& body) {
    const std::string stage = status < 300 && status > 0 ? body.value("stage", "") : "";
    world_.checker.onSubmissionAnswered(world_.sim.now(), ref, status, stage);
    if (isSuccess(status) || status == 400 || status == 422) {
      submissionStatus_[ref] = status;
    } else if (world_.sim.now() < retryUntilS) {
      world_.sim.after(kRetryDelayS, [this, ref, retryUntilS] { sendSubmission(ref, retryUntilS); });
    }
  };
  const std::string body = wire::encodeBody(wire::encodeJob(world_.workload.job(ref).spec));
  request("POST", "/api/jobs", body, kRequestTimeoutS, onAnswer);
}

void Users::cancel(const std::string& ref) {
  world_.checker.onCancellationRequested(ref);
  sendCancellation(ref);
}

void Users::sendCancellation(const std::string& ref) {
  const auto onAnswer = [this, ref](int status, const Json& body) {
    const std::string stage = status == 200 ? body.value("stage", "") : "";
    world_.checker.onCancellationAnswered(world_.sim.now(), ref, status, stage);
    if (status == 200) {
      lastStage_[ref] = stage;
    } else if (status != 404) {
      world_.sim.after(kRetryDelayS, [this, ref] { sendCancellation(ref); });
    }
  };
  request("POST", "/api/jobs/" + ref + "/abort", "", kRequestTimeoutS, onAnswer);
}

void Users::poll(const std::string& ref) {
  const auto onAnswer = [this, ref](int status, const Json& body) {
    const std::string stage = status == 200 ? body.value("stage", "") : "";
    world_.checker.onPollAnswered(world_.sim.now(), ref, status, stage);
    if (status == 200) lastStage_[ref] = stage;
  };
  request("GET", "/api/jobs/" + ref, "", kPollTimeoutS, onAnswer);
}

void Users::pollRegularly() {
  for (const auto& [ref, plan] : world_.workload.jobs)
    if (submissionStatus_.contains(ref)) poll(ref);
  poll(kUnknownRef);
  world_.sim.after(kPollIntervalS, [this] { pollRegularly(); });
}

void Users::onTaskCompleted(const wire::TaskId& task) {
  const double share = world_.faults.cancelAtEndShare;
  if (share <= 0) return;
  const wire::JobSpec& spec = world_.workload.jobOf(task).spec;
  if (!world_.workload.allFinished(spec)) return;
  if (!world_.sim.chance(share) || !cancelledAtEnd_.insert(spec.ref.text).second) return;
  // Sends a poll and a repeated submission along with the cancellation.
  world_.sim.after(world_.sim.uniform(0, kCancelAtEndDelayMaxS), [this, ref = spec.ref.text] {
    cancel(ref);
    poll(ref);
    sendSubmission(ref, world_.sim.now() + kSubmissionRetryMaxS);
  });
}

void Users::addAcceptedJob(const JobPlan& plan) {
  const std::string& ref = plan.spec.ref.text;
  world_.workload.jobs[ref] = plan;
  submissionStatus_[ref] = 201;
  world_.checker.onSubmitted(world_.sim.now(), plan.spec);
  world_.checker.onSubmissionAnswered(world_.sim.now(), ref, 201, "pending");
}

void Users::sendRepeatedAndInvalidRequests() {
  repeatKnownRequests();
  sendIncompleteSubmissions();
  sendUnrunnableSubmissions();
}

void Users::repeatKnownRequests() {
  for (const auto& [ref, plan] : std::map(world_.workload.jobs)) {
    if (!isAccepted(ref)) continue;
    if (lastStage(ref) == "done") {
      cancel(ref);
    } else {
      sendSubmission(ref, world_.sim.now() + kSubmissionRetryMaxS);
    }
  }
}

JobPlan Users::newInvalidJobPlan() {
  JobPlan plan;
  plan.spec.ref.text = "job-" + std::to_string(kFirstInvalidJobNumber + ++invalidJobCount_);
  plan.spec.team = world_.baseSettings.teams.front().name;
  plan.spec.jobClass = "invalid";
  plan.spec.image = "img-0";
  plan.spec.taskResources = {1, 0, 1};
  return plan;
}

void Users::sendInvalid(const JobPlan& plan, const Json& body) {
  const std::string ref = plan.spec.ref.text;
  world_.workload.jobs[ref] = plan;
  world_.checker.expectInvalid(ref);
  const auto onAnswer = [this, ref](int status, const Json&) {
    world_.checker.onInvalidSubmissionAnswered(world_.sim.now(), ref, status);
    if (status != 0) invalidSubmissionStatus_[ref] = status;
  };
  world_.sendToController(world_.pickController(), "POST", "/api/jobs", wire::encodeBody(body), onAnswer);
}

void Users::sendIncompleteSubmissions() {
  for (const char* field :
       {"ref", "lane", "crew", "shape", "rank", "loads", "vcpus", "accelerators", "memoryGb", "oneZone",
        "apart", "loaners", "crate", "sizeGb", "expectS", "stowEveryS", "stowS"}) {
    const JobPlan plan = newInvalidJobPlan();
    Json body = wire::encodeJob(plan.spec);
    body.erase(field);
    sendInvalid(plan, body);
  }
}

void Users::sendUnrunnableSubmissions() {
  const auto sendChanged = [this](auto change) {
    JobPlan plan = newInvalidJobPlan();
    change(plan.spec);
    sendInvalid(plan, wire::encodeJob(plan.spec));
  };
  sendChanged([](auto& spec) { spec.taskResources.vcpus = 1e6; });
  sendChanged([](auto& spec) { spec.taskResources.accelerators = 1; });
  sendChanged([](auto& spec) { spec.requiredZone = "nowhere"; });
  sendChanged([](auto& spec) { spec.allowedMachineTypes = std::vector<std::string>{"no-such-type"}; });
  sendChanged([](auto& spec) { spec.team = "nobody"; });
  sendChanged([](auto& spec) { spec.taskCount = 0; });
}

int Users::submissionStatus(const std::string& ref) const {
  const auto found = submissionStatus_.find(ref);
  return found == submissionStatus_.end() ? 0 : found->second;
}

bool Users::isAccepted(const std::string& ref) const {
  const int status = submissionStatus(ref);
  return status > 0 && status < 300;
}

std::string Users::lastStage(const std::string& ref) const {
  const auto found = lastStage_.find(ref);
  return found == lastStage_.end() ? "" : found->second;
}

std::size_t Users::countInStage(const std::string& stage) const {
  return static_cast<std::size_t>(std::count_if(lastStage_.begin(), lastStage_.end(),
                                                [&](const auto& entry) { return entry.second == stage; }));
}

}  // namespace standin
