// Failure detection, boot times, failing jobs, and the cloud's instance list and catalogue.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace reachhoist::constants {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// --- Failure detection: times in heartbeat intervals since the last heartbeat ------------------------------
// A machine gets no new work, and is given up 2 s later.
inline constexpr double kMissedHeartbeatLimit = 3.0;
// 1 s later it is probed directly.
inline constexpr double kProbeAfterHeartbeats = 1.25;
// 1 s later it is given up, if the probe was not answered either.
inline constexpr double kUnreachableHeartbeatLimit = 2.0;
// 0.5 s later it counts as overdue, as a sign that its zone is partitioned away.
inline constexpr double kOverdueAfterHeartbeats = 1.3;
// Share of a zone's machines that must be overdue for a network partition; fewer have failed one by one.
inline constexpr double kZonePartitionShare = 0.5;
// Share of the worker lease after which services in a partitioned zone fail over to other zones, if possible.
inline constexpr double kFailoverLeaseShare = 0.7;
// How long a machine may go without acknowledging its fencing token, beyond its lease, before it is given up:
// it receives nothing that the leader sends.
inline constexpr milliseconds kUnacknowledgedTimeout = 5s;
// After loading, machines that a new leader has not heard from are probed directly.
inline constexpr milliseconds kProbeUnheardDelay = 3s;
// Least machines probed at a time, where sockets are few.
inline constexpr unsigned kMinProbesPerTick = 20;
// How long a released machine's name is remembered: instance lists and copies of its heartbeats arrive late.
inline constexpr milliseconds kReleasedHostRetention = 10min;

// --- Boot times: factors of the catalogue's boot time, unless said otherwise -------------------------------
// A machine that is not up after this counts as never coming up.
inline constexpr double kBootTimeoutFactor = 3.0;
// Least boot timeout; some machines take several times longer.
inline constexpr milliseconds kMinBootTimeout = 60s;
// Instances are usually up within this, by the protocol.
inline constexpr double kExpectedBootFactor = 1.5;
// Added for the first heartbeat to arrive.
inline constexpr milliseconds kFirstHeartbeatSlack = 5s;
// Expected boot time as a factor of the median of recent boots: those seen so far are the quicker ones.
inline constexpr double kMedianBootExpectedFactor = 1.8;
// Boot timeout as a factor of the median of recent boots.
inline constexpr int kMedianBootTimeoutFactor = 4;
// Factor of the boot timeout for a machine whose launch cohort is not up either.
inline constexpr int kSlowCohortTimeoutFactor = 2;
// Boots older than this say nothing about the next.
inline constexpr milliseconds kBootHistoryWindow = 5min;
// Most boots remembered per machine type and zone.
inline constexpr std::size_t kMaxBootsPerPool = 64;
// Fewer recent boots than this give no estimate.
inline constexpr std::size_t kMinBootSamples = 4;
// Instances requested within this of each other form a launch cohort: they boot alike.
inline constexpr milliseconds kBootCohortWindow = 15s;

// --- Failing tasks: is it the machine or the job? ----------------------------------------------------------
// Consecutive task errors after which a machine becomes suspect.
inline constexpr int kSuspectAfterErrors = 2;
// How long a suspect machine gets no new work, while its jobs are tried elsewhere.
inline constexpr milliseconds kSuspectPause = 15s;
// A task that runs this long on another machine clears its job.
inline constexpr milliseconds kHealthyRunTime = 5s;
// First backoff of a job whose tasks fail; doubles.
inline constexpr milliseconds kJobErrorBackoff = 2s;
// Largest backoff of such a job.
inline constexpr milliseconds kMaxJobErrorBackoff = 30s;
// Most doublings of the first backoff.
inline constexpr int kMaxJobErrorDoublings = 4;
// Machines that a job must fail on before the job itself counts as faulty.
inline constexpr std::size_t kFaultyJobMachines = 3;
// Tasks of a faulty job that are tried at once: few machines suffice.
inline constexpr std::uint32_t kFaultyJobTrialTasks = 2;
// Most machines remembered that a job has failed on.
inline constexpr std::size_t kMaxFailureHosts = 32;

// --- Instance list and catalogue ---------------------------------------------------------------------------
// Between reads of the instance list, which finds unknown and failed instances.
inline constexpr milliseconds kInstanceListInterval = 10s;
// Between reads of the catalogue: prices move slowly.
inline constexpr milliseconds kCatalogInterval = 60s;
// Between tries until the machine types have been read once.
inline constexpr milliseconds kCatalogRetryInterval = 2s;

// --- Task attempts -----------------------------------------------------------------------------------------
// GB/s; a machine type without a pull rate counts as this slow.
inline constexpr double kMinPullGbPerS = 0.01;
// Seconds beyond the checkpoint's own time that the grace period of a stop has.
inline constexpr double kCheckpointGraceMarginS = 1.0;

}  // namespace reachhoist::constants
