// The leader's side of a controller: workers, placement, completions and the fleet, for one term.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cloud/client.hpp"
#include "service/context.hpp"
#include "service/leader/attempt_tracker.hpp"
#include "service/leader/autoscaler.hpp"
#include "service/leader/boot_monitor.hpp"
#include "service/leader/completion_records.hpp"
#include "service/leader/failure_detector.hpp"
#include "service/leader/gang_coordinator.hpp"
#include "service/leader/heartbeat_processor.hpp"
#include "service/leader/instance_inventory.hpp"
#include "service/leader/leader_state.hpp"
#include "service/leader/machine_lifecycle.hpp"
#include "service/leader/placement_scheduler.hpp"
#include "service/leader/service_failover.hpp"
#include "service/leader/state_loader.hpp"
#include "service/leader/task_failure_policy.hpp"
#include "service/leader/worker_commands.hpp"
#include "service/leader/worker_prober.hpp"
#include "service/partition_detector.hpp"

namespace reachhoist::service {

// Composes the components of one term and drives them. Created when this controller is elected and destroyed
// when it is deposed; first loads the records of earlier leaders. Not thread-safe.
class Leader {
 public:
  // `partitionRevisions`: revision of each partition's key as this leader acquired it, by partition id.
  Leader(Context& context, cluster::Leadership& leadership, state::Feed& jobFeed, jobs::JobTable& jobs,
         std::uint64_t term, std::vector<std::uint64_t> partitionRevisions);
  Leader(const Leader&) = delete;

  // To be called every constants::kTickInterval.
  void tick();
  // To be called after each answer from outside: goes on with transactions, rounds and commands at once.
  void advance();
  // The job has been accepted; its record is durable.
  void onJobAccepted(jobs::Job& job);
  // The job's final phase is durable: stops what is left of it.
  void onJobEnded(jobs::Job& job);
  // A heartbeat of a worker, sent to this controller or relayed by a sibling. 503 unless it may be answered.
  HeartbeatResponse onHeartbeat(const wire::WorkerHeartbeat& heartbeat, HeartbeatSource source);
  // This process goes on after it has stood still for this long.
  void onResumed(wire::Duration away);

  // Progress of open jobs for the siblings' answers to users: of all jobs, or of those whose counts have
  // changed since the last call.
  peer::Progress progress(bool all);

 private:
  // loading: reading the records of earlier leaders. acting: everything else.
  enum class Phase { loading, acting };
  struct TaskCounts {
    std::uint32_t completed = 0;
    std::uint32_t running = 0;
    bool operator==(const TaskCounts&) const = default;
  };

  void startActing();

  Context& context_;
  LeaderState state_;
  Phase phase_ = Phase::loading;
  WorkerCommands commands_;
  CompletionRecords records_;
  GangCoordinator gangs_;
  cloud::Client cloud_;
  MachineLifecycle lifecycle_;
  BootMonitor boots_;
  TaskFailurePolicy taskFailures_;
  AttemptTracker attempts_;
  InstanceInventory inventory_;
  HeartbeatProcessor heartbeats_;
  PlacementScheduler scheduler_;
  PartitionDetector partitions_;
  ServiceFailover failover_;
  WorkerProber prober_;
  FailureDetector failureDetector_;
  Autoscaler autoscaler_;
  StateLoader loader_;
  std::map<std::string, TaskCounts> publishedCounts_;  // by job, as of the last progress message
};

}  // namespace reachhoist::service
