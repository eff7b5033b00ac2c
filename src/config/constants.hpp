// Every constant of the service, with its unit and the reason for its value.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace reachhoist::constants {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::seconds;

// --- Protocol -------------------------------------------------------------------------------------------
inline constexpr std::size_t kMaxBodyBytes = 64 * 1024;    // bytes; the protocol's limit for request bodies
inline constexpr std::size_t kMaxHeadBytes = 8 * 1024;     // bytes of request line and headers; ours are ~200
inline constexpr double kClockDrift = 0.0005;              // share; steady clocks drift at most this much
inline constexpr milliseconds kHeartbeatAnswerLimit = 4s;  // a worker drops answers that take longer
inline constexpr std::size_t kInstanceRequestMax = 50;     // machines a rental request may ask for
inline constexpr std::size_t kReleaseRequestMax = 100;     // names a deletion request may hold
inline constexpr std::size_t kListPage = 500;              // machines a list page may hold
inline constexpr std::size_t kKeysPage = 1000;             // items a page of keys may hold
inline constexpr int kTokenTermShift = 20;                 // bits; low part counts fences of one machine

// --- Leases and safety windows --------------------------------------------------------------------------
inline constexpr milliseconds kLeaseMargin = 1500ms;   // beyond drift: timer steps, processing, late expiry
inline constexpr milliseconds kLeaderTtl = 3s;         // leader key; three renewals fit, failover stays short
inline constexpr milliseconds kLeaderRenew = 800ms;    // a third of the TTL less one slow answer
inline constexpr milliseconds kConfirmEvery = 1s;      // ownership and cancellations are re-read this often
inline constexpr milliseconds kElectionRetry = 300ms;  // between tries to take a vacant leadership
inline constexpr milliseconds kStepDownPause =
    20s;  // after leaving the lead to a sibling; it needs as long to be heard
inline constexpr milliseconds kSelfCutPatience =
    3s;  // nearly all machines overdue for this long more: relay fails too
inline constexpr std::size_t kDirectSamples =
    4;  // machines asked at once whether this controller reaches them itself
inline constexpr milliseconds kUnheardPatience =
    8s;  // a new leader that hears neither workers nor siblings: workers need 5 s to give up the earlier one
inline constexpr milliseconds kStandstill =
    1s;  // between two steps of a controller: ticks come every 50 ms, so it did not run in between
inline constexpr int kSelfCutLeast = 8;                 // machines that must be up for such a judgement
inline constexpr milliseconds kElectionSpread = 200ms;  // random addition, so that rivals don't collide

// --- Time limits of calls -------------------------------------------------------------------------------
inline constexpr milliseconds kStateTimeout = 1500ms;  // state service answers in <10 ms, at times some 100
inline constexpr milliseconds kStateLoadTimeout = 5s;  // whole pages at election take longer to parse
inline constexpr milliseconds kCloudTimeout = 5s;      // rentals answer in ~100 ms; cut off when hanging
inline constexpr milliseconds kWorkerTimeout = 2s;     // a healthy worker answers commands in ms
inline constexpr milliseconds kWatchBlock = 10s;       // long poll; an open watch costs no budget
inline constexpr milliseconds kWatchSlack = 3s;        // over the block before a watch counts as lost
inline constexpr milliseconds kUserAnswerLimit = 1600ms;  // users wait 2 s for a poll: answer 503 before that
inline constexpr milliseconds kSubmitAnswerLimit = 4s;    // users wait 5 s for a submission
inline constexpr int kRetryAfterS = 1;             // s; the shortest that the protocol lets users retry
inline constexpr milliseconds kRelayTimeout = 3s;  // below the 4 s after which a worker moves on
inline constexpr milliseconds kRelayMemory = 8s;   // a worker back within this could not reach its leader
inline constexpr milliseconds kRelayFor = 30s;     // then the direct way is tried again
inline constexpr milliseconds kReleasedHostMemory =
    10min;  // lists and copies of reports from a gone machine come late
inline constexpr milliseconds kUnacknowledgedPatience =
    5s;  // beyond the lease, for a machine that hears nothing we send

// --- Network --------------------------------------------------------------------------------------------
inline constexpr milliseconds kConnectTimeout = 1500ms;  // three retransmissions on these networks
inline constexpr milliseconds kHeadTimeout = 5s;         // a request's head and body must be here by then
inline constexpr milliseconds kIdleTimeout = 75s;        // idle connections are closed; users poll each 5 s
inline constexpr unsigned kOwnCallsDivisor =
    8;  // of the sockets: our own calls get this part; workers need most
