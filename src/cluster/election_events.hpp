// What a controller observes and does in leader elections, for the log. The events show on which stored
// records each campaign was based.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace reachhoist::cluster {

// The stored leader record has another label, or was deleted.
struct LeaderObserved {
  std::string label;  // empty if there is no leader
  std::uint64_t revision = 0;
};
// A version of the stored term record arrived.
struct TermObserved {
  std::uint64_t term = 0;
  std::uint64_t revision = 0;
  std::uint64_t knownTerm = 0;  // the highest term that this controller counts from, after the arrival
};
// This controller requests the leadership.
struct CampaignStarted {
  std::uint64_t term = 0;
  std::uint64_t leaderRevision = 0;  // the revisions on which the request is conditioned
  std::uint64_t termRevision = 0;
};
// The key-value store did not grant the leadership.
struct CampaignRefused {
  std::uint64_t term = 0;
  int status = 0;  // 0 if no answer arrived
};

// The answer to a campaign arrived after the leadership that it granted had been lost.
struct CampaignSuperseded {
  std::uint64_t term = 0;
  std::uint64_t revision = 0;  // at which the election was applied
};

using ElectionEvent =
    std::variant<LeaderObserved, TermObserved, CampaignStarted, CampaignRefused, CampaignSuperseded>;

}  // namespace reachhoist::cluster
