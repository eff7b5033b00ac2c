// Job records, and the tracking of the phases of tasks.
#include "jobs/jobs.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace reachhoist::jobs {

namespace {
constexpr char kHex[] = "0123456789abcdef";
constexpr std::uint32_t kTasksPerHexDigit = 4;
// Limits the doublings of a gang's scale-out backoff, so that the shift stays in range.
constexpr int kMaxGangScaleOutDoublings = 6;

// Names of the enumerators, in their order.
constexpr std::array<std::string_view, 3> kJobPhaseNames{"accepted", "done", "cancelled"};
constexpr std::array<std::string_view, 7> kGangStateNames{"waiting",  "reserving", "gathering", "running",
                                                          "stopping", "clearing",  "done"};

int hexValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return -1;
}
}  // namespace

std::string_view name(JobPhase phase) { return kJobPhaseNames.at(static_cast<std::size_t>(phase)); }

std::string_view name(GangState state) { return kGangStateNames.at(static_cast<std::size_t>(state)); }

void Gang::recordPartialScaleOut(Time now) {
  ++partialScaleOuts;
  // There is no backoff the first time, as another pool may have enough instances.
  if (partialScaleOuts == 1) return;
  const auto backoff =
      constants::kRefusedPoolBackoff * (1 << std::min(partialScaleOuts - 2, kMaxGangScaleOutDoublings));
  nextScaleOutAt = now + std::min<std::chrono::milliseconds>(backoff, constants::kMaxGangScaleOutBackoff);
}

std::string jobKey(const std::string& ref) { return "jobs/" + ref; }
std::string doneKey(const std::string& ref, std::uint32_t chunk) {
  return "done/" + ref + "/" + std::to_string(chunk);
}

wire::JobStage Job::displayedStage() const {
  if (phase == JobPhase::done) return wire::JobStage::done;
  if (phase == JobPhase::cancelled) return wire::JobStage::cancelled;
  return (tasks.empty() ? displayedRunning : runningCount) > 0 ? wire::JobStage::running
                                                               : wire::JobStage::pending;
}

void Job::setTaskPhase(std::uint32_t index, TaskPhase next, Time now) {
  TaskPhase& phase = tasks.at(index);
  if (phase == next) return;
  const auto counter = [this](TaskPhase counted) -> std::uint32_t& {
    return counted == TaskPhase::waiting  ? waitingCount
           : counted == TaskPhase::placed ? placedCount
                                          : completedCount;
  };
  --counter(phase);
  ++counter(next);
  phase = next;
  if (next == TaskPhase::placed) lastPlacedAt = now;
  if (next == TaskPhase::waiting) {
    if (waitingCount == 1) waitingSince = now;
    firstWaitingIndex = std::min(firstWaitingIndex, index);
  }
  while (firstWaitingIndex < spec.taskCount && tasks[firstWaitingIndex] != TaskPhase::waiting)
    ++firstWaitingIndex;
}

void Job::beginTracking(Time now) {
  tasks.assign(spec.taskCount, TaskPhase::waiting);
  waitingCount = spec.taskCount;
  placedCount = runningCount = completedCount = firstWaitingIndex = 0;
  doneRevisions.clear();
  dirtyChunks.clear();
  failures.reset();
  backoffUntil = Time{};
  gang = Gang{};
  waitingSince = lastPlacedAt = now;
}

void Job::endTracking() {
  displayedCompleted = completedCount;
  displayedRunning = runningCount;
  tasks.clear();
  tasks.shrink_to_fit();
  waitingCount = placedCount = runningCount = completedCount = firstWaitingIndex = 0;
  doneRevisions.clear();
  dirtyChunks.clear();
  failures.reset();
}

std::string Job::encodeDoneChunk(std::uint32_t chunk) const {
  const std::uint32_t begin = chunk * constants::kTasksPerDoneChunk;
  const std::uint32_t end = std::min(spec.taskCount, begin + constants::kTasksPerDoneChunk);
  std::string hex;
  for (std::uint32_t first = begin; first < end; first += kTasksPerHexDigit) {
    unsigned digit = 0;
    for (std::uint32_t bit = 0; bit < kTasksPerHexDigit && first + bit < end; ++bit)
      if (tasks[first + bit] == TaskPhase::completed) digit |= 1U << bit;
    hex.push_back(kHex[digit]);
  }
  return hex;
}

bool Job::loadDoneChunk(std::uint32_t chunk, const std::string& hex, std::uint64_t revision, Time now) {
  const std::uint32_t begin = chunk * constants::kTasksPerDoneChunk;
  if (chunk > spec.taskCount / constants::kTasksPerDoneChunk) return false;
  if (hex.size() > constants::kTasksPerDoneChunk / kTasksPerHexDigit) return false;
  for (std::size_t i = 0; i < hex.size(); ++i) {
    const int digit = hexValue(hex[i]);
    if (digit < 0) return false;
    for (std::uint32_t bit = 0; bit < kTasksPerHexDigit; ++bit) {
      const std::uint32_t index = begin + static_cast<std::uint32_t>(i) * kTasksPerHexDigit + bit;
      if ((static_cast<unsigned>(digit) >> bit & 1U) != 0 && index < spec.taskCount)
        setTaskPhase(index, TaskPhase::completed, now);
    }
  }
  doneRevisions[chunk] = revision;
  return true;
}

