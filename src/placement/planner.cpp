#include "placement/planner.hpp"

#include <algorithm>
#include <limits>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "placement/aims.hpp"

namespace reachhoist::placement {

namespace {

// Weights of the choice among machines with room, in seconds of delay that each is worth.
constexpr double kWrongKindS = 6.0;     // ordinary machine for work that may use spot: its room is prod's
constexpr double kEmptyServiceS = 0.4;  // an empty machine that has the image beats a fuller one that has not
constexpr double kEmptyArrayS = 3.0;    // filling machines up leaves others to be returned
constexpr double kGangLossS = 60.0;     // of stopping a gang for the sake of one task's room
constexpr double kUntoldGangS =
    300.0;  // the same where a machine can't be told in time, so that nothing is saved
constexpr double kSharedFetchS = 0.5;  // joining a fetch that is under way costs about half of it

using ZoneCount = std::map<std::string, std::uint32_t>;

struct Bin {
  Machine* machine;
  wire::Resources room;
  std::vector<const std::string*> planned;  // images that this round's tasks bring

  bool brings(const std::string& image) const {
    return std::any_of(planned.begin(), planned.end(), [&](const auto* other) { return *other == image; });
  }
};

// What is served first. ranked: services and the like, by rank. guaranteed: work that its team need not wait
// for. overlooked: nothing of it was started for long. reachable: some aim can still be met, most pressing
// first. late: none can, oldest first.
enum class Tier { byPriority, guaranteed, overlooked, reachable, late };

// One job's order among the others: what it is compared by is worked out once a round.
struct Turn {
  Job* job;
  Tier tier;
  std::int64_t latestStart;
};

class Planner {
 public:
  explicit Planner(const World& world) : world_(world) {
    std::unordered_map<std::string_view, ZoneCount*> zoned;  // jobs that care where their other tasks are
    for (const Job* job : world.jobs)
      if (job->spec.apart || job->spec.oneZone || job->isGang())
        zoned[job->spec.ref.text] = &placed_[job->spec.ref.text];
    const bool limited =
        std::any_of(world.settings.teams.begin(), world.settings.teams.end(), [](const auto& team) {
          return team.cpus > 0 || team.cpusMax > 0 || team.gpus > 0 || team.gpusMax > 0;
        });
    for (Machine* machine : world.machines) {
      wire::Resources room = machine->total;
      for (const machines::Attempt& attempt : machine->attempts) {
        if (!attempt.holdsRoom()) continue;
        room -= attempt.each;
        if (limited) {
          TeamUse& use = teams_[attempt.team];
          use.cpus += attempt.each.vcpus;
          use.gpus += attempt.each.accelerators;
        }
        if (!zoned.empty()) {
          const auto found = zoned.find(attempt.task.job.text);
          if (found != zoned.end()) (*found->second)[machine->zone] += 1;
        }
        if (!attempt.stopWanted) lowestPriority_ = std::min(lowestPriority_, attempt.priority);
      }
      if (takesWork(*machine)) bins_.push_back(Bin{machine, room, {}});
      if (!canBeTold(*machine)) noteUntold(*machine);
    }
    anyOverGuarantee_ = std::any_of(teams_.begin(), teams_.end(),
                                    [this](const auto& entry) { return overGuarantee(entry.first); });
  }

  Plan run() {
    findGuaranteed();
    std::vector<Turn> order;
    order.reserve(world_.jobs.size());
    for (Job* job : world_.jobs) order.push_back(turnOf(*job));
    std::stable_sort(order.begin(), order.end(), before);
    for (const Turn& turn : order) placeJob(*turn.job, turn.tier);
    return std::move(plan_);
  }

 private:
  bool takesWork(const Machine& machine) const {
    if (machine.phase != machines::MachinePhase::up || machine.recordBusy || machine.sick) return false;
    // Heard from in both directions under this term: what is known of it from records, late copies of reports
    // or one deaf way alone is no reason to give it work.
    if (!machine.echoed || machine.suspectUntil > world_.now) return false;
    const auto silent = wire::seconds(world_.settings.reportS * constants::kSilentReports);
    return world_.now - machine.lastHeard <= silent && !machine.spotNoticeAt;
  }

