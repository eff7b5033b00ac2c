// Every constant of the service, by concern, with its unit and the reason for its value.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace reachhoist::constants {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// === Limits that the protocol sets for messages, calls and tokens
// Largest request body, in bytes.
inline constexpr std::size_t kMaxRequestBodyBytes = 64 * 1024;
// Largest request line and headers, in bytes; ours take about 200.
inline constexpr std::size_t kMaxRequestHeadBytes = 8 * 1024;
// Largest drift of a steady clock, as a share of the time measured.
inline constexpr double kMaxClockDriftShare = 0.0005;
// Most instances that one instance request may ask for.
inline constexpr std::size_t kMaxInstancesPerRequest = 50;
// Most instances that one release request may name.
inline constexpr std::size_t kMaxReleasesPerRequest = 100;
// Most instances that a page of the cloud's instance list holds.
inline constexpr std::size_t kInstanceListPageSize = 500;
// Bits of a fencing token below the leader's term; they count the tokens of one machine within the term.
inline constexpr int kFencingTokenTermShiftBits = 20;
// Least Retry-After that the protocol allows in an answer to a user, in seconds.
inline constexpr int kRetryAfterS = 1;

// === Time limits of outgoing calls, and of relaying heartbeats to the leader
// Key-value store: it answers within 10 ms, at times within some 100 ms.
inline constexpr milliseconds kStateCallTimeout = 1500ms;
// Reads of whole prefixes after an election: large answers take longer to parse.
inline constexpr milliseconds kStateLoadTimeout = 5s;
// Cloud: instance requests are answered in about 100 ms; calls that hang are cut off.
inline constexpr milliseconds kCloudCallTimeout = 5s;
// Worker: a healthy one answers commands within milliseconds.
inline constexpr milliseconds kWorkerCallTimeout = 2s;
// How long the key-value store may hold a watch (long poll) open; an open watch uses no request budget.
inline constexpr milliseconds kWatchPollTimeout = 10s;
// Beyond kWatchPollTimeout, before a watch counts as lost.
inline constexpr milliseconds kWatchTimeoutSlack = 3s;

// The leader's answer to a relayed heartbeat: below the 4 s after which a worker tries another controller.
inline constexpr milliseconds kRelayTimeout = 3s;
// A worker that comes back within this after being redirected could not reach the leader: it is relayed.
inline constexpr milliseconds kRedirectRetention = 8s;
// How long a worker's heartbeats are relayed before it is redirected again, to try the direct way.
inline constexpr milliseconds kMaxRelayDuration = 30s;

// === Sockets, connections and message sizes of the HTTP server and client and of the peer links
// --- HTTP server -----------------------------------------------------------------------------------------
// A request's head and body must have arrived within this.
inline constexpr milliseconds kRequestReadTimeout = 5s;
// Idle server connections are closed after this; users poll every 5 s.
inline constexpr milliseconds kServerIdleTimeout = 75s;
// All workers connect at once when the leader changes; the system clamps the value.
inline constexpr int kListenBacklog = 4096;
// --- HTTP client -----------------------------------------------------------------------------------------
// Time for three retransmissions on these networks.
inline constexpr milliseconds kConnectTimeout = 1500ms;
// Most idle client connections kept to one address.
inline constexpr std::size_t kMaxIdleConnectionsPerEndpoint = 4;
// An idle client connection is closed after this.
inline constexpr milliseconds kClientIdleTimeout = 30s;
// Largest response, in bytes; where a watch answer would be larger, the keys are listed instead.
inline constexpr std::size_t kMaxResponseBytes = 4 * 1024 * 1024;
// --- Division of a controller's sockets ------------------------------------------------------------------
// Outgoing calls get one socket in this many; workers' connections need most of them.
inline constexpr unsigned kClientSocketsDivisor = 8;
// Least sockets for outgoing calls, on the smallest controllers.
inline constexpr unsigned kMinClientSockets = 60;
// Of those, sockets kept for the key-value store and the cloud, never used for calls to workers.
inline constexpr unsigned kReservedServiceSockets = 24;
// Sockets of peer links (32 incoming, one outgoing to each sibling), listeners and epoll.
inline constexpr unsigned kPeerLinkSockets = 60;
// Least max_connections with which a controller can serve.
inline constexpr unsigned kMinConnections = 240;
// --- Links between controllers ---------------------------------------------------------------------------
// Largest peer message, in bytes.
inline constexpr std::size_t kMaxPeerFrameBytes = 256 * 1024;
// Most jobs in one progress message: some 60 bytes each.
inline constexpr std::size_t kMaxJobsPerProgressMessage = 2000;
// Most bytes queued to a peer; beyond this messages are dropped.
inline constexpr std::size_t kMaxPeerBacklogBytes = 512 * 1024;
// Between tries to connect to a sibling.
inline constexpr milliseconds kPeerRetryInterval = 500ms;
// Between heartbeats to siblings; they carry job progress and prove that the link works.
inline constexpr milliseconds kPeerHeartbeatInterval = 1s;
// How long what a sibling's heartbeat said counts as current; one comes each second.
inline constexpr milliseconds kPeerHeartbeatTimeout = 2500ms;

