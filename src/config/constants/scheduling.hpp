// Placement rounds, gang scheduling, progress records, and the scores that compare machines.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace reachhoist::constants {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

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
inline constexpr std::size_t kMaxTasksPerRound = 400;
// Most attempts that one round preempts.
inline constexpr std::size_t kMaxStopsPerRound = 64;

// --- Placement batches -----------------------------------------------------------------------------------
// Most batches written by one round: half of the 64 KiB that a transaction may hold.
inline constexpr std::size_t kMaxBatchesPerRound = 4;
// Size that batches aim at, in bytes of JSON; small batches are cheap to rewrite.
inline constexpr std::size_t kTargetBatchBytes = 7000;
// Share of the value size limit that a batch may fill: its size is an estimate.
inline constexpr double kMaxBatchFill = 0.85;
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
inline constexpr double kEstimateSlack = 0.5;
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
inline constexpr double kSharedFetchCostShare = 0.5;
// Preempting a gang for the capacity of one task.
inline constexpr double kGangPreemptionCostS = 60.0;
// The same if one of the gang's machines is unreachable: without the command to stop, nothing is
// checkpointed.
inline constexpr double kUnreachableGangPreemptionCostS = 300.0;

}  // namespace reachhoist::constants
