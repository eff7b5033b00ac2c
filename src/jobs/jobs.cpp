#include "jobs/jobs.hpp"

#include <algorithm>
#include <limits>

namespace reachhoist::jobs {

namespace {
constexpr char kHex[] = "0123456789abcdef";

int hexValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return -1;
}
}  // namespace

std::string_view name(JobPhase phase) {
  switch (phase) {
    case JobPhase::accepted:
      return "accepted";
    case JobPhase::done:
      return "done";
    case JobPhase::cancelled:
      return "cancelled";
  }
  return "accepted";
}

std::string_view name(GangState phase) {
  switch (phase) {
    case GangState::waiting:
      return "waiting";
    case GangState::reserving:
      return "reserving";
    case GangState::gathering:
      return "gathering";
    case GangState::running:
      return "running";
    case GangState::stopping:
      return "stopping";
    case GangState::clearing:
      return "clearing";
    case GangState::done:
      return "done";
  }
  return "waiting";
}

void Gang::scaleOutFellShort(Time now) {
  ++partialScaleOuts;
  // Another pool may have what the first one lacked.
  if (partialScaleOuts == 1) return;
  const auto pause = constants::kRefusedPoolBackoff * (1 << std::min(partialScaleOuts - 2, 6));
  nextScaleOut = now + std::min<std::chrono::milliseconds>(pause, constants::kMaxGangScaleOutBackoff);
}

std::string jobKey(const std::string& ref) { return "jobs/" + ref; }
std::string doneKey(const std::string& ref, std::uint32_t chunk) {
  return "done/" + ref + "/" + std::to_string(chunk);
}

wire::Stage Job::displayedStage() const {
  if (phase == JobPhase::done) return wire::Stage::done;
  if (phase == JobPhase::cancelled) return wire::Stage::cancelled;
  return (tasks.empty() ? displayedRunning : running) > 0 ? wire::Stage::running : wire::Stage::pending;
}

void Job::to(std::uint32_t index, TaskPhase next, Time now) {
  TaskPhase& phase = tasks.at(index);
  if (phase == next) return;
  const auto counter = [this](TaskPhase of) -> std::uint32_t& {
    return of == TaskPhase::waiting ? waiting : of == TaskPhase::placed ? placed : completed;
  };
  --counter(phase);
  ++counter(next);
  phase = next;
  if (next == TaskPhase::placed) lastPlaced = now;
  if (next == TaskPhase::waiting) {
    if (waiting == 1) waitingSince = now;
    firstWaiting = std::min(firstWaiting, index);
  }
  while (firstWaiting < spec.taskCount && tasks[firstWaiting] != TaskPhase::waiting) ++firstWaiting;
}

void Job::beginTracking(Time now) {
  tasks.assign(spec.taskCount, TaskPhase::waiting);
  waiting = spec.taskCount;
  placed = running = completed = firstWaiting = 0;
  doneRevisions.clear();
  dirtyChunks.clear();
  failures.reset();
  backoffUntil = Time{};
  gang = Gang{};
  waitingSince = lastPlaced = now;
}

void Job::endTracking() {
  displayedDone = completed;
  displayedRunning = running;
  tasks.clear();
  tasks.shrink_to_fit();
  waiting = placed = running = completed = firstWaiting = 0;
  doneRevisions.clear();
  dirtyChunks.clear();
  failures.reset();
}

std::string Job::doneChunk(std::uint32_t chunk) const {
  const std::uint32_t begin = chunk * constants::kTasksPerDoneChunk;
  const std::uint32_t end = std::min(spec.taskCount, begin + constants::kTasksPerDoneChunk);
  std::string hex;
  for (std::uint32_t at = begin; at < end; at += 4) {
    unsigned nibble = 0;
    for (std::uint32_t bit = 0; bit < 4 && at + bit < end; ++bit)
      if (tasks[at + bit] == TaskPhase::completed) nibble |= 1U << bit;
    hex.push_back(kHex[nibble]);
  }
  return hex;
}

