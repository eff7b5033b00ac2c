// The constants of the service by concern, with their units and, where needed, the reason for a value.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace reachhoist::constants {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// === Units
inline constexpr double kBytesPerKib = 1024;

// === Limits that the protocol sets for messages, calls and tokens
// The protocol limits a request body to this size.
inline constexpr std::size_t kMaxRequestBodyBytes = 64 * 1024;
// Limits the request line and the headers. Those of the service itself take about 200 bytes.
inline constexpr std::size_t kMaxRequestHeadBytes = 8 * 1024;
// Largest drift of a steady clock, as a share of the measured time.
inline constexpr double kMaxClockDriftShare = 0.0005;
// The cloud accepts at most this many instances in one instance request.
inline constexpr std::size_t kMaxInstancesPerRequest = 50;
// The cloud accepts at most this many instances in one release request.
inline constexpr std::size_t kMaxReleasesPerRequest = 100;
// A page of the cloud's instance list holds at most this many instances.
inline constexpr std::size_t kInstanceListPageSize = 500;
// A fencing token holds the leader's term above these bits. The bits below count the tokens of one machine
// within the term.
inline constexpr int kFencingTokenTermShiftBits = 20;
// The last token of a machine, and the last number of an attempt, in one term. The next ones belong to the
// next term.
inline constexpr std::uint64_t kMaxFencingSequence = (std::uint64_t{1} << kFencingTokenTermShiftBits) - 1;
// The protocol allows no smaller Retry-After in an answer to a user.
inline constexpr int kRetryAfterS = 1;

// === Time limits of outgoing calls, and of relaying heartbeats to the leader
// The key-value store usually answers within 10 ms and sometimes takes some 100 ms.
inline constexpr milliseconds kStateCallTimeout = 1500ms;
// Applies to reads of whole prefixes after an election, as large answers take longer to parse.
inline constexpr milliseconds kStateLoadTimeout = 5s;
// The cloud answers instance requests in about 100 ms. The timeout cuts off calls that hang.
inline constexpr milliseconds kCloudCallTimeout = 5s;
// A healthy worker answers commands within milliseconds.
inline constexpr milliseconds kWorkerCallTimeout = 2s;
// The key-value store may hold a watch (long poll) open for this long. An open watch uses no request budget.
inline constexpr milliseconds kWatchPollTimeout = 10s;
// A watch counts as lost if its answer is this much later than the requested poll time.
inline constexpr milliseconds kWatchTimeoutSlack = 3s;

// Limits the wait for the leader's answer to a relayed heartbeat. Workers try another controller after 4 s.
inline constexpr milliseconds kRelayTimeout = 3s;
// A worker that returns within this time after a redirect could not reach the leader, so its heartbeats are
// relayed.
inline constexpr milliseconds kRedirectRetention = 8s;
// After this time of relaying, a worker is redirected again, to try the direct connection.
inline constexpr milliseconds kMaxRelayDuration = 30s;