// === The request budget of the key-value store and the format of the records in it
// --- Request budget, as shares of the store's stated rates -----------------------------------------------
// The leader's share.
inline constexpr double kLeaderBudgetShare = 0.60;
// Most that any other controller gets; many controllers divide what the leader leaves.
inline constexpr double kFollowerBudgetShare = 0.18;
// The admin daemon's share, taken from the margin that the controllers keep.
inline constexpr double kAdminBudgetShare = 0.02;
// Part of the stated rate that all shares together may use: clocks and windows differ.
inline constexpr double kUsableRateShare = 0.92;
// Most that one controller spends on confirming reads.
inline constexpr double kMaxPollBudgetShare = 0.12;
// The same for all controllers together.
inline constexpr double kTotalPollBudgetShare = 0.40;
// --- Staleness and backoff -------------------------------------------------------------------------------
// A feed is confirmed by a read after this long, even if no request waits for it.
inline constexpr milliseconds kMaxFeedStaleness = 1s;
// A controller without confirmed reads for this long is isolated, if siblings reach the store or can't be
// heard either.
inline constexpr milliseconds kStateIsolationTimeout = 4s;
// Backoff of background work after a 429 or 503.
inline constexpr milliseconds kStateBackoff = 250ms;
// --- Records ---------------------------------------------------------------------------------------------
// Layout of the records; layout 1 kept placements in one record per machine.
inline constexpr std::uint64_t kRecordLayout = 2;
// The same with gangs among the jobs. Written with the first gang, since readers of layout 2 would lose it.
inline constexpr std::uint64_t kRecordLayoutWithGangs = 3;
// Share of the value size limit that a job's record may fill: flags and revisions vary in length.
inline constexpr double kMaxValueFillShare = 0.95;

// === Leader lease, election and the safety margins of worker leases
// Added to every lease computation beyond clock drift: timer steps, processing time, late expiry.
inline constexpr milliseconds kLeaseSafetyMargin = 1500ms;
// Time to live of the leader key: three renewals fit in, and failover stays short.
inline constexpr milliseconds kLeaderLeaseTtl = 3s;
// Between renewals of the leader lease: a third of the TTL, less one slow answer.
inline constexpr milliseconds kLeaderRenewInterval = 800ms;
// Between confirming reads of the leader key and of cancellations.
inline constexpr milliseconds kLeadershipConfirmInterval = 1s;
// Between tries to become leader while the leader key is absent.
inline constexpr milliseconds kElectionRetryInterval = 300ms;
// Most random delay added before such a try, so that candidates don't collide.
inline constexpr milliseconds kElectionJitter = 200ms;
// After stepping down in favour of a sibling: no candidacy for as long as the sibling may need until the
// workers reach it.
inline constexpr milliseconds kStepDownCooldown = 20s;
// A leader that can't reach nearly all of its machines itself for this long steps down.
inline constexpr milliseconds kLeaderIsolationTimeout = 3s;
// Machines that must be up before a leader may conclude that it is the isolated one.
inline constexpr int kLeaderIsolationMinMachines = 8;
// Relayed machines that are probed at once, to see whether this controller reaches them itself.
inline constexpr std::size_t kDirectProbeSamples = 4;
// A new leader that hears neither workers nor siblings for this long steps down. Workers need 5 s to leave
// the previous leader.
inline constexpr milliseconds kNewLeaderContactTimeout = 8s;
// A pause between two steps of a controller above which its process counts as having been stalled: ticks come
// every 50 ms.
inline constexpr milliseconds kStallThreshold = 1s;