bool Job::loadDoneChunk(std::uint32_t chunk, const std::string& hex, std::uint64_t revision, Time now) {
  const std::uint32_t begin = chunk * constants::kTasksPerDoneChunk;
  if (chunk > spec.taskCount / constants::kTasksPerDoneChunk ||
      hex.size() > constants::kTasksPerDoneChunk / 4)
    return false;
  for (std::size_t i = 0; i < hex.size(); ++i) {
    const int nibble = hexValue(hex[i]);
    if (nibble < 0) return false;
    for (std::uint32_t bit = 0; bit < 4; ++bit) {
      const std::uint32_t index = begin + static_cast<std::uint32_t>(i) * 4 + bit;
      if ((static_cast<unsigned>(nibble) >> bit & 1U) != 0 && index < spec.taskCount)
        to(index, TaskPhase::completed, now);
    }
  }
  doneRevisions[chunk] = revision;
  return true;
}

std::int64_t Job::dueMs() const {
  if (!spec.dueS) return std::numeric_limits<std::int64_t>::max();
  return acceptedMs + static_cast<std::int64_t>(*spec.dueS * 1000);
}

Json encodeOpen(const Job& job) {
  return Json{
      {"phase", name(JobPhase::accepted)}, {"atMs", job.acceptedMs}, {"spec", wire::encodeJob(job.spec)}};
}

Json encodeFinal(const Job& job, JobPhase phase) {
  // Team and size stay: tasks of the job may still be on machines, where they count for the team's limit.
  return Json{{"phase", name(phase)},
              {"atMs", job.acceptedMs},
              {"loads", job.spec.taskCount},
              {"crew", job.spec.team},
              {"vcpus", job.spec.each.vcpus},
              {"accelerators", job.spec.each.accelerators},
              {"memoryGb", job.spec.each.memoryGb}};
}

JobTable::Change JobTable::apply(const std::string& ref, const Json& value, std::uint64_t revision) {
  Job* known = find(ref);
  if (known != nullptr && known->revision >= revision) return Change::none;
  const auto phase = wire::textField(value, "phase");
  if (!phase || !wire::validJobRef(ref)) return Change::malformed;
  if (*phase == name(JobPhase::accepted)) {
    const Json* spec = wire::field(value, "spec");
    auto decoded = spec != nullptr ? wire::decodeJob(*spec) : wire::Result<wire::JobSpec>::failure("no spec");
    if (!decoded) return Change::malformed;
    // A final stage never goes back, whatever a record says.
    if (known != nullptr && !known->open()) return Change::malformed;
    Job& job = jobs_[ref];
    const bool fresh = known == nullptr;
    job.revision = revision;
    job.acceptedMs = wire::field(value, "atMs") != nullptr && value["atMs"].is_number()
                         ? value["atMs"].get<std::int64_t>()
                         : 0;
    if (fresh) job.spec = std::move(*decoded);
    open_.insert(ref);
    return fresh ? Change::accepted : Change::none;
  }
  JobPhase next = JobPhase::cancelled;
  if (*phase == name(JobPhase::done)) {
    next = JobPhase::done;
  } else if (*phase != name(JobPhase::cancelled)) {
    return Change::malformed;
  }
  Job& job = jobs_[ref];
  if (known != nullptr && !known->open()) {
    job.revision = revision;
    return known->phase == next ? Change::none : Change::malformed;
  }
  job.revision = revision;
  job.phase = next;
  wire::JobSpec rest;
  rest.ref.text = ref;
  rest.taskCount = static_cast<std::uint32_t>(wire::countField(value, "loads").value_or(job.spec.taskCount));
  rest.team = wire::textField(value, "crew").value_or(job.spec.team);
  rest.each.vcpus = wire::amountField(value, "vcpus").value_or(job.spec.each.vcpus);
  rest.each.accelerators = wire::amountField(value, "accelerators").value_or(job.spec.each.accelerators);
  rest.each.memoryGb = wire::amountField(value, "memoryGb").value_or(job.spec.each.memoryGb);
  job.spec = std::move(rest);
  open_.erase(ref);
  return Change::ended;
}

Job* JobTable::find(const std::string& ref) {
  const auto found = jobs_.find(ref);
  return found == jobs_.end() ? nullptr : &found->second;
}

bool endedDoneKey(JobTable& jobs, const std::string& key) {
  constexpr std::string_view kPrefix = "done/";
  if (!key.starts_with(kPrefix)) return false;
  const Job* job = jobs.find(key.substr(kPrefix.size(), key.rfind('/') - kPrefix.size()));
  return job != nullptr && !job->open();
}

}  // namespace reachhoist::jobs