// === Sockets, connections and message sizes of the HTTP server and client and of the peer links
// --- HTTP server -----------------------------------------------------------------------------------------
// The head and the body of a request must arrive within this time.
inline constexpr milliseconds kRequestReadTimeout = 5s;
// The server closes idle connections after this time. Users poll every 5 s.
inline constexpr milliseconds kServerIdleTimeout = 75s;
// All workers connect at once when the leader changes. The operating system clamps the value.
inline constexpr int kListenBacklog = 4096;
// --- HTTP client -----------------------------------------------------------------------------------------
// A connection attempt fails after this time, which allows three retransmissions on these networks.
inline constexpr milliseconds kConnectTimeout = 1500ms;
inline constexpr std::size_t kMaxIdleConnectionsPerEndpoint = 4;
// The client closes idle connections after this time.
inline constexpr milliseconds kClientIdleTimeout = 30s;
// Where the answer to a watch would be larger, the client lists the keys instead.
inline constexpr std::size_t kMaxResponseBytes = 4 * 1024 * 1024;
// --- Division of a controller's sockets ------------------------------------------------------------------
// Outgoing calls get one socket in this many, as workers' connections need the majority.
inline constexpr unsigned kClientSocketsDivisor = 8;
// The smallest controllers keep at least this many sockets for outgoing calls.
inline constexpr unsigned kMinClientSockets = 60;
// Of the sockets for outgoing calls, this many are reserved for the key-value store and the cloud. Calls to
// workers never use them.
inline constexpr unsigned kReservedServiceSockets = 24;
// Sockets of the peer links (32 incoming, one outgoing to each sibling), the listeners and epoll.
inline constexpr unsigned kPeerLinkSockets = 60;
// A controller cannot serve with a smaller max_connections.
inline constexpr unsigned kMinConnections = 240;
// --- Links between controllers ---------------------------------------------------------------------------
inline constexpr std::size_t kMaxPeerFrameBytes = 256 * 1024;
// Limits the jobs in one progress message. Each job takes some 60 bytes.
inline constexpr std::size_t kMaxJobsPerProgressMessage = 2000;
// A peer link drops messages while more bytes than this are queued.
inline constexpr std::size_t kMaxPeerBacklogBytes = 512 * 1024;
// Interval between attempts to connect to a sibling.
inline constexpr milliseconds kPeerRetryInterval = 500ms;
// Heartbeats to siblings carry job progress and prove that the link works.
inline constexpr milliseconds kPeerHeartbeatInterval = 1s;
// The contents of a sibling's heartbeat count as current for this long. A heartbeat arrives each second.
inline constexpr milliseconds kPeerHeartbeatTimeout = 2500ms;

// === The request budget of the key-value store and the format of the records in it
// --- Request budget, as shares of the store's stated rates -----------------------------------------------
// The leader's share of the request budget.
inline constexpr double kLeaderBudgetShare = 0.60;
// Upper limit of the share of any other controller. Many controllers divide what the leader leaves.
inline constexpr double kFollowerBudgetShare = 0.18;
// The admin daemon's share, taken from the margin that the controllers keep.
inline constexpr double kAdminBudgetShare = 0.02;
// All shares together may use this part of the stated rate, as clocks and rate windows differ.
inline constexpr double kUsableRateShare = 0.92;
// Upper limit of the share that one controller spends on confirming reads.
inline constexpr double kMaxPollBudgetShare = 0.12;
// Upper limit of the share that all controllers together spend on confirming reads.
inline constexpr double kTotalPollBudgetShare = 0.40;
// --- Staleness and backoff -------------------------------------------------------------------------------
// A read confirms a feed after this time, even if no request waits for it.
inline constexpr milliseconds kMaxFeedStaleness = 1s;
// A controller without confirmed reads for this long is isolated, if siblings reach the store or send no
// heartbeats either.
inline constexpr milliseconds kStateIsolationTimeout = 4s;
// Backoff of background work after a 429 or 503.
inline constexpr milliseconds kStateBackoff = 250ms;
// --- Records ---------------------------------------------------------------------------------------------
// Layout of the records. Layout 1 kept placements in one record per machine.
inline constexpr std::uint64_t kRecordLayout = 2;
// Layout of the records with gangs among the jobs. The first gang raises the layout, since controllers that
// read only layout 2 would lose the gang.
inline constexpr std::uint64_t kRecordLayoutWithGangs = 3;
// A job's record may fill this share of the value size limit, as flags and revisions vary in length.
inline constexpr double kMaxValueFillShare = 0.95;

// === Leader lease, election and the safety margins of worker leases
// Every lease computation adds this margin to the clock drift. It covers timer steps, processing time and
// late expiry.
inline constexpr milliseconds kLeaseSafetyMargin = 1500ms;
// Time to live of the leader key. Three renewals fit into it, and failover stays short.
inline constexpr milliseconds kLeaderLeaseTtl = 3s;
// A third of the lease TTL, less one slow answer.
inline constexpr milliseconds kLeaderRenewInterval = 800ms;
// Interval between confirming reads of the leader key and of cancellations.
inline constexpr milliseconds kLeadershipConfirmInterval = 1s;
// Interval between attempts to become the leader while the leader key is absent.
inline constexpr milliseconds kElectionRetryInterval = 300ms;
// Upper limit of the random delay before such an attempt, so that candidates do not collide.
inline constexpr milliseconds kElectionJitter = 200ms;
// A controller that steps down in favour of a sibling is no candidate for this long, so that the workers can
// reach the sibling first.
inline constexpr milliseconds kStepDownCooldown = 20s;
// A leader steps down if nearly all of its machines are out of its direct reach for this long.
inline constexpr milliseconds kLeaderIsolationTimeout = 3s;
// With fewer machines up, a leader must not conclude that it is the isolated one.
inline constexpr int kLeaderIsolationMinMachines = 8;
// This many relayed machines are probed at once, to test whether this controller reaches them directly.
inline constexpr std::size_t kDirectProbeSamples = 4;
// A new leader that receives no heartbeat from workers or siblings for this long steps down. Workers need 5 s
// to leave the previous leader.
inline constexpr milliseconds kNewLeaderContactTimeout = 8s;
// A longer pause between two ticks of a controller means that its process was stalled. Ticks are 50 ms apart.
inline constexpr milliseconds kStallThreshold = 1s;

