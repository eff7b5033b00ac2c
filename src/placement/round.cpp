#include "placement/round.hpp"

#include <algorithm>
#include <utility>

#include "placement/aims.hpp"

namespace reachhoist::placement {

Round::Round(const World& world) : world_(world) {
  std::unordered_map<std::string_view, ZoneCount*> zoned;  // jobs that care where their other tasks are
  for (const Job* job : world.jobs)
    if (job->spec.apart || job->spec.oneZone || job->isGang())
      zoned[job->spec.ref.text] = &placed_[job->spec.ref.text];
  const bool limited =
      std::any_of(world.settings.teams.begin(), world.settings.teams.end(), [](const auto& team) {
        return team.cpus > 0 || team.cpusMax > 0 || team.gpus > 0 || team.gpusMax > 0;
      });
  for (Machine* machine : world.machines) {
    Bin bin{machine, machine->total, wire::Priority::prod, false, {}};
    for (const machines::Attempt& attempt : machine->attempts) {
      if (!attempt.holdsRoom()) continue;
      bin.room -= attempt.each;
      if (limited) {
        TeamUse& use = teams_[attempt.team];
        use.cpus += attempt.each.vcpus;
        use.gpus += attempt.each.accelerators;
      }
      if (!zoned.empty()) {
        const auto found = zoned.find(attempt.task.job.text);
        if (found != zoned.end()) (*found->second)[machine->zone] += 1;
      }
      if (attempt.stopWanted) {
        bin.stopping = true;
      } else {
        bin.lowest = std::min(bin.lowest, attempt.priority);
      }
    }
    lowestPriority_ = std::min(lowestPriority_, bin.lowest);
    if (takesWork(*machine)) bins_.push_back(std::move(bin));
    if (!isReachable(*machine)) noteUnreachable(*machine);
  }
  anyOverGuarantee_ = std::any_of(teams_.begin(), teams_.end(),
                                  [this](const auto& entry) { return overGuarantee(entry.first); });
}

Plan Round::run() {
  findGuaranteed();
  std::vector<Turn> order;
  order.reserve(world_.jobs.size());
  for (Job* job : world_.jobs) order.push_back(turnOf(*job));
  std::stable_sort(order.begin(), order.end(), before);
  for (const Turn& turn : order) placeJob(*turn.job, turn.tier);
  return std::move(plan_);
}

bool Round::takesWork(const Machine& machine) const {
  if (machine.phase != machines::MachinePhase::up || machine.recordBusy || machine.sick) return false;
  // Heard from in both directions under this term: what is known of it from records, late copies of reports
  // or one direction alone is no reason to give it work.
  if (!machine.echoed || machine.suspectUntil > world_.now) return false;
  const auto silent = wire::seconds(world_.settings.reportS * constants::kSilentReports);
  return world_.now - machine.lastHeard <= silent && !machine.spotNoticeAt;
}

bool Round::avoids(const Job& job, const Machine& machine) {
  return !job.failures.jobAtFault() && job.failures.failedOn(machine.host.text);
}

TeamUse Round::use(const std::string& team) const {
  const auto found = teams_.find(team);
  return found == teams_.end() ? TeamUse{} : found->second;
}

void Round::findGuaranteed() {
  std::unordered_map<std::string_view, std::vector<const Job*>> byTeam;
  for (const Job* job : world_.open) byTeam[job->spec.team].push_back(job);
  for (const config::Team& team : world_.settings.teams) {
    if (team.cpus <= 0 && team.gpus <= 0) continue;
    const auto found = byTeam.find(team.name);
    if (found == byTeam.end()) continue;
    auto& jobs = found->second;
    std::sort(jobs.begin(), jobs.end(),
              [](const Job* a, const Job* b) { return a->acceptedMs < b->acceptedMs; });
    TeamUse sum;
    for (const Job* job : jobs) {
      const double left = job->spec.taskCount - job->completed;
      sum.cpus += job->spec.each.vcpus * left;
      sum.gpus += job->spec.each.accelerators * left;
      if (sum.cpus > team.cpus + 1e-6 || sum.gpus > team.gpus + 1e-6) break;
      guaranteed_.insert(job->spec.ref.text);
    }
  }
}

Turn Round::turnOf(Job& job) const {
  if (job.spec.priority >= wire::Priority::high) return Turn{&job, Tier::byPriority, 0};
  const Call call = nextCall(job, world_.settings, world_.wallMs);
  if (withinGuarantee(job.spec.ref.text)) return Turn{&job, Tier::guaranteed, call.latestStartMs};
  if (world_.now - job.lastPlaced > constants::kOverlookedAfter)
    return Turn{&job, Tier::overlooked, job.acceptedMs};
  return Turn{&job, call.reachable ? Tier::reachable : Tier::late, call.latestStartMs};
}

bool Round::withinLimit(const Job& job, std::uint32_t tasks) const {
  const config::Team* team = world_.settings.team(job.spec.team);
  if (team == nullptr) return false;
  if (team->cpusMax <= 0 && team->gpusMax <= 0) return true;
  const TeamUse now = use(job.spec.team);
  if (team->cpusMax > 0 && now.cpus + job.spec.each.vcpus * tasks > team->cpusMax + 1e-6) return false;
  return !(team->gpusMax > 0 && now.gpus + job.spec.each.accelerators * tasks > team->gpusMax + 1e-6);
}

bool Round::before(const Turn& a, const Turn& b) {
  if (a.tier != b.tier) return a.tier < b.tier;
  // Wherever one may stop another for its rank it also goes first: else the room it made would be taken by
  // the one that was stopped, round after round.
  if (a.tier <= Tier::overlooked && a.job->spec.priority != b.job->spec.priority)
    return a.job->spec.priority > b.job->spec.priority;
  if (a.latestStart != b.latestStart) return a.latestStart < b.latestStart;
  return a.job->acceptedMs < b.job->acceptedMs;
}

double Round::delay(const Bin& bin, const Job& job) const {
  const Machine& machine = *bin.machine;
  double seconds = 0;
  if (!machine.has(job.spec.image)) {
    const double fetch = job.spec.sizeGb / std::max(machine.pullGbPerS, 0.01);
    const bool shared = bin.brings(job.spec.image) || machine.fetching(job.spec.image);
    seconds += shared ? fetch * constants::kSharedFetchS : fetch;
  }
  if (job.spec.spot && !machine.spot) seconds += constants::kWrongKindS;
  const double used = 1 - bin.room.vcpus / std::max(machine.total.vcpus, 0.01);
  seconds +=
      (job.spec.priority >= wire::Priority::high ? constants::kEmptyServiceS : constants::kEmptyArrayS) *
      (1 - used);
  return seconds;
}

bool Round::usable(const Bin& bin, const Job& job) const {
  const Machine& machine = *bin.machine;
  return allows(job.spec, machine.machineType, machine.zone, machine.spot) && !avoids(job, machine);
}

bool Round::zoneOpen(const Job& job, const std::string& zone) {
  if (!job.spec.apart && !job.spec.oneZone) return true;
  return zoneAllows(job.spec, placed_[job.spec.ref.text], zone);
}

std::uint32_t Round::fill(Job& job, std::uint32_t most, bool& blockedByTeam) {
  struct Choice {
    double seconds;
    std::size_t bin;
    bool operator<(const Choice& other) const {
      return seconds != other.seconds ? seconds > other.seconds : bin > other.bin;
    }
  };
  std::vector<Choice> heap;
  for (std::size_t i = 0; i < bins_.size(); ++i)
    if (job.spec.each.fitsIn(bins_[i].room) && usable(bins_[i], job))
      heap.push_back(Choice{delay(bins_[i], job), i});
  std::make_heap(heap.begin(), heap.end());
  std::uint32_t taken = 0;
  std::uint32_t index = job.firstWaiting;
  while (!heap.empty() && taken < most && plan_.assignments.size() < world_.maxTasks) {
    while (index < job.spec.taskCount && job.tasks[index] != jobs::TaskPhase::waiting) ++index;
    if (index >= job.spec.taskCount) break;
    if (!withinLimit(job)) {
      blockedByTeam = true;
      break;
    }
    std::pop_heap(heap.begin(), heap.end());
    const std::size_t at = heap.back().bin;
    heap.pop_back();
    Bin& bin = bins_[at];
    if (!zoneOpen(job, bin.machine->zone)) continue;  // a full zone stays full for this round
    take(bin, job, index++);
    ++taken;
    if (!job.spec.each.fitsIn(bin.room)) continue;
    heap.push_back(Choice{delay(bin, job), at});
    std::push_heap(heap.begin(), heap.end());
  }
  return taken;
}

void Round::placeJob(Job& job, Tier tier) {
  if (job.waiting == 0 || std::max(job.heldUntil, job.failures.heldUntil()) > world_.now) return;
  if (job.isGang()) return placeGang(job);
  if (job.failures.jobAtFault()) return tryAgain(job);
  const std::uint32_t most =
      tier == Tier::overlooked ? std::max(1U, job.waiting / constants::kOverlookedShare) : job.waiting;
  bool blockedByTeam = false;
  std::uint32_t left = job.waiting;
  if (jobs_ < world_.maxJobs) {
    const std::uint32_t taken = fill(job, most, blockedByTeam);
    left -= taken;
    if (taken > 0) ++jobs_;
  }
  if (left == 0 || blockedByTeam) return;
  // Only what the team's limit lets start is asked of sizing.
  if (const config::Team* team = world_.settings.team(job.spec.team); team != nullptr && team->cpusMax > 0) {
    const double free = team->cpusMax - use(job.spec.team).cpus;
    left = std::min(
        left, static_cast<std::uint32_t>(std::max(0.0, free / std::max(job.spec.each.vcpus, 0.01) + 1e-6)));
  }
  if (left == 0) return;
  plan_.unmet.push_back(Unmet{&job, left});
  if (plan_.assignments.size() < world_.maxTasks && tier <= Tier::overlooked)
    makeRoom(job, std::min(left, most));
}

void Round::tryAgain(Job& job) {
  if (job.placed >= constants::kWrongJobTrial || jobs_ >= world_.maxJobs) return;
  bool blockedByTeam = false;
  if (fill(job, constants::kWrongJobTrial - job.placed, blockedByTeam) > 0) ++jobs_;
}

void Round::take(Bin& bin, Job& job, std::uint32_t index) {
  bin.room -= job.spec.each;
  if (!bin.brings(job.spec.image)) bin.planned.push_back(&job.spec.image);
  if (job.spec.apart || job.spec.oneZone) placed_[job.spec.ref.text][bin.machine->zone] += 1;
  TeamUse& now = teams_[job.spec.team];
  now.cpus += job.spec.each.vcpus;
  now.gpus += job.spec.each.accelerators;
  plan_.assignments.push_back(Assignment{&job, index, bin.machine});
}

}  // namespace reachhoist::placement