std::int64_t Job::deadlineMs() const {
  if (!spec.deadlineS) return std::numeric_limits<std::int64_t>::max();
  return acceptedAtMs + static_cast<std::int64_t>(*spec.deadlineS * 1000);
}

Json encodeOpen(const Job& job) {
  return Json{
      {"phase", name(JobPhase::accepted)}, {"atMs", job.acceptedAtMs}, {"spec", wire::encodeJob(job.spec)}};
}

Json encodeFinal(const Job& job, JobPhase phase) {
  // The record keeps the team and the task size, as tasks that are still on machines count towards the team's
  // quota.
  return Json{{"phase", name(phase)},
              {"atMs", job.acceptedAtMs},
              {"loads", job.spec.taskCount},
              {"crew", job.spec.team},
              {"vcpus", job.spec.taskResources.vcpus},
              {"accelerators", job.spec.taskResources.accelerators},
              {"memoryGb", job.spec.taskResources.memoryGb}};
}

JobTable::Change JobTable::apply(const std::string& ref, const Json& value, std::uint64_t revision) {
  const Job* existing = find(ref);
  if (existing != nullptr && existing->revision >= revision) return Change::none;
  const auto phase = wire::textField(value, "phase");
  if (!phase || !wire::isValidJobRef(ref)) return Change::malformed;
  if (*phase == name(JobPhase::accepted)) return applyOpen(ref, value, revision);
  if (*phase == name(JobPhase::done)) return applyFinal(ref, JobPhase::done, value, revision);
  if (*phase == name(JobPhase::cancelled)) return applyFinal(ref, JobPhase::cancelled, value, revision);
  return Change::malformed;
}

JobTable::Change JobTable::applyOpen(const std::string& ref, const Json& value, std::uint64_t revision) {
  const Job* existing = find(ref);
  const Json* spec = wire::field(value, "spec");
  auto decoded = spec != nullptr ? wire::decodeJob(*spec) : wire::Result<wire::JobSpec>::failure("no spec");
  if (!decoded) return Change::malformed;
  // A final job never becomes open again, even if a newer record says so.
  if (existing != nullptr && !existing->isOpen()) return Change::malformed;
  const bool isNew = existing == nullptr;
  const Json* acceptedAtMs = wire::field(value, "atMs");
  Job& job = jobs_[ref];
  job.revision = revision;
  job.acceptedAtMs =
      acceptedAtMs != nullptr && acceptedAtMs->is_number() ? acceptedAtMs->get<std::int64_t>() : 0;
  if (isNew) job.spec = std::move(*decoded);
  open_.insert(ref);
  return isNew ? Change::accepted : Change::none;
}

JobTable::Change JobTable::applyFinal(const std::string& ref, JobPhase phase, const Json& value,
                                      std::uint64_t revision) {
  const Job* existing = find(ref);
  const bool wasFinal = existing != nullptr && !existing->isOpen();
  Job& job = jobs_[ref];
  job.revision = revision;
  if (wasFinal) return job.phase == phase ? Change::none : Change::malformed;
  job.phase = phase;
  wire::JobSpec finalSpec;
  finalSpec.ref.text = ref;
  finalSpec.taskCount =
      static_cast<std::uint32_t>(wire::countField(value, "loads").value_or(job.spec.taskCount));
  finalSpec.team = wire::textField(value, "crew").value_or(job.spec.team);
  finalSpec.taskResources.vcpus = wire::amountField(value, "vcpus").value_or(job.spec.taskResources.vcpus);
  finalSpec.taskResources.accelerators =
      wire::amountField(value, "accelerators").value_or(job.spec.taskResources.accelerators);
  finalSpec.taskResources.memoryGb =
      wire::amountField(value, "memoryGb").value_or(job.spec.taskResources.memoryGb);
  job.spec = std::move(finalSpec);
  open_.erase(ref);
  return Change::ended;
}

Job* JobTable::find(const std::string& ref) {
  const auto found = jobs_.find(ref);
  return found == jobs_.end() ? nullptr : &found->second;
}

bool isProgressKeyOfEndedJob(JobTable& jobs, const std::string& key) {
  constexpr std::string_view kPrefix = "done/";
  if (!key.starts_with(kPrefix)) return false;
  const Job* job = jobs.find(key.substr(kPrefix.size(), key.rfind('/') - kPrefix.size()));
  return job != nullptr && !job->isOpen();
}

}  // namespace reachhoist::jobs
