// Fleet sizing: the sizing rounds (after SAIR, see fleet/episodes.hpp), scale-out and scale-in. "Ours" marks
// values that the paper doesn't give.
#pragma once

#include <chrono>
#include <cstddef>

namespace reachhoist::constants {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

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
inline constexpr double kConsolidationMaxUsage = 0.6;

}  // namespace reachhoist::constants
