// The part of a controller that manages workers, placement, completions and the fleet while it leads. One
// object serves one term.
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

// Composes the components of one term and drives them. The controller creates it when it is elected and
// destroys it when it is deposed. It first loads the records of earlier leaders. Leader is not thread-safe.
class Leader {
 public:
  // `partitionRevisions` holds the mod revision at which this leader acquired each partition's key, by
  // partition id.
  Leader(Context& context, cluster::Leadership& leadership, state::Feed& jobFeed, jobs::JobTable& jobs,
         std::uint64_t term, std::vector<std::uint64_t> partitionRevisions);
  Leader(const Leader&) = delete;

  // Drives loading, timeouts and periodic work. It must be called every constants::kTickInterval.
  void tick();
  // Continues transactions, placement rounds and commands without waiting for the next tick. It must be
  // called after each result of a call.
  void advance();
  // Starts tracking a job that has been accepted, and whose record is durable.
  void onJobAccepted(jobs::Job& job);
  // Stops the remaining attempts of a job whose final phase is durable.
  void onJobEnded(jobs::Job& job);
  // Handles a worker's heartbeat, which the worker sent to this controller or a sibling relayed. The response
  // is 503 if this leader must not answer it now.
  HeartbeatResponse onHeartbeat(const wire::WorkerHeartbeat& heartbeat, HeartbeatSource source);
  // Adjusts the contact times of all machines after a suspension of this process.
  void onResumed(wire::Duration suspendedFor);

  // Returns the progress of open jobs for the siblings' answers to users. It covers all jobs, or only those
  // whose counts have changed since the last call.
  peer::Progress progress(bool allJobs);

 private:
  // loading: the records of earlier leaders are being read. acting: all components work.
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
  BootMonitor bootMonitor_;
  TaskFailurePolicy taskFailures_;
  AttemptTracker attempts_;
  InstanceInventory inventory_;
  HeartbeatProcessor heartbeats_;
  PlacementScheduler scheduler_;
  PartitionDetector partitionDetector_;
  ServiceFailover failover_;
  WorkerProber prober_;
  FailureDetector failureDetector_;
  Autoscaler autoscaler_;
  StateLoader loader_;
  std::map<std::string, TaskCounts> publishedCounts_;  // by job reference, as in the last progress message
};

}  // namespace reachhoist::service
