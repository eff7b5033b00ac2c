// One placement round: builds the bins (machines with free capacity), orders the waiting jobs by tier and
// SLO deadline, and places them task by task or, for gangs, all at once.
#include "placement/round.hpp"

#include <algorithm>
#include <utility>

#include "placement/slo.hpp"

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
    Bin bin{machine, machine->total, wire::Priority::prod, false, {}, {}, false, {}};
    for (const machines::Attempt& attempt : machine->attempts) {
      if (!attempt.holdsCapacity()) continue;
      bin.freeCapacity -= attempt.each;
      if (limited) {
        TeamUse& use = teams_[attempt.team];
        use.cpus += attempt.each.vcpus;
        use.gpus += attempt.each.accelerators;
      }
      if (!zoned.empty()) {
        const auto found = zoned.find(attempt.task.job.text);
        if (found != zoned.end()) (*found->second)[machine->zone] += 1;
      }
      if (shares::isLeaving(attempt)) bin.leaving += attempt.each;
      if (attempt.stopWanted) {
        bin.stopping = true;
      } else {
        bin.lowest = std::min(bin.lowest, attempt.priority);
      }
    }
    anySpot_ = anySpot_ || machine->spot;
    lowestPriority_ = std::min(lowestPriority_, bin.lowest);
    if (takesWork(*machine)) (machine->recordBusy ? busyBins_ : bins_).push_back(std::move(bin));
    if (!isReachable(*machine)) noteUnreachable(*machine);
  }
  anyOverGuarantee_ = std::any_of(teams_.begin(), teams_.end(),
                                  [this](const auto& entry) { return overGuarantee(entry.first); });
}

Plan Round::run() {
  guaranteed_ = guaranteedJobs(world_.settings, world_.open);
  if (world_.shares != nullptr) openShareAccount();
  std::vector<Turn> order;
  order.reserve(world_.jobs.size());
  for (Job* job : world_.jobs) order.push_back(turnOf(*job));
  std::stable_sort(order.begin(), order.end(), before);
  for (const Turn& turn : order) placeJob(turn);
  if (shareAccount_) placeBeyondShare();
  return std::move(plan_);
}

bool Round::takesWork(const Machine& machine) const {
  if (machine.phase != machines::MachinePhase::up || machine.quarantined) return false;
  // Heard from in both directions under this term: what is known of it from records, late copies of reports
  // or one direction alone is no reason to give it work.
  if (!machine.tokenAcknowledged || machine.suspectUntil > world_.now) return false;
  const auto silent =
      wire::seconds(world_.settings.workers.heartbeatIntervalS * constants::kMissedHeartbeatLimit);
  return world_.now - machine.lastHeartbeatAt <= silent && !machine.spotNoticeAt;
}

bool Round::avoids(const Job& job, const Machine& machine) {
  return !job.failures.jobAtFault() && job.failures.failedOn(machine.host.text);
}

TeamUse Round::use(const std::string& team) const {
  const auto found = teams_.find(team);
  return found == teams_.end() ? TeamUse{} : found->second;
}

Turn Round::turnOf(Job& job) const {
  if (job.spec.priority >= wire::Priority::high) return Turn{&job, Tier::byPriority, 0};
  const SloOutlook outlook = sloOutlook(job, world_.settings, world_.wallMs);
  if (withinGuarantee(job.spec.ref.text)) return Turn{&job, Tier::guaranteed, outlook.latestStartMs};
  if (shareAccount_ && shareAccount_->mustGoOn(job)) return Turn{&job, Tier::overlooked, job.acceptedMs};
  if (world_.now - job.lastPlaced > constants::kStarvationTimeout)
    return Turn{&job, Tier::overlooked, job.acceptedMs};
  return Turn{&job, outlook.reachable ? Tier::reachable : Tier::late, outlook.latestStartMs};
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
    seconds += shared ? fetch * constants::kSharedFetchCostShare : fetch;
  }
  if (job.spec.spot && !machine.spot) seconds += constants::kSpotJobOnDemandPenaltyS;
  const double used = 1 - bin.freeCapacity.vcpus / std::max(machine.total.vcpus, 0.01);
  seconds += (job.spec.priority >= wire::Priority::high ? constants::kEmptyMachineServicePenaltyS
                                                        : constants::kEmptyMachineArrayPenaltyS) *
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