// === Failure detection, boot times, failing jobs, and the cloud's instance list and catalogue
// --- Failure detection: times in heartbeat intervals since the last heartbeat ------------------------------
// A machine gets no new work, and is given up 2 s later.
inline constexpr double kMissedHeartbeatIntervals = 3.0;
// 1 s later it is probed directly.
inline constexpr double kProbeHeartbeatIntervals = 1.25;
// 1 s later it is given up, if the probe was not answered either.
inline constexpr double kUnreachableHeartbeatIntervals = 2.0;
// 0.5 s later it counts as overdue, as a sign that its zone is partitioned away.
inline constexpr double kOverdueHeartbeatIntervals = 1.3;
// Share of a zone's machines that must be overdue for a network partition; fewer have failed one by one.
inline constexpr double kZonePartitionShare = 0.5;
// Share of the worker lease after which services in a partitioned zone fail over to other zones, if possible.
inline constexpr double kFailoverLeaseShare = 0.7;
// How long a machine may go without acknowledging its fencing token, beyond its lease, before it is given up:
// it receives nothing that the leader sends.
inline constexpr milliseconds kUnacknowledgedTokenTimeout = 5s;
// After loading, machines that a new leader has not heard from are probed directly.
inline constexpr milliseconds kTakeoverProbeDelay = 3s;
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