// === Failure detection, boot times, failing jobs, and the cloud's instance list and catalogue
// --- Failure detection: times in heartbeat intervals since the last heartbeat ------------------------------
// After this time a machine gets no new work. The leader gives it up 2 s later.
inline constexpr double kMissedHeartbeatIntervals = 3.0;
// The leader probes the machine directly 1 s after this time.
inline constexpr double kProbeHeartbeatIntervals = 1.25;
// The leader gives the machine up 1 s after this time, if it has not answered the probe either.
inline constexpr double kUnreachableHeartbeatIntervals = 2.0;
// A heartbeat counts as overdue 0.5 s after this time. Many overdue machines suggest a partition of their
// zone.
inline constexpr double kOverdueHeartbeatIntervals = 1.3;
// A network partition is assumed if more than this share of a zone's machines is overdue. Otherwise the
// machines have failed one by one.
inline constexpr double kZonePartitionShare = 0.5;
// After this share of the worker lease, services in a partitioned zone fail over to other zones, if possible.
inline constexpr double kFailoverLeaseShare = 0.7;
// A machine that does not acknowledge its fencing token for this long beyond its lease is given up: it
// receives nothing that the leader sends.
inline constexpr milliseconds kUnacknowledgedTokenTimeout = 5s;
// This long after it has loaded its state, a new leader probes the machines that have sent it no heartbeat.
inline constexpr milliseconds kTakeoverProbeDelay = 3s;
// Lower limit of the machines probed at a time, where sockets are few.
inline constexpr unsigned kMinProbesPerTick = 20;
// The name of a released machine is remembered for this long, as instance lists and copies of its heartbeats
// arrive late.
inline constexpr milliseconds kReleasedHostRetention = 10min;
// --- Boot times: factors of the catalogue's boot time, unless said otherwise -------------------------------
// A machine that is not up after this time is assumed never to come up.
inline constexpr double kBootTimeoutFactor = 3.0;
// Lower limit of the boot timeout, as some machines take several times the catalogue's boot time.
inline constexpr milliseconds kMinBootTimeout = 60s;
// By the protocol, instances are usually up within this time.
inline constexpr double kExpectedBootFactor = 1.5;
// The expected boot time includes this slack for the first heartbeat to arrive.
inline constexpr milliseconds kFirstHeartbeatSlack = 5s;
// Expected boot time as a factor of the median of recent boots, which are the quicker ones.
inline constexpr double kMedianBootExpectedFactor = 1.8;
// Boot timeout as a factor of the median of recent boots.
inline constexpr int kMedianBootTimeoutFactor = 4;
// Multiplies the boot timeout of a machine whose launch cohort is not up either.
inline constexpr int kSlowCohortTimeoutFactor = 2;
// Boots older than this do not predict the next ones.
inline constexpr milliseconds kBootHistoryWindow = 5min;
// Limits the boots remembered per machine type and zone.
inline constexpr std::size_t kMaxBootsPerPool = 64;
// Fewer recent boots than this give no estimate.
inline constexpr std::size_t kMinBootSamples = 4;
// Instances requested within this time of each other form a launch cohort, as their boot times are alike.
inline constexpr milliseconds kBootCohortWindow = 15s;
// --- Failing tasks: attribution to the machine or to the job -----------------------------------------------
// A machine becomes suspect after this many consecutive task errors.
inline constexpr int kSuspectAfterErrors = 2;
// A suspect machine gets no new work for this long, while its jobs are tried elsewhere.
inline constexpr milliseconds kSuspectDuration = 15s;
// A task that runs on another machine for this much longer than the longest failed run proves that the job is
// not at fault.
inline constexpr milliseconds kHealthyRunTime = 5s;
// First backoff of a job whose tasks fail. Each retry doubles it.
inline constexpr milliseconds kJobErrorBackoff = 2s;
inline constexpr milliseconds kMaxJobErrorBackoff = 30s;
// Limits the doublings of kJobErrorBackoff.
inline constexpr int kMaxJobErrorDoublings = 4;
// A job whose tasks have failed on this many machines counts as at fault.
inline constexpr std::size_t kJobAtFaultMachines = 3;
// At most this many tasks of a job at fault are retried at once, so that they occupy few machines.
inline constexpr std::uint32_t kJobAtFaultTrialTasks = 2;
// Limits the machines remembered per job on which the job has failed.
inline constexpr std::size_t kMaxFailureHosts = 32;
// --- Instance list and catalogue ---------------------------------------------------------------------------
// Interval between reads of the instance list, which reveals unknown and failed instances.
inline constexpr milliseconds kInstanceListInterval = 10s;
// Interval between reads of the catalogue, as prices change slowly.
inline constexpr milliseconds kCatalogInterval = 60s;
// Interval between attempts to read the catalogue until the first one succeeds.
inline constexpr milliseconds kCatalogRetryInterval = 2s;
// --- Task attempts -----------------------------------------------------------------------------------------
// A machine type without a pull rate counts as this slow.
inline constexpr double kMinPullGbPerS = 0.01;
// The grace period of a stop exceeds the checkpoint's own time by this margin.
inline constexpr double kCheckpointGraceMarginS = 1.0;

