// Failure detection: machines whose heartbeats have stopped, worker leases that have expired, and a leader
// that can't reach the workers.
#pragma once

#include <string>

#include "service/leader/attempt_tracker.hpp"
#include "service/leader/leader_state.hpp"
#include "service/leader/machine_lifecycle.hpp"
#include "service/leader/service_failover.hpp"
#include "service/leader/task_failure_policy.hpp"
#include "service/leader/worker_prober.hpp"
#include "service/partition_detector.hpp"

namespace reachhoist::service {

// Decides which machines are given up. When most machines of a zone miss heartbeats at the same time, a
// network partition is more likely than their failure, and heartbeats need some time until siblings relay
// them: giving the machines up would discard running work. Such machines are given up only when their leases
// expire or, shortly before that, when there is capacity elsewhere for their services.
class FailureDetector {
 public:
  FailureDetector(LeaderState& state, MachineLifecycle& lifecycle, AttemptTracker& attempts,
                  TaskFailurePolicy& taskFailures, WorkerProber& prober, ServiceFailover& failover,
                  PartitionDetector& partitionDetector)
      : state_(state),
        context_(state.context),
        lifecycle_(lifecycle),
        attempts_(attempts),
        taskFailures_(taskFailures),
        prober_(prober),
        failover_(failover),
        partitionDetector_(partitionDetector) {}
  FailureDetector(const FailureDetector&) = delete;

  // Checks the leadership and all machines when the next check is due.
  void tick();

 private:
  // Gives up the leadership to a sibling if the workers' heartbeats don't reach this controller. Returns
  // whether it has done so.
  bool transferLeadership();
  // The reason to give up the leadership, or null if there is none. Losing the workers is a reason even while
  // the key-value store is reachable: as long as this controller leads, the leases of all workers that can't
  // reach it expire.
  const char* transferReason() const;
  // `canDetectMissedHeartbeats` is set if this leader has received heartbeats for so long that a missing one
  // indicates a failure.
  void checkMachine(const std::string& host, Machine& machine, bool canDetectMissedHeartbeats);
  void checkHeartbeats(Machine& machine, bool leaseExpired);
  // Releases the attempts on the machine if its worker's lease has expired. Returns whether it has expired.
  bool checkLease(const std::string& host, Machine& machine);

  LeaderState& state_;
  Context& context_;
  MachineLifecycle& lifecycle_;
  AttemptTracker& attempts_;
  TaskFailurePolicy& taskFailures_;
  WorkerProber& prober_;
  ServiceFailover& failover_;
  PartitionDetector& partitionDetector_;
  Time nextCheckAt_{};
};

}  // namespace reachhoist::service