// === Placement rounds, gang scheduling, progress records, and the scores that compare machines
// --- Placement rounds ------------------------------------------------------------------------------------
// Between ticks of the controller: the resolution of all its timeouts.
inline constexpr milliseconds kTickInterval = 50ms;
// Least time between placement rounds.
inline constexpr milliseconds kMinRoundInterval = 20ms;
// The same after a round that found nothing to place or stop.
inline constexpr milliseconds kIdleRoundInterval = 200ms;
// A round runs this often without any event: backoffs and missed heartbeats alone change what may be placed.
inline constexpr milliseconds kReplanInterval = 1s;
// Most placements of one round, so that rounds stay short.
inline constexpr std::size_t kMaxPlacementsPerRound = 400;
// Most attempts that one round preempts.
inline constexpr std::size_t kMaxPreemptionsPerRound = 64;
// --- Placement batches -----------------------------------------------------------------------------------
// Most batches written by one round: half of the 64 KiB that a transaction may hold.
inline constexpr std::size_t kMaxBatchesPerRound = 4;
// Size that batches aim at, in bytes of JSON; small batches are cheap to rewrite.
inline constexpr std::size_t kTargetBatchBytes = 7000;
// Share of the value size limit that a batch may fill: its size is an estimate.
inline constexpr double kMaxBatchFillShare = 0.85;
// Between rewrites of batches that name machines which are gone.
inline constexpr milliseconds kBatchCleanupInterval = 2s;
// --- Progress and completion -----------------------------------------------------------------------------
// Between transactions that record the progress of job arrays.
inline constexpr milliseconds kProgressWriteInterval = 2s;
// Most ended attempts listed in a worker's heartbeats; beyond this, forget commands are sent directly.
inline constexpr std::size_t kMaxEndedAttemptsListed = 40;
// Tasks per record of completed tasks: 1 KiB of hex, below any value size limit.
inline constexpr std::uint32_t kTasksPerDoneChunk = 4096;
// --- Order of jobs ---------------------------------------------------------------------------------------
// Added to a job's expected run time, as a share of it: users are often wrong by half.
inline constexpr double kRunTimeEstimateSlackShare = 0.5;
// Start time SLO of jobs for which none is configured.
inline constexpr milliseconds kDefaultStartSlo = 5min;
// A job without a start for this long goes first; the largest jobs have 240 s.
inline constexpr milliseconds kStarvationTimeout = 150s;
// Such a job gets one of this many parts of its tasks at once.
inline constexpr std::uint32_t kStarvedJobDivisor = 8;
// --- Gangs -----------------------------------------------------------------------------------------------
// Capacity in pieces is reserved for a gang for this long: two boots.
inline constexpr milliseconds kGangReservationTimeout = 60s;
// Most gangs with such a reservation at once, so that job arrays keep most of the capacity that frees up.
inline constexpr std::size_t kMaxGangReservations = 8;
// First backoff after a failed attempt of a gang; doubles.
inline constexpr milliseconds kGangRetryBackoff = 500ms;
// Largest backoff between attempts of a gang.
inline constexpr milliseconds kMaxGangRetryBackoff = 15s;
// Largest backoff between scale-outs for a gang that the cloud has too few instances for.
inline constexpr milliseconds kMaxGangScaleOutBackoff = 5min;
// Time to stop a gang in where there is no deadline, in seconds.
inline constexpr double kUnlimitedStopTimeS = 1e9;
// --- Scores: the seconds of delay that a choice of machine is worth ---------------------------------------
// A job that may use spot instances on an on-demand machine: that capacity is for production work.
inline constexpr double kSpotJobOnDemandPenaltyS = 6.0;
// A service on an empty machine; small, so that an empty machine with the image beats a fuller one without.
inline constexpr double kEmptyMachineServicePenaltyS = 0.4;
// A job array task on an empty machine: filling other machines up first leaves empty ones to release.
inline constexpr double kEmptyMachineArrayPenaltyS = 3.0;
// Share of an image fetch's time that a task costs which joins a fetch under way.
inline constexpr double kSharedPullCostShare = 0.5;
// Preempting a gang for the capacity of one task.
inline constexpr double kGangPreemptionCostS = 60.0;
// The same if one of the gang's machines is unreachable: without the command to stop, nothing is
// checkpointed.
inline constexpr double kUnreachableGangPreemptionCostS = 300.0;

