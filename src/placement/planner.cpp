#include "placement/planner.hpp"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace reachhoist::placement {

namespace {

// Weights of the choice among machines with room, in seconds of delay that each is worth.
constexpr double kWrongKindS = 6.0;  // ordinary machine for work that may use spot: its room is prod's
constexpr double kEmptyS = 1.5;      // spreading out instead of filling up keeps machines from being returned
constexpr double kSharedFetchS = 0.5;  // joining a fetch that is under way costs about half of it

struct Bin {
  Machine* machine;
  wire::Resources room;
  bool touched = false;                 // its record is written in this round
  std::map<std::string, bool> planned;  // images that this round's tasks bring
};

class Planner {
 public:
  explicit Planner(const World& world) : world_(world) {
    for (Machine* machine : world.machines) {
      for (const machines::Attempt& attempt : machine->attempts) {
        if (attempt.phase == machines::AttemptPhase::free || attempt.phase == machines::AttemptPhase::ended)
          continue;
        TeamUse& use = teams_[attempt.crew];
        use.cpus += attempt.each.vcpus;
        use.gpus += attempt.each.accelerators;
        placed_[attempt.task.job.text][machine->yard] += 1;
      }
      if (takesWork(*machine)) bins_.push_back(Bin{machine, machine->room(), false, {}});
    }
  }

  Plan run() {
    std::vector<Job*> order = world_.jobs;
    std::stable_sort(order.begin(), order.end(),
                     [this](const Job* a, const Job* b) { return before(*a, *b); });
    for (Job* job : order) placeJob(*job);
    return std::move(plan_);
  }

 private:
  bool takesWork(const Machine& machine) const {
    if (machine.phase != machines::MachinePhase::up || machine.recordBusy || machine.sick) return false;
    if (machine.suspectUntil > world_.now) return false;
    const auto silent = wire::seconds(world_.settings.reportS * constants::kSilentReports);
    return world_.now - machine.lastHeard <= silent && !machine.recallAt;
  }

  // What has failed on a machine is tried elsewhere, unless it has failed everywhere.
  static bool avoids(const Job& job, const Machine& machine) {
    return job.errorHosts.contains(machine.host.text) &&
           static_cast<int>(job.errorHosts.size()) < constants::kWrongJobMachines;
  }

  bool withinGuarantee(const Job& job) const {
    const config::Team* team = world_.settings.team(job.spec.crew);
    if (team == nullptr || (team->cpus <= 0 && team->gpus <= 0)) return false;
    const auto found = teams_.find(job.spec.crew);
    const TeamUse use = found == teams_.end() ? TeamUse{} : found->second;
    return use.cpus + job.spec.each.vcpus <= team->cpus + 1e-6 &&
           use.gpus + job.spec.each.accelerators <= team->gpus + 1e-6;
  }

  bool withinLimit(const Job& job) const {
    const config::Team* team = world_.settings.team(job.spec.crew);
    if (team == nullptr) return false;
    const auto found = teams_.find(job.spec.crew);
    const TeamUse use = found == teams_.end() ? TeamUse{} : found->second;
    if (team->cpusMax > 0 && use.cpus + job.spec.each.vcpus > team->cpusMax + 1e-6) return false;
    return !(team->gpusMax > 0 && use.gpus + job.spec.each.accelerators > team->gpusMax + 1e-6);
  }

  // Rank first, then work a team is guaranteed, then what is due first, then what came first.
  bool before(const Job& a, const Job& b) const {
    if (a.spec.rank != b.spec.rank) return a.spec.rank > b.spec.rank;
    const bool ga = withinGuarantee(a);
    const bool gb = withinGuarantee(b);
    if (ga != gb) return ga;
    const auto latestStart = [](const Job& job) {
      const std::int64_t due = job.dueMs();
      if (due == std::numeric_limits<std::int64_t>::max()) return due;
      return due - static_cast<std::int64_t>(job.spec.expectS * 1000);
    };
    if (latestStart(a) != latestStart(b)) return latestStart(a) < latestStart(b);
    return a.acceptedMs < b.acceptedMs;
  }

  double delay(const Bin& bin, const Job& job) const {
    const Machine& machine = *bin.machine;
    double seconds = 0;
    const double fetch = job.spec.sizeGb / std::max(machine.pullGbPerS, 0.01);
    if (!machine.has(job.spec.crate)) {
      const bool shared = machine.fetching(job.spec.crate) || bin.planned.contains(job.spec.crate);
      seconds += shared ? fetch * kSharedFetchS : fetch;
    }
    if (job.spec.loaners && !machine.loaners) seconds += kWrongKindS;
    const double used = 1 - bin.room.vcpus / std::max(machine.total.vcpus, 0.01);
    seconds += kEmptyS * (1 - used);
    return seconds;
  }