inline constexpr unsigned kOwnCallsLeast = 60;   // sockets of our own calls on the smallest controllers
inline constexpr unsigned kServiceSockets = 24;  // of those, never used for workers: state service, cloud
inline constexpr unsigned kLinkSockets = 60;    // links with siblings (32 in, one out each), listeners, epoll
inline constexpr unsigned kSocketsLeast = 240;  // a controller with fewer can't serve
inline constexpr int kListenBacklog =
    4096;  // all workers come at once when the leader changes; the system clamps it
inline constexpr std::size_t kPoolPerEndpoint = 4;  // idle client connections kept to one address
inline constexpr milliseconds kPoolIdle = 30s;      // an idle client connection is closed after this
inline constexpr std::size_t kMaxAnswerBytes =
    4 * 1024 * 1024;  // bytes; what a larger watch answer holds is listed
inline constexpr std::size_t kMaxFrameBytes = 256 * 1024;   // bytes of one peer message
inline constexpr std::size_t kProgressJobs = 2000;          // named in one such message: some 60 bytes each
inline constexpr std::size_t kMaxPeerBacklog = 512 * 1024;  // bytes queued to a peer before dropping
inline constexpr milliseconds kPeerRetry = 500ms;           // between connection tries to a sibling
inline constexpr milliseconds kHeartbeatEvery = 1s;         // progress messages, which also prove the link

// --- State service budget -------------------------------------------------------------------------------
inline constexpr double kLeaderShare = 0.60;    // share of the state budgets that the leader may use
inline constexpr double kFollowerShare = 0.18;  // most of each other controller; many share what is left
inline constexpr double kAdminShare = 0.02;     // the admin daemon's; beside the margin that controllers keep
inline constexpr double kPollShare = 0.12;      // share of the request rate spent on confirming polls, each
inline constexpr double kPollsShare = 0.40;     // the same for all controllers together
inline constexpr milliseconds kFreshFor =
    1s;  // a confirming read is made by then even if nobody waits for it
inline constexpr milliseconds kHeartbeatFresh =
    2500ms;  // a sibling's word is believed this long; it comes each second
inline constexpr milliseconds kIsolatedAfter =
    4s;  // without the state service, while siblings have it or are silent
inline constexpr milliseconds kStateBackoff = 250ms;  // after a 429 or 503 on background work
inline constexpr double kBudgetMargin = 0.92;         // of the stated rate: clocks and windows differ

inline constexpr std::uint64_t kLayout =
    2;  // of the records; 1 kept placements in one record for each machine
inline constexpr std::uint64_t kLayoutGangs =
    3;  // the same with gangs among the jobs; written with the first gang, since readers of 2 would lose it
inline constexpr double kValueFill = 0.95;  // of the value limit, for a job's record: marks and stamps differ

// --- Decisions ------------------------------------------------------------------------------------------
inline constexpr milliseconds kTick = 50ms;           // step of all time-outs of the decision core
inline constexpr milliseconds kRoundGap = 20ms;       // least time between placement rounds
inline constexpr milliseconds kIdleRoundGap = 200ms;  // after a round that found nothing to place or stop
inline constexpr milliseconds kReplanEvery = 1s;    // time alone changes what may be placed: pauses, silence
inline constexpr std::size_t kTasksPerRound = 400;  // placements of one round, so that rounds stay short
inline constexpr std::size_t kStopsPerRound = 64;   // attempts stopped to make room in one round
inline constexpr std::size_t kBatchesPerRound =
    4;                                            // pages of placements written by one round: half of 64 KiB
inline constexpr std::size_t kBatchBytes = 7000;  // bytes in JSON form; small pages are cheap to write again
inline constexpr double kBatchFill = 0.85;        // of the value limit, as bytes are estimated
inline constexpr milliseconds kCleanEvery = 2s;   // pages with machines that are gone wait at most this long
inline constexpr milliseconds kProgressGap = 2s;  // between transactions that record progress of arrays
inline constexpr std::size_t kEndedListedMost =
    40;  // attempts listed in reports before forget commands go directly
inline constexpr double kEstimateSlack = 0.5;  // of the estimate: users are often wrong by half
inline constexpr milliseconds kDefaultStartObjective =
    5min;                                               // start aimed at for jobs for which no aim is stated
