// Failure detection: machines whose heartbeats have stopped, leases that have expired, and a leader that
// can't reach the workers.
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

// Decides which machines are given up. Most machines of a zone quiet at once are more likely behind a network
// partition than dead, and relay needs a while to find its way: giving them up would throw away running work.
// There only lease expiry decides or, shortly before it, capacity for their services elsewhere.
class FailureDetector {
 public:
  FailureDetector(LeaderState& state, MachineLifecycle& lifecycle, AttemptTracker& attempts,
                  TaskFailurePolicy& taskFailures, WorkerProber& prober, ServiceFailover& failover,
                  PartitionDetector& partitions)
      : state_(state),
        context_(state.context),
        lifecycle_(lifecycle),
        attempts_(attempts),
        taskFailures_(taskFailures),
        prober_(prober),
        failover_(failover),
        partitions_(partitions) {}
  FailureDetector(const FailureDetector&) = delete;

  // Checks all machines when the next check is due.
  void tick();

 private:
  // Leaves the leadership to a sibling if workers don't reach this controller; whether it has.
  bool transferLeadership();
  // Why it should be left; null: it should not. The key-value store is in reach, but as long as this
  // controller leads, the leases of all machines that can't reach it expire.
  const char* transferReason() const;
  // `settled`: this leader has listened long enough for silence to mean something.
  void checkMachine(const std::string& host, Machine& machine, bool settled);
  void checkHeartbeats(Machine& machine, bool leaseExpired);
  // Releases what ran on the machine if its worker's lease has expired; whether it has.
  bool checkLease(const std::string& host, Machine& machine);

  LeaderState& state_;
  Context& context_;
  MachineLifecycle& lifecycle_;
  AttemptTracker& attempts_;
  TaskFailurePolicy& taskFailures_;
  WorkerProber& prober_;
  ServiceFailover& failover_;
  PartitionDetector& partitions_;
  Time nextCheckAt_{};
};

}  // namespace reachhoist::service
