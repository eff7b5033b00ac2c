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
#include "service/leader/attempt_tracker.hpp"
#include "service/leader/boot_monitor.hpp"
#include "service/leader/gang_coordinator.hpp"
#include "service/leader/heartbeat_processor.hpp"
#include "service/leader/instance_inventory.hpp"
#include "service/leader/leader_state.hpp"
#include "service/leader/machine_lifecycle.hpp"
#include "service/leader/task_failure_policy.hpp"
#include "service/partition_detector.hpp"
#include "service/shares.hpp"
#include "service/worker_commands.hpp"
#include "state/feed.hpp"
#include "state/transaction.hpp"

namespace reachhoist::service {

class Leader {
 public:
  Leader(Context& context, cluster::Leadership& leadership, state::Feed& jobFeed, jobs::JobTable& jobs,
         std::uint64_t term, std::vector<std::uint64_t> partitionRevisions);
  Leader(const Leader&) = delete;

  void tick();
  // What has just become known may start the next round at once.
  void advance();
  void onJobAccepted(jobs::Job& job);
  void onJobEnded(jobs::Job& job);

  using Source = service::Source;
  HeartbeatResponse onHeartbeat(const wire::WorkerHeartbeat& heartbeat, Source source);
  // This process stood still for so long.
  void resumed(wire::Duration away);

  // For display by the others: jobs whose counts changed since the last call, or all of them.
  peer::Progress progress(bool all);

 private:
  // loading: reading the records of earlier leaders. acting: everything else.
  enum class Phase { loading, acting };

  // --- leader.cpp: life, loading
  void load();
  void loadPage(const std::string& prefix, const std::string& after);
  void loaded();
  void loadSizingState();
  void saveSizingState();
  void adoptBatch(const std::string& number, const Json& value, std::uint64_t revision);
  void adoptDecommissioning(const Json& value, std::uint64_t revision);
  void adoptDone(const std::string& rest, const Json& value, std::uint64_t revision);

  // --- leader_heartbeats.cpp, leader_task_failures.cpp, leader_failure_detection.cpp
  void detectFailures();
  // Leaves the lead to a sibling if workers don't reach this controller; true if it has.
  bool transferLeadership();
  void moveServicesOffPartitions();
  // Placed work that its users miss at once when it ends.
  static bool holdsService(const Attempt& attempt);
  void probeSilentWorkers();
  void probeRelayedWorkers();
  void probe(Machine& machine);

  // --- leader_scheduling.cpp: completions, placement, records
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

  // --- leader_gangs.cpp: attempts of gangs begin and end whole
  void reserveRemainingGangTasks(std::set<std::uint32_t>& pages, std::set<std::string>& jobs,
                                 std::set<std::string>& hosts);

  // --- leader_autoscaling.cpp: renting, returning, sizing
  void onInstancesProvisioned(const cloud::PoolKey& pool, const std::vector<std::string>& hosts,
                              std::size_t refused);
  void autoscale();
  fleet::FleetWorld fleetWorld();
  // Services on machines that are cut off, by job.
  std::vector<placement::UnplacedDemand> servicesAtRisk();
  void requestInstances(const cloud::PoolKey& pool, int count, const char* why);

  Context& context_;
  LeaderState state_;
  Phase phase_ = Phase::loading;

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

  Time nextClean_{};
  std::uint64_t attemptCount_ = 0;
  WorkerCommands commands_;
  CompletionRecords records_;
  GangCoordinator gangs_;
  cloud::Client cloud_;
  MachineLifecycle lifecycle_;
  BootMonitor boots_;
  TaskFailurePolicy failures_;
  AttemptTracker attempts_;
  InstanceInventory inventory_;
  HeartbeatProcessor heartbeats_;
  state::Committer placements_;
  Time nextPlan_{};
  Time replanAt_{};
  Time nextSilenceCheck_{};
  PartitionDetector partitionDetector_;
  std::vector<placement::UnplacedDemand> unplaced_;
  SharesInRounds shares_;
  std::set<std::string> reserving_;  // gangs of which some places are not in a transaction yet

  fleet::Sizing sizing_;
  Time nextSizingSave_{};
  std::map<cloud::PoolKey, Time> refusedUntil_;
  std::map<cloud::PoolKey, std::set<std::string>>
      gangScaleOuts_;  // gangs that wait for what the pool was asked for
  Time nextScaleOut_{};
  Time nextConsolidation_{};
  std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> shown_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace reachhoist::service