// === Fleet sizing (after SAIR, see fleet/episodes.hpp; "ours": values that the paper doesn't give)
// --- Operators' defaults -----------------------------------------------------------------------------------
// Between sizing rounds, in seconds (SAIR's decision interval).
inline constexpr double kDefaultSizingRoundS = 30;
// Least time between scale-outs of a pool, in seconds (SAIR's validator).
inline constexpr double kDefaultScaleUpCooldownS = 60;
// Least time between scale-ins of a pool, in seconds (SAIR's validator).
inline constexpr double kDefaultScaleDownCooldownS = 120;
// A unit of a step is one of this many parts of the pool (SAIR's cap of 8).
inline constexpr int kDefaultStepDivisor = 8;
// Free on-demand CPUs for the length of a boot, as a share of the CPUs that services and gangs use.
inline constexpr double kDefaultReserveShare = 0.09;
// Free CPUs for the next production work, as a share of the CPUs that production work uses.
inline constexpr double kDefaultHeadroomShare = 0.12;
// --- Steps -------------------------------------------------------------------------------------------------
// Most units added by a step (SAIR's action set).
inline constexpr int kMaxStepUnits = 2;
// Most units removed by a step, as a negative number (SAIR's action set).
inline constexpr int kMinStepUnits = -1;
// Queue wait that a pool aims at.
inline constexpr milliseconds kQueueWaitTarget = 5s;
// --- Payoff ------------------------------------------------------------------------------------------------
// Weight of the drop in queue wait (SAIR's w_L).
inline constexpr double kWaitWeight = 0.7;
// Weight of the rise in cost (SAIR's w_C).
inline constexpr double kCostWeight = 0.3;
// Weight of the bonus for acting while the target is missed (SAIR).
inline constexpr double kProactiveWeight = 0.3;
// Most that a dominated outcome earns (SAIR's margin of 0.2).
inline constexpr double kMaxDominatedPayoff = 0.8;
// Payoffs are clipped to this, both ways (SAIR's R_max).
inline constexpr double kMaxPayoff = 2.0;
// --- Episodes ----------------------------------------------------------------------------------------------
// Weight of the diversity penalty in retrieval (SAIR's lambda_div).
inline constexpr double kDiversityWeight = 0.1;
// Width of the similarity kernel over features scaled to 0..1 (ours).
inline constexpr double kContextSigma = 0.35;
// Least similarity with which an episode counts (ours).
inline constexpr double kMinSimilarity = 0.6;
// Most episodes in the buffer; the oldest are dropped (ours).
inline constexpr std::size_t kMaxEpisodes = 200;
// Most episodes in the stored copy: about 4 KB, below any value size limit.
inline constexpr std::size_t kMaxStoredEpisodes = 80;
// Most points of the Pareto frontier (ours).
inline constexpr std::size_t kMaxFrontierPoints = 32;
// Between writes of the sizing state to the key-value store.
inline constexpr milliseconds kSizingStateSaveInterval = 60s;
// --- Features ----------------------------------------------------------------------------------------------
// Queue wait, in targets, at which the normalised wait reaches 1 (ours).
inline constexpr double kMaxWaitTargets = 6.0;
// Machines up to which a pool's size and cost are measured linearly (ours).
inline constexpr double kSmallPoolMachines = 16.0;
// Doublings of a larger pool that raise the size feature as much as the first 16 machines.
inline constexpr double kSizeFeatureDoublings = 4.0;
// --- Scale-out and consolidation beside the sizing rounds --------------------------------------------------
// Between scale-outs for unplaced demand.
inline constexpr milliseconds kScaleOutInterval = 1s;
// A pool whose instance request was refused is not asked again for this long.
inline constexpr milliseconds kRefusedPoolBackoff = 20s;
// Between consolidations; a machine is drained in about one second.
inline constexpr milliseconds kConsolidationInterval = 2s;
// Least age of a machine to be drained (it is paid for so long anyway) and of the services on it.
inline constexpr milliseconds kConsolidationMinAge = 60s;
// Of a pool, one in this many machines may drain at once, so that few services move.
inline constexpr std::size_t kConsolidationDivisor = 32;
// Machines' worth of capacity that stays free beyond the headroom: one machine may be lost.
inline constexpr double kConsolidationSpareMachines = 2.0;
// Largest used share of a machine to be drained; beyond it, moving the work costs more than it saves.
inline constexpr double kConsolidationMaxUsedShare = 0.6;

// === Fair-share tables: limits of a table and the pace of its convergence
// Most groups of a table: its record stays below the value size limit.
inline constexpr std::size_t kMaxShareGroups = 64;
// Largest weight: ratios beyond this are mistakes.
inline constexpr double kMaxShareWeight = 1e6;
// Change requests remembered, to recognise repeated (idempotent) requests.
inline constexpr std::size_t kShareRequestHistory = 8;
// Longest request id, in bytes: a UUID and a little more.
inline constexpr std::size_t kMaxShareRequestIdBytes = 40;
// Longest time between a worker's heartbeats, as a factor of the heartbeat interval.
inline constexpr double kHeartbeatJitterFactor = 1.25;
// Between writes of the groups' status, if it has changed.
inline constexpr milliseconds kShareStatusInterval = 5s;
// Between tries to write the first table.
inline constexpr milliseconds kShareWriteRetryInterval = 2s;

// === Arithmetic on resources
// Sums and quotients of fractional CPUs, GPUs and tasks are not exact: differences below this don't count.
inline constexpr double kResourceTolerance = 1e-6;
// CPUs; the least divisor where the CPUs of a task or a machine may be zero or unknown.
inline constexpr double kMinCpuDivisor = 0.01;

}  // namespace reachhoist::constants