// === Placement rounds, gang scheduling, progress records, and the scores that compare machines
// --- Placement rounds ------------------------------------------------------------------------------------
// Interval between ticks of the controller, which is the resolution of all its timeouts.
inline constexpr milliseconds kTickInterval = 50ms;
// Least time between placement rounds.
inline constexpr milliseconds kMinRoundInterval = 20ms;
// Least time between placement rounds after one that found nothing to place or stop.
inline constexpr milliseconds kIdleRoundInterval = 200ms;
// A round runs this often without any event, as backoffs and missed heartbeats alone change what can be
// placed.
inline constexpr milliseconds kReplanInterval = 1s;
// Limits the duration of a round.
inline constexpr std::size_t kMaxPlacementsPerRound = 400;
// One round preempts at most this many attempts.
inline constexpr std::size_t kMaxPreemptionsPerRound = 64;
// --- Placement batches -----------------------------------------------------------------------------------
// One round writes at most this many batches, half of the 64 KiB that a transaction may hold.
inline constexpr std::size_t kMaxBatchesPerRound = 4;
// Target size of a batch in its JSON form. Small batches are cheap to rewrite.
inline constexpr std::size_t kTargetBatchBytes = 7000;
// A batch may fill this share of the value size limit, as its size is an estimate.
inline constexpr double kMaxBatchFillShare = 0.85;
// Interval between rewrites of batches that name removed machines.
inline constexpr milliseconds kBatchCleanupInterval = 2s;
// --- Progress and completion -----------------------------------------------------------------------------
// Interval between transactions that record the progress of job arrays.
inline constexpr milliseconds kProgressWriteInterval = 2s;
// If a worker's heartbeats list more ended attempts than this, the leader sends it forget commands directly.
inline constexpr std::size_t kMaxEndedAttemptsListed = 40;
// Tasks per record of completed tasks. The record takes 1 KiB of hex, below any value size limit.
inline constexpr std::uint32_t kTasksPerDoneChunk = 4096;
// --- Order of jobs ---------------------------------------------------------------------------------------
// A job's expected run time is raised by this share of it, as users' estimates are often wrong by half.
inline constexpr double kRunTimeEstimateSlackShare = 0.5;
// Start time SLO of jobs for which the operators configure none.
inline constexpr milliseconds kDefaultStartSlo = 5min;
// A job within its team's guarantee that has waited this long stops work of any priority that another team
// runs beyond its guarantee. By then an instance requested for it is up, unless the cloud has none.
inline constexpr milliseconds kGuaranteeWaitLimit = 30s;
// A job that has started no task for this long counts as starved. The largest jobs of a class must start
// within 240 s.
inline constexpr milliseconds kStarvationTimeout = 150s;
// One round places at most the waiting tasks of a starved job divided by this.
inline constexpr std::uint32_t kStarvedJobDivisor = 8;
// --- Gangs -----------------------------------------------------------------------------------------------
// Capacity that frees up in pieces stays reserved for a gang for this long, which is two boots.
inline constexpr milliseconds kGangReservationTimeout = 60s;
// At most this many gangs reserve capacity at once, so that job arrays keep the larger part of the capacity
// that frees up.
inline constexpr std::size_t kMaxGangReservations = 8;
// First backoff after a failed attempt of a gang. Each failure doubles it.
inline constexpr milliseconds kGangRetryBackoff = 500ms;
inline constexpr milliseconds kMaxGangRetryBackoff = 15s;
// Largest backoff between scale-outs for a gang that the cloud has too few instances for.
inline constexpr milliseconds kMaxGangScaleOutBackoff = 5min;
// Time allowed for stopping a gang where there is no deadline.
inline constexpr double kUnlimitedStopTimeS = 1e9;
// --- Scores: the seconds of delay that a choice of machine is worth ---------------------------------------
// Applies to a job that may use spot instances on an on-demand machine, whose capacity is for production
// work.
inline constexpr double kSpotJobOnDemandPenaltyS = 6.0;
// Applies to a service on an empty machine. It is small, so that an empty machine with the image beats a
// fuller one without.
inline constexpr double kEmptyMachineServicePenaltyS = 0.4;
// Applies to a job array task on an empty machine. Other machines fill up first, so that empty ones can be
// released.
inline constexpr double kEmptyMachineArrayPenaltyS = 3.0;
// A task that joins an image pull under way costs this share of the pull time.
inline constexpr double kSharedPullCostShare = 0.5;
// Cost of preempting a gang for the capacity of one task.
inline constexpr double kGangPreemptionCostS = 60.0;
// The same cost if one of the gang's machines is unreachable. Without the stop command, the gang writes no
// checkpoint.
inline constexpr double kUnreachableGangPreemptionCostS = 300.0;

