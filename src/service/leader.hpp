// What a controller does while it owns the parts: workers, placement, completions, the fleet. Lives for one
// term and loads all it needs to know from the state service first.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <set>

#include "cloud/client.hpp"
#include "cluster/leadership.hpp"
#include "fleet/sizing.hpp"
#include "jobs/jobs.hpp"
#include "machines/machines.hpp"
#include "machines/placement_batches.hpp"
#include "placement/planner.hpp"
#include "service/completion_records.hpp"
#include "service/context.hpp"
#include "service/partition_detector.hpp"
#include "service/shares.hpp"
#include "service/worker_commands.hpp"
#include "state/feed.hpp"
#include "state/transaction.hpp"

namespace reachhoist::service {

inline constexpr const char* kDecommissioningKey = "retiring";

class Leader {
 public:
  // loading: reading jobs, completions and machines. acting: everything else.
  enum class State { loading, acting };

  Leader(Context& context, cluster::Leadership& leadership, state::Feed& jobFeed, jobs::JobTable& jobs,
         std::uint64_t term, std::vector<std::uint64_t> partitionRevisions);
  Leader(const Leader&) = delete;

  void tick();
  // What has just become known may start the next round at once.
  void advance();
  void onJobAccepted(jobs::Job& job);
  void onJobEnded(jobs::Job& job);

  struct HeartbeatResponse {
    int status = 503;
    Json body;
  };
  using Source = service::Source;
  HeartbeatResponse onHeartbeat(const wire::WorkerHeartbeat& heartbeat, Source source);
  // This process stood still for so long.
  void resumed(wire::Duration away);

  // For display by the others: jobs whose counts changed since the last call, or all of them.
  peer::Progress progress(bool all);
  State state() const { return state_; }

 private:
  // --- leader.cpp: life, loading
  void to(State next);
  void load();
  void loadPage(const std::string& prefix, const std::string& after);
  void loaded();
  void loadSizingState();
  void saveSizingState();
  void adoptBatch(const std::string& number, const Json& value, std::uint64_t revision);
  void adoptDecommissioning(const Json& value, std::uint64_t revision);
  void adoptDone(const std::string& rest, const Json& value, std::uint64_t revision);
  void resign(const char* why);
  bool mayRenewLeases() const;
  // Confirmed so lately that nobody else can lead yet. What costs money or condemns machines needs it: an
  // leader that is cut off would rent and condemn beside the next one.
  bool holdsLeaderLease() const;
  // Asked the state service, with an answer, since this process last stood still.
  bool confirmedSinceResume() const;
  // Since when this leader could hear its machines without a break.
  Time listeningSince() const { return std::max(actingSince_, context_.resumedAt); }
  // Every durable change of a leader depends on its parts.
  std::vector<state::Condition> partitionConditions() const;

  // --- leader_heartbeats.cpp, leader_task_failures.cpp, leader_failure_detection.cpp
  void applyHeartbeat(Machine& machine, const wire::WorkerHeartbeat& heartbeat, Source source);
  void applyTaskStatus(Machine& machine, Attempt& attempt, const wire::TaskStatus& status);
  void reconcileMissingAttempts(Machine& machine, const wire::WorkerHeartbeat& heartbeat);
  void onNewIncarnation(Machine& machine, const wire::WorkerHeartbeat& heartbeat);
  void release(Machine& machine, Attempt& attempt, const char* why);
  void unassign(jobs::Job& job, const wire::TaskId& task);
  void freeAllAttempts(Machine& machine, const char* why);
  void eraseFreedAttempts(Machine& machine);
  void recordTaskFailure(Machine& machine, const Attempt& attempt);
  void clearMachineSuspicion(const std::string& ref);
  // Whether some task of the job has completed, or has run for longer than those that failed, on any machine
  // but one.
  bool succeedsElsewhere(const std::string& ref,
                         std::optional<std::reference_wrapper<const Machine>> except) const;
  void quarantineIfFaulty(Machine& machine);
  void reviewFaultyJobs();
  void complete(const wire::TaskId& task);
  void detectFailures();
  // Leaves the lead to a sibling if workers don't reach this controller; true if it has.
  bool transferLeadership();
  void moveServicesOffPartitions();
  // Placed work that its users miss at once when it ends.
  static bool holdsService(const Attempt& attempt);
  void probeSilentWorkers();
  void probeRelayedWorkers();
  void probe(Machine& machine);
  void onSpotNotice(Machine& machine);
  void setRunning(Attempt& attempt, AttemptPhase next);