  // Whether a command would arrive at once, by all that is known.
  bool canBeTold(const Machine& machine) const {
    const auto overdue = wire::seconds(world_.settings.reportS * constants::kQuietReports + 0.5);
    return machine.echoed && !machine.unreachable && world_.now - machine.lastHeard <= overdue;
  }

  void noteUntold(const Machine& machine) {
    for (const machines::Attempt& attempt : machine.attempts)
      if (attempt.gang && attempt.holdsRoom()) untoldGangs_.insert(attempt.number);
  }

  // What has failed on a machine is tried elsewhere, unless it has failed everywhere.
  static bool avoids(const Job& job, const Machine& machine) {
    return !job.errorHosts.empty() && job.errorHosts.contains(machine.host.text) &&
           static_cast<int>(job.errorHosts.size()) < constants::kWrongJobMachines;
  }

  TeamUse use(const std::string& team) const {
    const auto found = teams_.find(team);
    return found == teams_.end() ? TeamUse{} : found->second;
  }

  // A job is within its team's guarantee if it fits there together with the team's earlier unfinished jobs.
  void findGuaranteed() {
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

  bool withinGuarantee(const std::string& ref) const { return guaranteed_.contains(ref); }

  Turn turnOf(Job& job) const {
    if (job.spec.priority >= wire::Priority::high) return Turn{&job, Tier::byPriority, 0};
    const Call call = nextCall(job, world_.settings, world_.wallMs);
    if (withinGuarantee(job.spec.ref.text)) return Turn{&job, Tier::guaranteed, call.latestStartMs};
    if (world_.now - job.lastPlaced > constants::kOverlookedAfter)
      return Turn{&job, Tier::overlooked, job.acceptedMs};
    return Turn{&job, call.reachable ? Tier::reachable : Tier::late, call.latestStartMs};
  }

  bool withinLimit(const Job& job, std::uint32_t tasks = 1) const {
    const config::Team* team = world_.settings.team(job.spec.team);
    if (team == nullptr) return false;
    if (team->cpusMax <= 0 && team->gpusMax <= 0) return true;
    const TeamUse now = use(job.spec.team);
    if (team->cpusMax > 0 && now.cpus + job.spec.each.vcpus * tasks > team->cpusMax + 1e-6) return false;
    return !(team->gpusMax > 0 && now.gpus + job.spec.each.accelerators * tasks > team->gpusMax + 1e-6);
  }

  static bool before(const Turn& a, const Turn& b) {
    if (a.tier != b.tier) return a.tier < b.tier;
    // Wherever one may stop another for its rank it also goes first: else the room it made would be taken by
    // the one that was stopped, round after round.
    if (a.tier <= Tier::overlooked && a.job->spec.priority != b.job->spec.priority)
      return a.job->spec.priority > b.job->spec.priority;
    if (a.latestStart != b.latestStart) return a.latestStart < b.latestStart;
    return a.job->acceptedMs < b.job->acceptedMs;
  }

  double delay(const Bin& bin, const Job& job) const {
    const Machine& machine = *bin.machine;
    double seconds = 0;
    if (!machine.has(job.spec.image)) {
      const double fetch = job.spec.sizeGb / std::max(machine.pullGbPerS, 0.01);
      const bool shared = bin.brings(job.spec.image) || machine.fetching(job.spec.image);
      seconds += shared ? fetch * kSharedFetchS : fetch;
    }
    if (job.spec.spot && !machine.spot) seconds += kWrongKindS;
    const double used = 1 - bin.room.vcpus / std::max(machine.total.vcpus, 0.01);
    seconds += (job.spec.priority >= wire::Priority::high ? kEmptyServiceS : kEmptyArrayS) * (1 - used);
    return seconds;
  }

  bool usable(const Bin& bin, const Job& job) const {
    const Machine& machine = *bin.machine;
    return allows(job.spec, machine.machineType, machine.zone, machine.spot) && !avoids(job, machine);
  }

  bool zoneOpen(const Job& job, const std::string& zone) {
    if (!job.spec.apart && !job.spec.oneZone) return true;
    return zoneAllows(job.spec, placed_[job.spec.ref.text], zone);
  }

  // The tasks of a job are alike, so its machines are ranked once and only the one just used anew.
  std::uint32_t fill(Job& job, std::uint32_t most, bool& blockedByTeam) {
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

  // Where all tasks of a gang fit at once, in one zone or (for an empty name) anywhere: bins, one for each
  // task.
  struct Seats {
    std::vector<std::size_t> bins;
    double worstS = 0;  // until the last of them can start
  };
  Seats seats(const Job& job, const std::string& zone) const {
    std::vector<std::pair<double, std::size_t>> order;
    for (std::size_t i = 0; i < bins_.size(); ++i) {
      const Bin& bin = bins_[i];
      if ((zone.empty() || bin.machine->zone == zone) && job.spec.each.fitsIn(bin.room) && usable(bin, job))
        order.emplace_back(delay(bin, job), i);
    }
    std::sort(order.begin(), order.end());
    Seats out;
    ZoneCount placed;
    for (const auto& [seconds, at] : order) {
      wire::Resources room = bins_[at].room;
      while (out.bins.size() < job.spec.taskCount && job.spec.each.fitsIn(room) &&
             zoneAllows(job.spec, placed, bins_[at].machine->zone)) {
        room -= job.spec.each;
        ++placed[bins_[at].machine->zone];
        out.bins.push_back(at);
        out.worstS = seconds;
      }
      if (out.bins.size() == job.spec.taskCount) break;
    }
    return out;
  }

  std::vector<std::string> gangZones(const Job& job) const {
    if (!job.spec.oneZone) return {""};
    std::set<std::string> zones;
    for (const Bin& bin : bins_) zones.insert(bin.machine->zone);
    return {zones.begin(), zones.end()};
  }

  // All or nothing, in one decision, and nothing while anything of an earlier attempt may be on a machine.
  void placeGang(Job& job) {
    if (job.waiting != job.spec.taskCount || !placed_[job.spec.ref.text].empty()) return;
    // Broken-up room never adds up to a gang while other work keeps taking it: what there is in the best
    // zone, and of the team's limit, is held for a bounded time, and again once the gang has waited too long.
    const auto waited = world_.now - job.waitingSince;
    const bool holds = held_ < constants::kGangsHeld &&
                       (waited <= constants::kGangHold || waited >= constants::kOverlookedAfter);
    if (!withinLimit(job, job.spec.taskCount)) {
      if (!holds) return;
      ++held_;
      TeamUse& now = teams_[job.spec.team];
      now.cpus += job.spec.each.vcpus * job.spec.taskCount;
      now.gpus += job.spec.each.accelerators * job.spec.taskCount;
      return;
    }
    if (!plan_.assignments.empty() && plan_.assignments.size() + job.spec.taskCount > world_.maxTasks) return;
    if (jobs_ >= world_.maxJobs) return;
    Seats best;
    for (const std::string& zone : gangZones(job)) {
      Seats found = seats(job, zone);
      if (found.bins.size() > best.bins.size() ||
          (found.bins.size() == best.bins.size() && found.worstS < best.worstS))
        best = std::move(found);
    }
    if (best.bins.size() == job.spec.taskCount) {
      for (std::uint32_t i = 0; i < job.spec.taskCount; ++i) take(bins_[best.bins[i]], job, i);
      ++jobs_;
      return;
    }
    plan_.unmet.push_back(Unmet{&job, job.spec.taskCount});
    makeRoomForGang(job);
    if (!holds) return;
    ++held_;
    for (const std::size_t at : best.bins) bins_[at].room -= job.spec.each;
  }

  // What may be stopped so that the whole gang fits, in the cheapest zone; nothing if it still would not.
  void makeRoomForGang(const Job& job) {
    const bool guaranteed = withinGuarantee(job.spec.ref.text);
    if (job.spec.priority <= lowestPriority_ && !(guaranteed && anyOverGuarantee_)) return;
    struct Option {
      double cost = 0;
      const Bin* bin = nullptr;
      std::vector<const machines::Attempt*> victims;
    };
    std::vector<Option> best;
    double bestCost = std::numeric_limits<double>::max();
    for (const std::string& zone : gangZones(job)) {
      std::uint32_t fit = 0;
      std::vector<Option> options;
      for (const Bin& bin : bins_) {
        if ((!zone.empty() && bin.machine->zone != zone) || !usable(bin, job)) continue;
        wire::Resources room = bin.room;
        std::vector<const machines::Attempt*> candidates;
        for (const machines::Attempt& attempt : bin.machine->attempts) {
          if (!attempt.holdsRoom()) continue;
          if (attempt.stopWanted || stopped_.contains(attempt.number)) {
            room += attempt.each;  // on its way out
          } else if (!attempt.gang && mayStop(job, guaranteed, attempt)) {
            candidates.push_back(&attempt);
          }
        }
        const auto takeSeats = [&] {
          std::uint32_t seats = 0;
          for (; job.spec.each.fitsIn(room); ++seats) room -= job.spec.each;
          return seats;
        };
        fit += takeSeats();
        std::sort(candidates.begin(), candidates.end(), [this](const auto* a, const auto* b) {
          return a->priority != b->priority ? a->priority < b->priority : loss(*a) < loss(*b);
        });
        Option option{0, &bin, {}};
        double dearest = 0;
        for (const auto* victim : candidates) {
          room += victim->each;
          option.cost += loss(*victim) + 1;
          option.victims.push_back(victim);
          if (takeSeats() == 0) continue;
          // A bin's options build on each other, so a later one is never chosen before an earlier.
          option.cost = dearest = std::max(dearest, option.cost);
          options.push_back(std::exchange(option, Option{0, &bin, {}}));
        }
      }
      if (fit >= job.spec.taskCount) return;  // the room is coming
      std::stable_sort(options.begin(), options.end(),
                       [](const Option& a, const Option& b) { return a.cost < b.cost; });
      const std::size_t need = job.spec.taskCount - fit;
      if (options.size() < need) continue;
      options.resize(need);
      double cost = 0;
      for (const Option& option : options) cost += option.cost;
      if (cost >= bestCost) continue;
      bestCost = cost;
      best = std::move(options);
    }
    if (plan_.stops.size() + best.size() > world_.maxStops) return;
    for (const Option& option : best) {
      for (const auto* victim : option.victims) {
        if (!stopped_.insert(victim->number).second) continue;
        plan_.stops.push_back(Stop{option.bin->machine, victim->task, victim->number,
                                   victim->saves ? victim->checkpointS + 1 : 0});
      }
    }
  }

  void placeJob(Job& job, Tier tier) {
    if (job.waiting == 0 || job.heldUntil > world_.now) return;
    if (job.isGang()) return placeGang(job);
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
    if (const config::Team* team = world_.settings.team(job.spec.team);
        team != nullptr && team->cpusMax > 0) {
      const double free = team->cpusMax - use(job.spec.team).cpus;
      left = std::min(
          left, static_cast<std::uint32_t>(std::max(0.0, free / std::max(job.spec.each.vcpus, 0.01) + 1e-6)));
    }
    if (left == 0) return;
    plan_.unmet.push_back(Unmet{&job, left});
    if (plan_.assignments.size() < world_.maxTasks && tier <= Tier::overlooked)
      makeRoom(job, std::min(left, most));
  }

  void take(Bin& bin, Job& job, std::uint32_t index) {
    bin.room -= job.spec.each;
    if (!bin.brings(job.spec.image)) bin.planned.push_back(&job.spec.image);
    if (job.spec.apart || job.spec.oneZone) placed_[job.spec.ref.text][bin.machine->zone] += 1;
    TeamUse& now = teams_[job.spec.team];
    now.cpus += job.spec.each.vcpus;
    now.gpus += job.spec.each.accelerators;
    plan_.assignments.push_back(Assignment{&job, index, bin.machine});
  }

  bool overGuarantee(const std::string& name) const {
    const config::Team* team = world_.settings.team(name);
    return team != nullptr && team->cpus > 0 && use(name).cpus > team->cpus + 1e-6;
  }

  // What may be stopped for this job: lower rank; or, to give a team its guarantee, what another team runs
  // beyond its own. Cheapest loss first: the least important, then the latest started.
  bool mayStop(const Job& job, bool guaranteed, const machines::Attempt& attempt) const {
    using machines::AttemptPhase;
    if (attempt.stopWanted || attempt.team.empty()) return false;
    if (attempt.phase != AttemptPhase::recorded && attempt.phase != AttemptPhase::pulling &&
        attempt.phase != AttemptPhase::running)
      return false;
    if (withinGuarantee(attempt.task.job.text) && !guaranteed) return false;
    if (attempt.priority < job.spec.priority) return true;
    return guaranteed && !withinGuarantee(attempt.task.job.text) && attempt.priority <= job.spec.priority &&
           attempt.team != job.spec.team && overGuarantee(attempt.team);
  }

  void makeRoom(const Job& job, std::uint32_t tasks) {
    const bool guaranteed = withinGuarantee(job.spec.ref.text);
    if (job.spec.priority <= lowestPriority_ && !(guaranteed && anyOverGuarantee_)) return;
    // Room that is being made already counts: otherwise every round would stop more for the same task.
    std::uint32_t coming = 0;
    for (const Bin& bin : bins_) {
      if (!usable(bin, job)) continue;
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
    for (std::uint32_t i = coming; i < tasks && plan_.stops.size() < world_.maxStops; ++i)
      if (!stopFor(job, guaranteed)) return;
  }

  bool stopFor(const Job& job, bool guaranteed) {
    Bin* bestBin = nullptr;
    std::vector<const machines::Attempt*> bestVictims;
    double bestCost = std::numeric_limits<double>::max();
    for (Bin& bin : bins_) {
      const Machine& machine = *bin.machine;
      if (!usable(bin, job) || !zoneOpen(job, machine.zone)) continue;
      std::vector<const machines::Attempt*> candidates;
      for (const machines::Attempt& attempt : machine.attempts)
        if (mayStop(job, guaranteed, attempt) && !stopped_.contains(attempt.number))
          candidates.push_back(&attempt);
      std::sort(candidates.begin(), candidates.end(), [this](const auto* a, const auto* b) {
        if (a->priority != b->priority) return a->priority < b->priority;
        return loss(*a) < loss(*b);
      });
      wire::Resources room = bin.room;
      std::vector<const machines::Attempt*> victims;
      double cost = machine.has(job.spec.image) ? 0 : job.spec.sizeGb / std::max(machine.pullGbPerS, 0.01);
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
      stopped_.insert(victim->number);
      bestBin->room += victim->each;
      plan_.stops.push_back(
          Stop{bestBin->machine, victim->task, victim->number, victim->saves ? victim->checkpointS + 1 : 0});
    }
    // Held for the one it was made for.
    bestBin->room -= job.spec.each;
    if (job.spec.apart || job.spec.oneZone) placed_[job.spec.ref.text][bestBin->machine->zone] += 1;
    return true;
  }

  double loss(const machines::Attempt& attempt) const {
    // It would stop its whole gang.
    if (attempt.gang) {
      const double stopS = untoldGangs_.contains(attempt.number) ? kUntoldGangS : kGangLossS;
      return stopS + wire::toSeconds(world_.now - attempt.placedAt);
    }
    if (attempt.phase != machines::AttemptPhase::running) return 0;
    return attempt.saves ? attempt.checkpointS : wire::toSeconds(world_.now - attempt.runningSince);
  }

  const World& world_;
  Plan plan_;
  std::vector<Bin> bins_;
  std::unordered_map<std::string, TeamUse> teams_;
  std::unordered_map<std::string, ZoneCount> placed_;
  std::set<std::uint64_t> stopped_;                // attempts, by their numbers
  std::unordered_set<std::uint64_t> untoldGangs_;  // attempts with a task on a machine that can't be told
  std::unordered_set<std::string> guaranteed_;     // jobs within their team's guarantee
  wire::Priority lowestPriority_ = wire::Priority::prod;
  bool anyOverGuarantee_ = false;
  std::size_t jobs_ = 0;
  std::size_t held_ = 0;  // gangs for which room is held
};

}  // namespace

bool allows(const wire::JobSpec& job, const std::string& machineType, const std::string& zone, bool spot) {
  if (spot && !job.spot) return false;
  if (job.zone && *job.zone != zone) return false;
  return job.allowsMachineType(machineType);
}

bool zoneAllows(const wire::JobSpec& job, const std::map<std::string, std::uint32_t>& placed,
                const std::string& zone) {
  if (job.oneZone) {
    for (const auto& [other, count] : placed)
      if (count > 0 && other != zone) return false;
  }
  if (job.apart) {
    const auto found = placed.find(zone);
    if (found != placed.end() && found->second >= (job.taskCount + 1) / 2) return false;
  }
  return true;
}

Plan plan(const World& world) { return Planner(world).run(); }

}  // namespace reachhoist::placement