// === Fleet sizing (after SAIR, see fleet/episodes.hpp; values marked "SAIR" come from the paper)
// --- Operators' defaults -----------------------------------------------------------------------------------
// Interval between sizing rounds (SAIR's decision interval).
inline constexpr double kDefaultSizingRoundS = 30;
// Least time between scale-outs of a pool (SAIR's validator).
inline constexpr double kDefaultScaleUpCooldownS = 60;
// Least time between scale-ins of a pool (SAIR's validator).
inline constexpr double kDefaultScaleDownCooldownS = 120;
// A step's unit is one of this many parts of the pool (SAIR's cap of 8).
inline constexpr int kDefaultStepDivisor = 8;
// Free on-demand CPUs for the length of a boot, as a share of the CPUs that services and gangs use.
inline constexpr double kDefaultReserveShare = 0.09;
// Free CPUs for the next production work, as a share of the CPUs that production work uses.
inline constexpr double kDefaultHeadroomShare = 0.12;
// --- Steps -------------------------------------------------------------------------------------------------
// A step adds at most this many units (SAIR's action set).
inline constexpr int kMaxStepUnits = 2;
// A step removes at most this many units, as a negative number (SAIR's action set).
inline constexpr int kMinStepUnits = -1;
// Target of the queue wait of a pool.
inline constexpr milliseconds kQueueWaitTarget = 5s;
// --- Payoff ------------------------------------------------------------------------------------------------
// Weight of the drop in queue wait (SAIR's w_L).
inline constexpr double kWaitWeight = 0.7;
// Weight of the rise in cost (SAIR's w_C).
inline constexpr double kCostWeight = 0.3;
// Weight of the bonus for acting while the target is missed (SAIR).
inline constexpr double kProactiveWeight = 0.3;
// Upper limit of what a dominated outcome earns (SAIR's margin of 0.2).
inline constexpr double kMaxDominatedPayoff = 0.8;
// Payoffs are clipped to this magnitude (SAIR's R_max).
inline constexpr double kMaxPayoff = 2.0;
// --- Episodes ----------------------------------------------------------------------------------------------
// Weight of the diversity penalty in retrieval (SAIR's lambda_div).
inline constexpr double kDiversityWeight = 0.1;
// Width of the similarity kernel over features scaled to 0..1.
inline constexpr double kContextSigma = 0.35;
// An episode counts from this similarity on.
inline constexpr double kMinSimilarity = 0.6;
// Limits the episodes in the buffer, which drops the oldest.
inline constexpr std::size_t kMaxEpisodes = 200;
// Limits the episodes in the stored copy to about 4 KB, below any value size limit.
inline constexpr std::size_t kMaxStoredEpisodes = 80;
// Limits the points of the Pareto frontier.
inline constexpr std::size_t kMaxFrontierPoints = 32;
// Interval between writes of the sizing state to the key-value store.
inline constexpr milliseconds kSizingStateSaveInterval = 60s;
// --- Features ----------------------------------------------------------------------------------------------
// Queue wait, as a multiple of the target, at which the normalised wait reaches 1.
inline constexpr double kMaxWaitTargets = 6.0;
// The features for a pool's size and cost are linear up to this many machines.
inline constexpr double kSmallPoolMachines = 16.0;
// This many doublings of a larger pool raise the size feature as much as the first 16 machines.
inline constexpr double kSizeFeatureDoublings = 4.0;
// --- Scale-out and consolidation beside the sizing rounds --------------------------------------------------
// Interval between scale-outs for unplaced demand.
inline constexpr milliseconds kScaleOutInterval = 1s;
// One in this many of the instances that are still needed is requested before the pools are compared again.
inline constexpr double kScaleOutStepDivisor = 64;
// Limits the instances that are requested before the pools are compared again.
inline constexpr double kMaxScaleOutStepInstances = 100'000;
// Limits how often one scale-out for unplaced demand compares the pools. The rest waits for the next one.
inline constexpr int kMaxScaleOutSteps = 2000;
// A pool that has refused an instance request gets no other for this long.
inline constexpr milliseconds kRefusedPoolBackoff = 20s;
// Interval between consolidations. A machine is drained in about one second.
inline constexpr milliseconds kConsolidationInterval = 2s;
// Least age of a machine to be drained, and of the services on it. A machine is paid for this long in any
// case.
inline constexpr milliseconds kConsolidationMinAge = 60s;
// One in this many machines of a pool may drain at once, so that few services move.
inline constexpr std::size_t kConsolidationDivisor = 32;
// This many machines' worth of capacity stays free beyond the headroom, so that one machine may be lost.
inline constexpr double kConsolidationSpareMachines = 2.0;
// Largest used share of a machine to be drained. Beyond it, moving the work costs more than it saves.
inline constexpr double kConsolidationMaxUsedShare = 0.6;

