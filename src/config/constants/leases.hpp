// Leader lease, election and the safety margins of worker leases.
#pragma once

#include <chrono>
#include <cstddef>

namespace reachhoist::constants {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

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

}  // namespace reachhoist::constants