  Bin* best(const Job& job) {
    Bin* best = nullptr;
    double bestDelay = std::numeric_limits<double>::max();
    for (Bin& bin : bins_) {
      const Machine& machine = *bin.machine;
      if (!bin.touched && touched_ >= world_.maxMachines) continue;
      if (!job.spec.each.fitsIn(bin.room)) continue;
      if (!allows(job.spec, machine.rig, machine.yard, machine.loaners)) continue;
      if (avoids(job, machine)) continue;
      if (!zoneAllows(job.spec, placed_[job.spec.ref.text], machine.yard)) continue;
      const double seconds = delay(bin, job);
      if (seconds < bestDelay) {
        best = &bin;
        bestDelay = seconds;
      }
    }
    return best;
  }

  void placeJob(Job& job) {
    if (job.waiting == 0 || job.heldUntil > world_.now) return;
    std::uint32_t left = job.waiting;
    std::uint32_t blockedByTeam = 0;
    if (jobs_ < world_.maxJobs) {
      bool counted = false;
      for (std::uint32_t index = job.firstWaiting; index < job.spec.loads && left > 0; ++index) {
        if (job.tasks[index] != jobs::TaskPhase::waiting) continue;
        if (plan_.assignments.size() >= world_.maxTasks) break;
        if (!withinLimit(job)) {
          blockedByTeam = left;
          break;
        }
        Bin* bin = best(job);
        if (bin == nullptr) break;
        take(*bin, job, index);
        counted = true;
        --left;
      }
      if (counted) ++jobs_;
    }
    left -= std::min(left, blockedByTeam);
    if (left == 0) return;
    // Only what the team's limit lets start is asked of sizing.
    if (const config::Team* team = world_.settings.team(job.spec.crew);
        team != nullptr && team->cpusMax > 0) {
      const double free = team->cpusMax - teams_[job.spec.crew].cpus;
      left = std::min(
          left, static_cast<std::uint32_t>(std::max(0.0, free / std::max(job.spec.each.vcpus, 0.01) + 1e-6)));
    }
    if (left == 0) return;
    plan_.unmet.push_back(Unmet{&job, left});
    if (touched_ < world_.maxMachines) makeRoom(job, left);
  }

  void take(Bin& bin, Job& job, std::uint32_t index) {
    bin.room -= job.spec.each;
    if (!bin.touched) {
      bin.touched = true;
      ++touched_;
    }
    bin.planned[job.spec.crate] = true;
    placed_[job.spec.ref.text][bin.machine->yard] += 1;
    TeamUse& use = teams_[job.spec.crew];
    use.cpus += job.spec.each.vcpus;
    use.gpus += job.spec.each.accelerators;
    plan_.assignments.push_back(Assignment{&job, index, bin.machine});
  }

  bool overGuarantee(const std::string& crew) const {
    const config::Team* team = world_.settings.team(crew);
    const auto found = teams_.find(crew);
    if (team == nullptr || found == teams_.end()) return false;
    return found->second.cpus > team->cpus + 1e-6 && team->cpus > 0;
  }

  // What may be stopped for this job: lower rank; or, to give a team its guarantee, what another team runs
  // beyond its own. Cheapest loss first: the least important, then the latest started.
  bool mayStop(const Job& job, bool guaranteed, const machines::Attempt& attempt) const {
    using machines::AttemptPhase;
    if (attempt.stopWanted || attempt.crew.empty()) return false;
    if (attempt.phase != AttemptPhase::recorded && attempt.phase != AttemptPhase::pulling &&
        attempt.phase != AttemptPhase::running)
      return false;
    if (attempt.rank < job.spec.rank) return true;
    return guaranteed && attempt.rank <= job.spec.rank && attempt.crew != job.spec.crew &&
           overGuarantee(attempt.crew);
  }