  // --- leader_scheduling.cpp: completions, placement, records
  void scheduleForgetCommands();
  void placementRound();
  placement::Plan planRound();
  // Whether work may be stopped for the sake of shares.
  bool mayPreemptForShares() const;
  // Takes the assignments for which the round's pages have room.
  std::set<std::string> takeAssignments(const placement::Plan& plan, std::set<std::uint32_t>& pages,
                                        std::set<std::string>& jobs);
  using BatchHosts = std::map<std::uint32_t, std::set<std::string>>;  // machines that each page names
  void onPlacements(const std::set<std::string>& hosts, const BatchHosts& pages,
                    const state::Outcome& outcome);
  void writeDecommissioning();
  void onTransactionRefused(const state::Outcome& outcome, const char* what);

  // --- leader_gangs.cpp: attempts of gangs begin and end whole
  void forEachAttempt(const std::string& ref, const std::function<void(Machine&, Attempt&)>& visit);
  void setGangState(jobs::Job& job, jobs::GangState next, const char* why);
  void adoptGangAttempts();
  bool gangMayStart(const Attempt& attempt);
  void onGangRecorded(jobs::Job& job);
  void onGangTaskRunning(jobs::Job& job);
  void onGangTaskLost(jobs::Job& job, const Attempt& attempt, const char* why);
  void stopGang(const std::string& ref, double leftS, const char* why);
  void completeGang(jobs::Job& job);
  void reserveRemainingGangTasks(std::set<std::uint32_t>& pages, std::set<std::string>& jobs,
                                 std::set<std::string>& hosts);

  // --- leader_autoscaling.cpp: renting, returning, sizing
  void onInstancesProvisioned(const cloud::PoolKey& pool, const std::vector<std::string>& hosts,
                              std::size_t refused);
  void onInstancesReleased(const std::vector<std::string>& hosts);
  void onInstancesListed(const std::vector<wire::HostEntry>& hosts);
  void describe(Machine& machine);
  // Its tasks are stopped, or (gently) only those that go on elsewhere at once.
  void drain(Machine& machine, const char* why, bool gently = false);
  void decommission(Machine& machine, const char* why);
  void advanceDecommissioning();
  void detectBootTimeouts();
  double bootSecondsOf(const Machine& machine) const;
  void autoscale();
  fleet::FleetSnapshot fleetSnapshot();
  // Services on machines that are cut off, by job.
  std::vector<placement::UnplacedDemand> servicesAtRisk();
  void requestInstances(const cloud::PoolKey& pool, int count, const char* why);
  std::vector<Machine*> allMachines();

  Context& context_;
  cluster::Leadership& leadership_;
  state::Feed& jobFeed_;
  jobs::JobTable& jobs_;
  std::uint64_t term_;
  std::vector<std::uint64_t> partitionRevisions_;
  State state_ = State::loading;
  bool resigned_ = false;
  Time electedAt_{};
  Time actingSince_{};

  int loadsOut_ = 0;
  Time loadRetryAt_{};
  std::set<std::string> loadsLeft_;  // prefixes still to read
  struct DoneRecord {
    std::string ref;
    std::uint32_t chunk;
    std::string hex;
    std::uint64_t revision;
  };
  std::vector<DoneRecord> doneRecords_;
  std::vector<std::string> loadedDecommissioning_;

  machines::MachineTable machines_;
  machines::PlacementBatchTable batches_;
  std::set<std::uint32_t> staleBatches_;  // that name machines which are gone
  Time nextClean_{};
  std::uint64_t decommissioningRevision_ = 0;
  std::size_t maxValueBytes_;  // bytes that one value may hold, in JSON form
  std::uint64_t attempts_ = 0;
  WorkerCommands commands_;
  CompletionRecords records_;
  state::Committer placements_;
  state::Committer decommissioning_;
  std::set<std::string> faultyJobs_;  // held to be at fault themselves
  bool planDue_ = true;
  Time nextPlan_{};
  Time replanAt_{};
  Time nextSilenceCheck_{};
  Time nextBootCheck_{};
  PartitionDetector partitionDetector_;
  std::vector<placement::UnplacedDemand> unplaced_;
  SharesInRounds shares_;
  std::set<std::string> reserving_;  // gangs of which some places are not in a transaction yet
  bool unfamiliarLogged_ = false;

  std::unique_ptr<cloud::Client> cloud_;
  fleet::Sizing sizing_;
  fleet::BootHistory boots_;
  Time nextSizingSave_{};
  std::map<cloud::PoolKey, Time> refusedUntil_;
  std::map<cloud::PoolKey, std::set<std::string>>
      gangScaleOuts_;                          // gangs that wait for what the pool was asked for
  std::map<std::string, Time> releasedUntil_;  // lists older than the return still name them
  Time nextScaleOut_{};
  Time nextConsolidation_{};
  std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> shown_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace reachhoist::service