inline constexpr milliseconds kOverlookedAfter = 150s;  // without a start: goes first; the largest have 240 s
inline constexpr std::uint32_t kOverlookedShare = 8;  // an overlooked job gets this part of its tasks at once
inline constexpr milliseconds kGangHold = 60s;  // broken-up room is held for a gang this long: two boots
inline constexpr std::size_t kGangsHeld = 8;    // gangs at once, so that arrays keep most of what comes free
inline constexpr double kNoHurryS = 1e9;  // s; a stop that nothing presses: a gang has all the time it needs
inline constexpr milliseconds kGangRetry = 500ms;    // after an attempt that failed; doubles
inline constexpr milliseconds kGangRetryMost = 15s;  // longest pause between attempts of a gang
inline constexpr milliseconds kGangScaleOutBackoffMax =
    5min;  // longest pause between rentals for a gang that the cloud has too few machines for
inline constexpr std::uint32_t kDoneChunk = 4096;  // tasks per done key: 1 KiB of hex, below any limit

// --- Choice among machines: seconds of delay that each is worth -------------------------------------------
inline constexpr double kWrongKindS = 6.0;  // ordinary machine for work that may use spot: its room is prod's
inline constexpr double kEmptyServiceS =
    0.4;                                      // an empty machine with the image beats a fuller one without it
inline constexpr double kEmptyArrayS = 3.0;   // filling machines up leaves others to be returned
inline constexpr double kSharedFetchS = 0.5;  // share of a fetch that joining one under way costs
inline constexpr double kPullGbPerSLeast =
    0.01;  // GB/s; a machine type without a pull rate counts as this slow
inline constexpr double kCheckpointGraceMarginS = 1.0;  // s; beyond the checkpoint's time, for a stop's grace
inline constexpr double kGangLossS = 60.0;              // of stopping a gang for the sake of one task's room
inline constexpr double kUnreachableGangS =
    300.0;  // the same where a machine can't be told: nothing is saved

// --- Machines -------------------------------------------------------------------------------------------
inline constexpr double kSilentHeartbeats = 3.0;  // missed reports after which a machine gets no new work
inline constexpr double kProbeHeartbeats = 1.25;  // overdue this many reports (and 1 s): it is asked directly
inline constexpr double kGoneHeartbeats = 2.0;    // the same (and 1 s), and it did not answer: it is given up
inline constexpr double kQuietHeartbeats =
    1.3;                                  // overdue this many reports (and 0.5 s): counts towards a cut zone
inline constexpr double kCutShare = 0.5;  // of a zone's machines quiet: it is cut off; fewer have failed
inline constexpr double kMoveAtLease =
    0.7;  // of the lease, silent in a cut zone: its services move if they can
inline constexpr double kBootPatience = 3.0;  // times bootS before a machine counts as never coming
inline constexpr double kBootUsual = 1.5;  // times bootS within which machines usually come, by the protocol
inline constexpr milliseconds kBootSlack = 5s;  // beyond that, for the first report to arrive
inline constexpr double kBootSpread =
    1.8;  // times the median of recent boots: those seen so far are the quicker ones
inline constexpr int kBootPatienceTimes = 4;  // times the median of recent boots before a machine is given up
inline constexpr int kBootAllSlow = 2;  // times the patience where none rented along with it has come either
inline constexpr milliseconds kBootMemory = 5min;    // boots older than this tell nothing of the next
inline constexpr std::size_t kBootsRemembered = 64;  // for each type and zone
inline constexpr std::size_t kBootsTelling = 4;      // fewer recent boots tell nothing
inline constexpr milliseconds kBootCohort = 15s;     // machines rented within this of each other boot alike
inline constexpr milliseconds kBootPatienceLeast =
    60s;  // least patience; some machines take several times longer
inline constexpr milliseconds kProbeUnheardAfter =
    3s;  // after loading: machines not heard from are asked directly
inline constexpr unsigned kProbeUnheardLeast =
    20;                                   // machines asked in one half second, where sockets are few
inline constexpr int kSuspectErrors = 2;  // errors in a row after which a machine is looked into
inline constexpr milliseconds kSuspectPause = 15s;    // without new work, while its jobs are tried elsewhere
inline constexpr milliseconds kGoodAfter = 5s;        // running this long elsewhere clears a job
inline constexpr milliseconds kJobErrorBackoff = 2s;  // first pause of a job whose tasks fail; doubles
inline constexpr milliseconds kJobErrorBackoffMost = 30s;  // longest pause of such a job
inline constexpr int kJobErrorDoublings = 4;               // of the first pause, up to the longest
inline constexpr std::size_t kWrongJobMachines =
    3;                                              // machines a job must fail on before it is held for wrong