void Round::fill(Job& job, std::uint32_t most, BeyondShare beyond, Fill& progress) {
  struct Choice {
    double seconds;
    std::size_t bin;
    bool operator<(const Choice& other) const {
      return seconds != other.seconds ? seconds > other.seconds : bin > other.bin;
    }
  };
  const bool leftover = beyond == BeyondShare::leftover;
  std::vector<Choice> heap;
  for (std::size_t i = 0; i < bins_.size(); ++i)
    if (job.spec.each.fitsIn(bins_[i].freeCapacity) && usable(bins_[i], job) &&
        !(leftover && bins_[i].awaited))
      heap.push_back(Choice{delay(bins_[i], job), i});
  std::make_heap(heap.begin(), heap.end());
  std::uint32_t taken = 0;
  std::uint32_t& index = progress.index;
  while (!heap.empty() && taken < most && plan_.assignments.size() < world_.maxTasks) {
    while (index < job.spec.taskCount && job.tasks[index] != jobs::TaskPhase::waiting) ++index;
    if (index >= job.spec.taskCount) break;
    if (!withinLimit(job)) {
      progress.limit = FillLimit::team;
      break;
    }
    if (!leftover && !withinShare(job) && !(beyond == BeyondShare::one && taken == 0)) {
      progress.limit = FillLimit::share;
      break;
    }
    std::pop_heap(heap.begin(), heap.end());
    const std::size_t at = heap.back().bin;
    heap.pop_back();
    Bin& bin = bins_[at];
    if (!zoneOpen(job, bin.machine->zone)) continue;  // a full zone stays full for this round
    take(bin, job, index++);
    ++taken;
    if (!job.spec.each.fitsIn(bin.freeCapacity)) continue;
    heap.push_back(Choice{delay(bin, job), at});
    std::push_heap(heap.begin(), heap.end());
  }
  progress.taken += taken;
}

void Round::placeJob(const Turn& turn) {
  Job& job = *turn.job;
  if (job.waiting == 0 || std::max(job.backoffUntil, job.failures.backoffUntil()) > world_.now) return;
  Fill progress{job.firstWaiting, 0, FillLimit::none};
  // What has waited too long gets a start whatever its group has, if nothing of it runs.
  const bool overlooked = turn.tier == Tier::overlooked && job.placed == 0;
  if (!overlooked && !withinShare(job)) return atFairShare_.emplace_back(turn, progress), void();
  if (job.isGang()) return placeGang(job);
  if (job.failures.jobAtFault()) return tryAgain(job);
  const std::uint32_t most = mostOf(turn);
  if (jobs_ < world_.maxJobs) {
    fill(job, most, overlooked ? BeyondShare::one : BeyondShare::no, progress);
    if (progress.taken > 0) ++jobs_;
  }
  std::uint32_t left = job.waiting - progress.taken;
  if (left == 0 || progress.limit == FillLimit::team) return;
  if (progress.limit == FillLimit::share) return atFairShare_.emplace_back(turn, progress), void();
  left = withinTeamLimit(job, left);
  if (left == 0) return;
  plan_.unplaced.push_back(UnplacedDemand{&job, left});
  if (plan_.assignments.size() >= world_.maxTasks) return;
  const std::uint32_t wanted = std::min(left, most);
  const std::uint32_t covered = turn.tier <= Tier::overlooked ? makeRoom(job, wanted) : 0;
  if (shareAccount_) preemptForShare(job, wanted, covered);
}

std::uint32_t Round::mostOf(const Turn& turn) {
  const std::uint32_t waiting = turn.job->waiting;
  return turn.tier == Tier::overlooked ? std::max(1U, waiting / constants::kStarvedJobDivisor) : waiting;
}

// Only what the team's limit lets start is asked of sizing.
std::uint32_t Round::withinTeamLimit(const Job& job, std::uint32_t tasks) const {
  const config::Team* team = world_.settings.team(job.spec.team);
  if (team == nullptr || team->cpusMax <= 0) return tasks;
  const double free = team->cpusMax - use(job.spec.team).cpus;
  return std::min(
      tasks, static_cast<std::uint32_t>(std::max(0.0, free / std::max(job.spec.each.vcpus, 0.01) + 1e-6)));
}

void Round::tryAgain(Job& job) {
  if (job.placed >= constants::kFaultyJobTrialTasks || jobs_ >= world_.maxJobs) return;
  Fill progress{job.firstWaiting, 0, FillLimit::none};
  fill(job, constants::kFaultyJobTrialTasks - job.placed, BeyondShare::no, progress);
  if (progress.taken > 0) ++jobs_;
}

void Round::take(Bin& bin, Job& job, std::uint32_t index) {
  bin.freeCapacity -= job.spec.each;
  if (!bin.brings(job.spec.image)) bin.planned.push_back(&job.spec.image);
  if (job.spec.apart || job.spec.oneZone) placed_[job.spec.ref.text][bin.machine->zone] += 1;
  TeamUse& now = teams_[job.spec.team];
  now.cpus += job.spec.each.vcpus;
  now.gpus += job.spec.each.accelerators;
  if (shareAccount_) shareAccount_->take(job);
  plan_.assignments.push_back(Assignment{&job, index, bin.machine});
}

}  // namespace reachhoist::placement
