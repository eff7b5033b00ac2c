// Limits that the protocol sets for messages, calls and tokens.
#pragma once

#include <cstddef>

namespace reachhoist::constants {

// Largest request body, in bytes.
inline constexpr std::size_t kMaxBodyBytes = 64 * 1024;
// Largest request line and headers, in bytes; ours take about 200.
inline constexpr std::size_t kMaxHeadBytes = 8 * 1024;
// Largest drift of a steady clock, as a share of the time measured.
inline constexpr double kMaxClockDrift = 0.0005;
// Most instances that one instance request may ask for.
inline constexpr std::size_t kMaxInstancesPerRequest = 50;
// Most instances that one release request may name.
inline constexpr std::size_t kMaxReleasesPerRequest = 100;
// Most instances that a page of the cloud's instance list holds.
inline constexpr std::size_t kInstanceListPageSize = 500;
// Bits of a fencing token below the leader's term; they count the tokens of one machine within the term.
inline constexpr int kFencingTokenTermShift = 20;
// Least Retry-After that the protocol allows in an answer to a user, in seconds.
inline constexpr int kRetryAfterS = 1;

}  // namespace reachhoist::constants