// === Fair-share tables: limits of a table and the pace of its convergence
// Limits the groups of a table, so that its record stays below the value size limit.
inline constexpr std::size_t kMaxShareGroups = 64;
// A larger weight is assumed to be a mistake.
inline constexpr double kMaxShareWeight = 1e6;
// This many change requests are remembered, to recognise repeated (idempotent) requests.
inline constexpr std::size_t kShareRequestHistory = 8;
// A UUID takes 36 bytes.
inline constexpr std::size_t kMaxShareRequestIdBytes = 40;
// Longest time between a worker's heartbeats, as a factor of the heartbeat interval.
inline constexpr double kHeartbeatJitterFactor = 1.25;
// Interval between writes of the groups' status while it changes.
inline constexpr milliseconds kShareStatusInterval = 5s;
// Interval between attempts to write the first table.
inline constexpr milliseconds kShareWriteRetryInterval = 2s;

// === Arithmetic on resources
// Sums and quotients of fractional CPUs, GPUs and tasks are inexact. Smaller differences are ignored.
inline constexpr double kResourceTolerance = 1e-6;
// Least divisor, in CPUs, where the CPUs of a task or a machine may be zero or unknown.
inline constexpr double kMinCpuDivisor = 0.01;

}  // namespace reachhoist::constants
