// One round of placement decisions: its working state and rules. Internal to the package; `planner.hpp` is
// what others use.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "placement/planner.hpp"
#include "shares/share_account.hpp"

namespace reachhoist::placement {

using ZoneCount = std::map<std::string, std::uint32_t>;

// A machine that takes work, with the room that this round has left.
struct Bin {
  Machine* machine;
  wire::Resources freeCapacity;
  wire::Priority lowest = wire::Priority::prod;  // of what it has and what isn't being stopped
  bool stopping = false;                         // something on it is on its way out
  wire::Resources leaving;                       // held by what is on its way out
  wire::Resources promised;                      // of room and of that, what jobs count on
  bool awaited = false;  // by a job that is entitled to it; known once all such jobs have had their turn
  std::vector<const std::string*> planned;  // images that this round's tasks bring

  // Free capacity once what is on its way out has left.
  wire::Resources capacityAfterStops() const {
    wire::Resources out = freeCapacity;
    out += leaving;
    return out;
  }
  // Of the capacity after stops, what no job counts on yet.
  wire::Resources unpromisedCapacity() const {
    wire::Resources out = capacityAfterStops();
    out -= promised;
    return out;
  }

  bool brings(const std::string& image) const {
    return std::any_of(planned.begin(), planned.end(), [&](const auto* other) { return *other == image; });
  }
};

// What is served first. byPriority: services and the like, by priority. guaranteed: work that its team need
// not wait for. overlooked: nothing of it was started for long. reachable: some aim can still be met, most
// pressing first. late: none can, oldest first.
enum class Tier { byPriority, guaranteed, overlooked, reachable, late };

// One job's order among the others: what it is compared by is worked out once a round.
struct Turn {
  Job* job;
  Tier tier;
  std::int64_t latestStart;
};

// Places the waiting jobs in their order, and says what is to be stopped for those that found no room.
class Round {
 public:
  explicit Round(const World& world);
  // Decides on all waiting jobs. To be called once.
  Plan run();