  void makeRoom(const Job& job, std::uint32_t tasks) {
    const bool guaranteed = withinGuarantee(job);
    // Room that is being made already counts: otherwise every round would stop more for the same task.
    std::uint32_t coming = 0;
    for (const Bin& bin : bins_) {
      wire::Resources freeing = bin.room;
      bool stopping = false;
      for (const machines::Attempt& attempt : bin.machine->attempts) {
        if (!attempt.holdsRoom() || !attempt.stopWanted) continue;
        freeing += attempt.each;
        stopping = true;
      }
      while (stopping && job.spec.each.fitsIn(freeing)) {
        freeing -= job.spec.each;
        ++coming;
      }
    }
    for (std::uint32_t i = coming; i < tasks; ++i)
      if (!stopFor(job, guaranteed)) return;
  }

  bool stopFor(const Job& job, bool guaranteed) {
    Bin* bestBin = nullptr;
    std::vector<const machines::Attempt*> bestVictims;
    double bestCost = std::numeric_limits<double>::max();
    for (Bin& bin : bins_) {
      const Machine& machine = *bin.machine;
      if (!allows(job.spec, machine.rig, machine.yard, machine.loaners)) continue;
      if (avoids(job, machine)) continue;
      if (!zoneAllows(job.spec, placed_[job.spec.ref.text], machine.yard)) continue;
      std::vector<const machines::Attempt*> candidates;
      for (const machines::Attempt& attempt : machine.attempts)
        if (mayStop(job, guaranteed, attempt) && !stopped_.contains({attempt.task, attempt.number}))
          candidates.push_back(&attempt);
      std::sort(candidates.begin(), candidates.end(), [this](const auto* a, const auto* b) {
        if (a->rank != b->rank) return a->rank < b->rank;
        return loss(*a) < loss(*b);
      });
      wire::Resources room = bin.room;
      std::vector<const machines::Attempt*> victims;
      double cost = machine.has(job.spec.crate) ? 0 : job.spec.sizeGb / std::max(machine.pullGbPerS, 0.01);
      for (const auto* victim : candidates) {
        if (job.spec.each.fitsIn(room)) break;
        room += victim->each;
        cost += loss(*victim) + 1;
        victims.push_back(victim);
      }
      if (!job.spec.each.fitsIn(room) || victims.empty() || cost >= bestCost) continue;
      bestBin = &bin;
      bestVictims = std::move(victims);
      bestCost = cost;
    }
    if (bestBin == nullptr) return false;
    for (const auto* victim : bestVictims) {
      stopped_[{victim->task, victim->number}] = true;
      bestBin->room += victim->each;
      plan_.stops.push_back(
          Stop{bestBin->machine, victim->task, victim->number, victim->saves ? victim->stowS + 1 : 0});
    }
    // Held for the one it was made for.
    bestBin->room -= job.spec.each;
    placed_[job.spec.ref.text][bestBin->machine->yard] += 1;
    return true;
  }

  double loss(const machines::Attempt& attempt) const {
    if (attempt.phase != machines::AttemptPhase::running) return 0;
    return attempt.saves ? attempt.stowS : wire::toSeconds(world_.now - attempt.runningSince);
  }

  const World& world_;
  Plan plan_;
  std::vector<Bin> bins_;
  std::unordered_map<std::string, TeamUse> teams_;
  std::unordered_map<std::string, std::map<std::string, std::uint32_t>> placed_;
  std::map<std::pair<wire::TaskId, std::uint64_t>, bool> stopped_;
  std::size_t touched_ = 0;
  std::size_t jobs_ = 0;
};

}  // namespace

bool allows(const wire::JobSpec& job, const std::string& rig, const std::string& yard, bool loaners) {
  if (loaners && !job.loaners) return false;
  if (job.yard && *job.yard != yard) return false;
  return job.allowsRig(rig);
}

std::map<std::string, std::uint32_t> tasksByZone(const Job& job, const std::vector<Machine*>& machines) {
  std::map<std::string, std::uint32_t> out;
  for (const Machine* machine : machines) {
    for (const machines::Attempt& attempt : machine->attempts)
      if (attempt.holdsRoom() && attempt.task.job == job.spec.ref) out[machine->yard] += 1;
  }
  return out;
}

bool zoneAllows(const wire::JobSpec& job, const std::map<std::string, std::uint32_t>& placed,
                const std::string& zone) {
  if (job.oneZone) {
    for (const auto& [other, count] : placed)
      if (count > 0 && other != zone) return false;
  }
  if (job.apart) {
    const auto found = placed.find(zone);
    if (found != placed.end() && found->second >= (job.loads + 1) / 2) return false;
  }
  return true;
}

Plan plan(const World& world) { return Planner(world).run(); }

}  // namespace reachhoist::placement