inline constexpr std::uint32_t kWrongJobTrial = 2;  // tasks of such a job tried at once: few machines suffice
inline constexpr std::size_t kFailureHostsMost = 32;  // machines remembered that a job has failed on
inline constexpr milliseconds kListEvery = 10s;       // machine list: finds strangers and failed machines
inline constexpr milliseconds kCatalogEvery = 60s;    // prices move slowly
inline constexpr milliseconds kCatalogRetry = 2s;     // until the machine types are known once

// --- Fleet: the ordinary path (DESIGN) ------------------------------------------------------------------
inline constexpr milliseconds kSizingRound = 30s;         // SAIR's decision interval
inline constexpr milliseconds kScaleUpCooldown = 60s;     // SAIR's validator
inline constexpr milliseconds kScaleDownCooldown = 120s;  // SAIR's validator
inline constexpr std::size_t kStepDivisor = 8;    // a unit is an eighth of the pool, after SAIR's cap of 8
inline constexpr int kStepMost = 2;               // units added at most, SAIR's action set
inline constexpr int kStepLeast = -1;             // units removed at most, SAIR's action set
inline constexpr milliseconds kQueueTarget = 5s;  // queue wait a pool aims at when no aim names one

inline constexpr double kWaitWeight = 0.7;       // payoff's weight on the drop of queue wait (SAIR's w_L)
inline constexpr double kCostWeight = 0.3;       // payoff's weight on the rise of cost (SAIR's w_C)
inline constexpr double kProactiveWeight = 0.3;  // payoff's bonus for acting under a violation (SAIR)
inline constexpr double kDominatedPayoff = 0.8;  // most that a dominated outcome earns (SAIR's margin of 0.2)
inline constexpr double kPayoffMost = 2.0;       // payoffs are clipped to this, both ways (SAIR's R_max)
inline constexpr double kDiversityWeight = 0.1;  // of retrieval (SAIR's lambda_div)
inline constexpr double kContextSigma = 0.35;    // width of similarity over features scaled to 0..1 (ours)
inline constexpr double kCloseEnough = 0.6;      // similarity from which an episode counts as close (ours)
inline constexpr std::size_t kBufferMost = 200;  // episodes kept; the oldest leave (ours)
inline constexpr std::size_t kCopyMost =
    80;  // episodes of the stored copy: about 4 KB, below any value limit
inline constexpr std::size_t kFrontierMost = 32;  // points kept (ours)
inline constexpr milliseconds kCopyEvery = 60s;   // the buffer's copy in the state service (DESIGN)
inline constexpr double kWaitMostTargets = 6.0;   // targets of wait at which normalised wait reaches 1 (ours)
inline constexpr double kPoolSmall = 16.0;  // machines up to which size and cost are taken absolutely (ours)
inline constexpr double kPoolDoublings =
    4.0;  // of larger pools for as much of the size feature as the first 16 machines

// --- Fleet: extensions ----------------------------------------------------------------------------------
inline constexpr milliseconds kScaleOutEvery = 1s;     // how often waiting work without room is looked for
inline constexpr milliseconds kRefusedPause = 20s;     // a pool that refused a rental is not asked before
inline constexpr milliseconds kConsolidateEvery = 2s;  // a machine is vacated in about one second
inline constexpr milliseconds kConsolidateMinAge =
    60s;  // of machine (paid so long anyway) and of the services on it
inline constexpr std::size_t kConsolidateDivisor =
    32;  // of a pool: so many leave at once, so that few services move
inline constexpr double kConsolidateSpareMachines =
    2.0;  // machines' worth of room that stays free: one may be lost
inline constexpr double kConsolidateMaxUsage = 0.6;  // more used than this, moving costs more than it saves
inline constexpr double kReserveShare =
    0.09;  // of the CPUs that services and gangs use, free on ordinary machines for the length of a boot
inline constexpr double kSpareShare = 0.12;  // of the rooms used by prod work, kept free for its next

// --- Shares ---------------------------------------------------------------------------------------------
inline constexpr std::size_t kShareGroupsMost = 64;  // groups of a table: its record stays below value limits
inline constexpr double kShareWeightMost = 1e6;      // ratios beyond this are mistakes
inline constexpr std::size_t kShareRequestsKept = 8;    // ids of changes that a repeat is told by
inline constexpr std::size_t kShareRequestIdMost = 40;  // bytes of such an id: a UUID and a little more
inline constexpr double kHeartbeatSpread = 1.25;        // times report_s: the longest that a worker waits
inline constexpr milliseconds kShareStatusEvery = 5s;  // the groups' status is written this often, if changed
inline constexpr milliseconds kShareWriteRetry = 2s;   // between tries to write the first table

}  // namespace reachhoist::constants