 private:
  // Whether the machine may be given work, once no transaction concerns it.
  bool takesWork(const Machine& machine) const;
  // Whether a command would arrive at once, by all that is known.
  bool isReachable(const Machine& machine) const;
  // Remembers the gangs that have a task on it.
  void noteUnreachable(const Machine& machine);
  // What has failed on a machine is tried elsewhere, unless the job is at fault.
  static bool avoids(const Job& job, const Machine& machine);
  // What the team uses now, this round's placements included.
  TeamUse use(const std::string& team) const;
  bool withinGuarantee(const std::string& ref) const { return guaranteed_.contains(ref); }
  // The job's place in the order.
  Turn turnOf(Job& job) const;
  // Whether so many more tasks keep the team's limit.
  bool withinLimit(const Job& job, std::uint32_t tasks = 1) const;
  static bool before(const Turn& a, const Turn& b);
  // Seconds until a task can start there, with what the choice costs others.
  double delay(const Bin& bin, const Job& job) const;
  // Whether the machine is of a kind that the job allows, and has not failed it.
  bool usable(const Bin& bin, const Job& job) const;
  // Whether one more of its tasks may go to the zone.
  bool zoneOpen(const Job& job, const std::string& zone);
  // The tasks of a job are alike, so its machines are ranked once and only the one just used anew.
  enum class FillLimit { none, team, share };
  // How far a job has been given places in this round.
  struct Fill {
    std::uint32_t index = 0;  // its next task to look at
    std::uint32_t taken = 0;
    FillLimit limit = FillLimit::none;  // what keeps it from more
  };
  // How jobs whose groups have what they are entitled to are filled: not at all, or with what is left.
  enum class BeyondShare { no, leftover, one };
  void fill(Job& job, std::uint32_t most, BeyondShare beyond, Fill& progress);
  // Where all tasks of a gang fit at once, in one zone or (for an empty name) anywhere: bins, one for each
  // task.
  struct GangFit {
    std::vector<std::size_t> bins;
    double worstS = 0;  // until the last of them can start
  };
  GangFit gangFit(const Job& job, const std::string& zone) const;
  std::vector<std::string> gangZones(const Job& job) const;
  // All or nothing, in one decision, and nothing while anything of an earlier attempt may be on a machine.
  void placeGang(Job& job);
  // What may be stopped so that the whole gang fits, in the cheapest zone; nothing if it still would not.
  void preemptForGang(const Job& job);
  // Places what fits; asks for room, and for machines, for the rest.
  void placeJob(const Turn& turn);
  // Tasks that the job may be given in this round.
  static std::uint32_t mostOf(const Turn& turn);
  std::uint32_t withinTeamLimit(const Job& job, std::uint32_t tasks) const;
  // A few tasks of a job that is held to be at fault, where there is room: nothing is stopped or rented for
  // it.
  void tryAgain(Job& job);
  // Gives the task its place in this round.
  void take(Bin& bin, Job& job, std::uint32_t index);
  bool overGuarantee(const std::string& name) const;
  // What may be stopped for this job: lower rank; or, to give a team its guarantee, what another team runs
  // beyond its own. Cheapest loss first: the least important, then the latest started.
  bool mayStop(const Job& job, bool guaranteed, const machines::Attempt& attempt) const;
  // Stops enough for so many tasks, as far as it may; for how many there is room now, or soon.
  std::uint32_t makeRoom(const Job& job, std::uint32_t tasks);
  // Tasks for which room is being made already.
  std::uint32_t comingFor(const Job& job) const;
  static bool isStoppable(const machines::Attempt& attempt);
  // Stops the cheapest set that makes room for one task.
  bool stopFor(const Job& job, bool guaranteed);
  // --- share_preemption.cpp: groups get what they are entitled to
  void openShareAccount();
  // Whether shares let another task of the job, or its whole gang, start now.
  bool withinShare(const Job& job) const { return !shareAccount_ || shareAccount_->mayTake(job); }
  // Jobs whose groups have what they are entitled to get the room that no entitled job waits for.
  void placeBeyondShare();
  void placeJobBeyondShare(const Turn& turn, Fill progress);
  bool isAwaited(const Bin& bin) const;
  // Whether an earlier job that asked for no more, and could go anywhere, found nothing to stop in this
  // round.
  bool foundNoVictimsBefore(const Job& job) const;
  // Asks groups above their entitlement for the room of so many tasks, as far as the job's group lies below
  // its own. For some of them, there is room already, or soon.
  void preemptForShare(const Job& job, std::uint32_t tasks, std::uint32_t covered);
  // Room that is coming is counted on once: nothing is stopped twice for one claim.
  std::uint32_t countComing(const Job& job, std::uint32_t tasks);
  std::uint32_t countComingOn(Bin& bin, const Job& job, std::uint32_t tasks) const;
  // What one machine gives up for one task.
  struct PreemptionCandidate {
    double cost = 0;
    std::size_t bin = 0;
    std::vector<const machines::Attempt*> victims;
    bool operator<(const PreemptionCandidate& other) const {
      return cost > other.cost;
    }  // heaps give the cheapest
  };
  std::optional<PreemptionCandidate> preemptionCandidate(const Job& job, std::size_t at) const;
  void preemptCandidate(const Job& job, const PreemptionCandidate& candidate);
  // For a gang: gives all of them, or none if that took a group below its entitlement.
  bool giveAll(const std::vector<const machines::Attempt*>& victims);
  void stopForShare(Bin& bin, const machines::Attempt& victim);
  bool mayPreemptForShare(const Job& job, const machines::Attempt& attempt) const;
  // Lower rank or a guarantee allow it, whatever the shares are.
  bool outranks(const Job& job, bool guaranteed, const machines::Attempt& attempt) const;
  // Seconds of work that stopping it loses.
  double loss(const machines::Attempt& attempt) const;
  const World& world_;
  Plan plan_;
  std::vector<Bin> bins_;
  std::vector<Bin> busyBins_;  // with a transaction under way; only their room that is coming counts
  std::unordered_map<std::string, TeamUse> teams_;
  std::unordered_map<std::string, ZoneCount> placed_;
  std::set<std::uint64_t> stopped_;  // attempts, by their numbers
  std::unordered_set<std::uint64_t>
      unreachableGangs_;                        // attempts with a task on a machine that can't be told
  std::unordered_set<std::string> guaranteed_;  // jobs within their team's guarantee
  wire::Priority lowestPriority_ = wire::Priority::prod;
  bool anyOverGuarantee_ = false;
  std::size_t jobs_ = 0;
  bool anySpot_ = false;           // some machine is
  std::size_t reservedGangs_ = 0;  // gangs for which room is held
  std::optional<shares::ShareAccount> shareAccount_;
  std::vector<std::pair<Turn, Fill>> atFairShare_;
  std::vector<const Job*> foundNoVictims_;  // jobs that could go anywhere, and found nothing to stop
  std::vector<const Job*> entitled_;        // below their entitlement, and without room
};

}  // namespace reachhoist::placement
